package replicator_test

import (
	"bytes"
	"encoding/json"
	"slices"

	"pgregory.net/rapid"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/replicator"
)

// proposal is an operator's change of one workspace's rate.
type proposal struct {
	Operation string
	Base      uint64
	Workspace string
	Rate      int
}

// pendingProposal is a proposal that was sent to a machine and whose operator waits for the answer. Until the machine
// reports the position of the proposal in its log, the index in position is the ID of the proposal.
type pendingProposal struct {
	machine  *machine
	position replicator.Position
	proposal proposal
}

// oracle is the expected state in plain maps: the committed log, the rates and versions that result from it, and the
// answers that operators got. answered is the highest index of an entry whose operator got an answer. reads holds, by
// the ID of a read, the value of answered when the read began; confirmed counts the confirmed reads.
type oracle struct {
	t                  *rapid.T
	log                []replicator.Entry
	rates              []map[string]int
	versions           []uint64
	answers            map[string]uint64
	acceptedOperations map[string]string
	leaders            map[uint64]replicator.Identity
	lost               map[replicator.Identity]bool
	pendingProposals   []pendingProposal
	reads              map[uint64]uint64
	nextID             uint64
	answered           uint64
	members            replicator.Membership
	confirmed          int
}

func newOracle(t *rapid.T) *oracle {
	return &oracle{
		t: t, answers: make(map[string]uint64), acceptedOperations: make(map[string]string), reads: make(map[uint64]uint64),
		leaders: make(map[uint64]replicator.Identity), lost: make(map[replicator.Identity]bool),
		rates: []map[string]int{{}}, versions: []uint64{0},
	}
}

func (o *oracle) checkRole(m *machine, committed bool) {
	if !m.replicator.Leads() {
		return
	}
	term := m.replicator.Term()
	if other, ok := o.leaders[term]; ok && other != m.identity {
		o.t.Fatalf("%s and %s lead in term %d (commits: %t)", other, m.identity, term, committed)
	}
	o.leaders[term] = m.identity
}

func (o *oracle) checkSender(from *machine, message replicator.Message) {
	if message.From != from.identity || o.lost[message.From] {
		o.t.Fatalf("%s sent a message as %s", from.identity, message.From)
	}
}

// applyOutput applies a machine's output to its configuration, and compares it with what any machine applied before.
func (o *oracle) applyOutput(m *machine, output replicator.Output) {
	if output.Install != nil {
		m.configuration, m.applied = decode(o.t, output.Install.Data), output.Install.Position.Index
		o.checkState(m)
	}
	for _, entry := range output.Committed {
		if entry.Position.Index != m.applied+1 {
			o.t.Fatalf("%s applies entry %d after %d", m.identity, entry.Position.Index, m.applied)
		}
		o.commit(entry)
		receipt, accepted := applyTo(m, entry)
		m.applied++
		o.checkState(m)
		o.answer(m, entry, receipt, accepted)
	}
	for _, confirmed := range output.ConfirmedReads {
		if at, ok := o.reads[confirmed.ID]; ok && confirmed.Index < at {
			o.t.Fatalf("%s serves a read of entry %d after %d was answered", m.identity, confirmed.Index, at)
		}
		o.confirmed++
	}
	for _, appended := range output.Appended {
		for i := range o.pendingProposals {
			if o.pendingProposals[i].position == (replicator.Position{Index: appended.ID}) {
				o.pendingProposals[i].position = appended.Position
			}
		}
	}
}

// commit adds entry to the committed log, or checks that it is equal to the one at that index.
func (o *oracle) commit(entry replicator.Entry) {
	index := entry.Position.Index
	if index <= uint64(len(o.log)) {
		old := o.log[index-1]
		if old.Position != entry.Position || !bytes.Equal(old.Data, entry.Data) {
			o.t.Fatalf("entry %v was committed, and then %v at the same index", old.Position, entry.Position)
		}
		return
	}
	o.log = append(o.log, entry)
	rates, version := o.rates[index-1], o.versions[index-1]
	if entry.Members != nil {
		o.members = *entry.Members
	} else if p := parseProposal(o.t, entry.Data); o.accepts(p) {
		next := make(map[string]int, len(rates)+1)
		for name, rate := range rates {
			next[name] = rate
		}
		next[p.Workspace] = p.Rate
		rates, version = next, version+1
	}
	o.rates, o.versions = append(o.rates, rates), append(o.versions, version)
}

// accepts reports whether p is new and no other change of its workspace followed its base version.
func (o *oracle) accepts(p proposal) bool {
	if _, ok := o.acceptedOperations[p.Operation]; ok {
		return false
	}
	for index := len(o.versions) - 1; index > 0 && p.Base > 0; index-- {
		changed := o.rates[index][p.Workspace] != o.rates[index-1][p.Workspace]
		if changed && o.versions[index] > p.Base {
			return false
		}
	}
	o.acceptedOperations[p.Operation] = p.Workspace
	return true
}

func (o *oracle) checkState(m *machine) {
	if m.configuration.Version() != o.versions[m.applied] {
		o.t.Fatalf("%s has version %d, not %d", m.identity, m.configuration.Version(), o.versions[m.applied])
	}
	rates := o.rates[m.applied]
	for _, workspace := range m.configuration.Workspaces() {
		if rates[workspace.Name] != int(workspace.Rate) {
			o.t.Fatalf("%s has rate %v of %s, not %d", m.identity, workspace.Rate, workspace.Name, rates[workspace.Name])
		}
	}
	if len(m.configuration.Workspaces()) != len(rates) {
		o.t.Fatalf("%s has %d workspaces, not %d", m.identity, len(m.configuration.Workspaces()), len(rates))
	}
}

// answer gives an operator the result of the proposal at entry. A resent operation must get its first answer.
func (o *oracle) answer(m *machine, entry replicator.Entry, version uint64, accepted bool) {
	for i, p := range o.pendingProposals {
		if p.machine != m || p.position != entry.Position {
			continue
		}
		o.answered = max(o.answered, entry.Position.Index)
		if first, ok := o.answers[p.proposal.Operation]; accepted && ok && first != version {
			o.t.Fatalf("operation %s got version %d, and then %d", p.proposal.Operation, first, version)
		}
		if accepted {
			o.answers[p.proposal.Operation] = version
		}
		o.pendingProposals = slices.Delete(o.pendingProposals, i, i+1)
		return
	}
}

func (o *oracle) dropPendingProposals(m *machine) {
	o.pendingProposals = slices.DeleteFunc(o.pendingProposals, func(p pendingProposal) bool { return p.machine == m })
}

func applyTo(m *machine, entry replicator.Entry) (version uint64, accepted bool) {
	if entry.Members != nil {
		return 0, false
	}
	var p proposal
	if err := json.Unmarshal(entry.Data, &p); err != nil {
		return 0, false
	}
	workspace := configurer.Workspace{Name: p.Workspace, Rate: configurer.PerSecond(p.Rate), Burst: 1}
	batch := configurer.Batch{Operation: p.Operation, BaseVersion: p.Base}
	batch.Changes = []configurer.Change{configurer.PutWorkspace{Workspace: workspace}}
	next, receipt, err := m.configuration.With(batch)
	m.configuration = next
	return receipt.Version, err == nil
}

func parseProposal(t *rapid.T, data []byte) proposal {
	var p proposal
	if err := json.Unmarshal(data, &p); err != nil {
		t.Fatal(err)
	}
	return p
}

func decode(t *rapid.T, data []byte) configurer.Configuration {
	if len(data) == 0 {
		return configurer.Configuration{}
	}
	configuration, err := configurer.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return configuration
}
