package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/replicator"
)

const tickPeriod = replicator.HeartbeatPeriod / 4

// machine is a VM with a disk and the member that runs on it. Suspended and stopped machines handle no input. A
// suspended one finds its messages when it resumes, a stopped one has lost them.
type machine struct {
	name          string
	identity      replicator.Identity
	disk          replicator.Stored
	unsyncedSaves []replicator.Save
	syncDue       time.Time
	replicator    replicator.Replicator
	configuration configurer.Configuration
	applied       uint64
	inbox         []replicator.Message
	suspended     bool
	stopped       bool
}

// inFlightMessage is a message that the network delivers at due.
type inFlightMessage struct {
	message replicator.Message
	due     time.Time
}

// world runs machines on an unreliable network, with its own clock.
type world struct {
	*oracle

	t          *rapid.T
	random     *rand.Rand
	now        time.Time
	machines   []*machine
	inFlight   []inFlightMessage
	partitions map[[2]string]bool
	lossRate   float64
	identities int
}

func newWorld(t *rapid.T, size int) *world {
	seed := rapid.Uint64().Draw(t, "seed")
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), partitions: make(map[[2]string]bool)}
	w.oracle = newOracle(t)
	var members replicator.Membership
	for i := range size {
		m := &machine{name: fmt.Sprintf("vm%d", i)}
		w.machines = append(w.machines, m)
		w.assignIdentity(m)
		members.Voters = append(members.Voters, replicator.Member{Identity: m.identity, Name: m.name})
	}
	for _, m := range w.machines {
		w.start(m)
	}
	w.step(w.machines[0], replicator.Bootstrap{Members: members})
	w.runUntil(time.Minute, "the cluster is bootstrapped", func() bool { return len(w.log) > 0 })
	return w
}

func (w *world) assignIdentity(m *machine) {
	w.identities++
	m.identity = replicator.Identity(fmt.Sprintf("%s.%d", m.name, w.identities))
}

// start runs a member from what its disk holds.
func (w *world) start(m *machine) {
	stored := m.disk
	stored.Entries = slices.Clone(stored.Entries)
	m.replicator = replicator.New(m.identity, stored, w.now)
	m.configuration, m.applied = decode(w.t, stored.Snapshot.Data), stored.Snapshot.Position.Index
	m.inbox, m.unsyncedSaves, m.suspended, m.stopped = nil, nil, false, false
}

// stop ends a member. A random number of the saves since the last sync, oldest first, have reached the disk.
func (w *world) stop(m *machine) {
	for _, save := range m.unsyncedSaves[:w.random.IntN(len(m.unsyncedSaves)+1)] {
		m.disk = writeToDisk(m.disk, save)
	}
	m.stopped = true
	w.dropPendingProposals(m)
}

// loseDisk restarts the machine with an empty disk and a new identity.
func (w *world) loseDisk(m *machine) {
	w.stop(m)
	w.lost[m.identity] = true
	m.disk = replicator.Stored{}
	w.assignIdentity(m)
	w.start(m)
}

func writeToDisk(disk replicator.Stored, save replicator.Save) replicator.Stored {
	disk.State = save.State
	if save.Snapshot != nil {
		disk.Snapshot, disk.Entries = *save.Snapshot, slices.Clone(save.Entries)
		return disk
	}
	if len(save.Entries) == 0 {
		return disk
	}
	first := save.Entries[0].Position.Index
	replaced := func(e replicator.Entry) bool { return e.Position.Index >= first }
	disk.Entries = slices.Concat(slices.DeleteFunc(slices.Clone(disk.Entries), replaced), save.Entries)
	return disk
}

// run advances the clock by span.
func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(tickPeriod)
		w.deliver()
		for _, m := range w.machines {
			if m.suspended || m.stopped {
				continue
			}
			inbox := m.inbox
			m.inbox = nil
			for _, message := range inbox {
				w.step(m, replicator.Received{Message: message})
			}
			w.step(m, replicator.Tick{})
			w.sync(m)
		}
	}
}

func (w *world) deliver() {
	var later []inFlightMessage
	for _, f := range w.inFlight {
		if f.due.After(w.now) {
			later = append(later, f)
			continue
		}
		for _, m := range w.machines {
			if m.identity == f.message.To && !m.stopped {
				m.inbox = append(m.inbox, f.message)
			}
		}
	}
	w.inFlight = later
}

// sync ends the sync that is in progress, if it is due: after up to 8 ticks, and sometimes after ElectionTimeout.
func (w *world) sync(m *machine) {
	if len(m.unsyncedSaves) > 0 && !w.now.Before(m.syncDue) {
		for _, save := range m.unsyncedSaves {
			m.disk = writeToDisk(m.disk, save)
		}
		sequence := m.unsyncedSaves[len(m.unsyncedSaves)-1].Sequence
		m.unsyncedSaves = nil
		w.step(m, replicator.Synced{Sequence: sequence})
	}
}

func (w *world) step(m *machine, input replicator.Input) {
	commit := m.replicator.CommitIndex()
	next, output := m.replicator.Step(w.now, w.random, input)
	m.replicator = next
	if output.Save != nil {
		if len(m.unsyncedSaves) == 0 {
			m.syncDue = w.now.Add(time.Duration(w.random.IntN(8)) * tickPeriod)
		}
		if w.random.Float64() < w.lossRate {
			m.syncDue = w.now.Add(replicator.ElectionTimeout)
		}
		m.unsyncedSaves = append(m.unsyncedSaves, *output.Save)
	}
	w.checkRole(m, next.CommitIndex() > commit)
	for _, message := range output.Messages {
		w.send(m, message)
	}
	w.applyOutput(m, output)
}

// send loses, delays, reorders and duplicates messages.
func (w *world) send(from *machine, message replicator.Message) {
	w.checkSender(from, message)
	to := slices.IndexFunc(w.machines, func(m *machine) bool { return m.identity == message.To })
	if to < 0 || w.partitions[[2]string{from.name, w.machines[to].name}] {
		return
	}
	for copies := 1; copies > 0; copies-- {
		delay := time.Duration(w.random.IntN(30)) * time.Millisecond
		if w.random.Float64() < w.lossRate {
			delay *= 100
			copies++
		}
		if w.random.Float64() >= w.lossRate {
			w.inFlight = append(w.inFlight, inFlightMessage{message, w.now.Add(delay)})
		}
	}
}

// heal ends all faults except lost disks.
func (w *world) heal() {
	clear(w.partitions)
	w.lossRate = 0
	for _, m := range w.machines {
		m.suspended = false
		if m.stopped {
			w.start(m)
		}
	}
}

// leaders returns the running machines that believe they lead.
func (w *world) leaders() []*machine {
	var leaders []*machine
	for _, m := range w.machines {
		if !m.stopped && !m.suspended && m.replicator.Leads() {
			leaders = append(leaders, m)
		}
	}
	return leaders
}

// runUntil runs until condition holds, and fails after limit.
func (w *world) runUntil(limit time.Duration, what string, condition func() bool) {
	for deadline := w.now.Add(limit); !condition(); {
		if w.now.After(deadline) {
			w.t.Fatalf("after %s still not true: %s", limit, what)
		}
		w.run(tickPeriod)
	}
}
