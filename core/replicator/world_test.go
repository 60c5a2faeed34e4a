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

// machine is a VM with a disk and the member that runs on it. Frozen and stopped ones take no step; a frozen one finds
// its messages when it wakes, a stopped one has lost them.
type machine struct {
	name          string
	identity      replicator.Identity
	disk          replicator.Stored
	written       []replicator.Save
	syncDue       time.Time
	replicator    replicator.Replicator
	configuration configurer.Configuration
	applied       uint64
	inbox         []replicator.Message
	frozen        bool
	stopped       bool
}

// flight is a message on its way.
type flight struct {
	message replicator.Message
	due     time.Time
}

// world runs machines over a bad network and a clock of its own.
type world struct {
	*oracle

	t        *rapid.T
	random   *rand.Rand
	now      time.Time
	machines []*machine
	flights  []flight
	cuts     map[[2]string]bool
	loss     float64
	drawn    int
}

func newWorld(t *rapid.T, size int) *world {
	seed := rapid.Uint64().Draw(t, "seed")
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), cuts: make(map[[2]string]bool)}
	w.oracle = newOracle(t)
	var members replicator.Membership
	for i := range size {
		m := &machine{name: fmt.Sprintf("vm%d", i)}
		w.machines = append(w.machines, m)
		w.drawIdentity(m)
		members.Voters = append(members.Voters, replicator.Member{Identity: m.identity, Name: m.name})
	}
	for _, m := range w.machines {
		w.start(m)
	}
	w.step(w.machines[0], replicator.Bootstrap{Members: members})
	w.until(time.Minute, "the cluster is founded", func() bool { return len(w.log) > 0 })
	return w
}

func (w *world) drawIdentity(m *machine) {
	w.drawn++
	m.identity = replicator.Identity(fmt.Sprintf("%s.%d", m.name, w.drawn))
}

// start runs a member on what its disk holds.
func (w *world) start(m *machine) {
	stored := m.disk
	stored.Entries = slices.Clone(stored.Entries)
	m.replicator = replicator.New(m.identity, stored, w.now)
	m.configuration, m.applied = decode(w.t, stored.Snapshot.Data), stored.Snapshot.Position.Index
	m.inbox, m.written, m.frozen, m.stopped = nil, nil, false, false
}

// stop ends a member. Of what it wrote since the last sync any first part may have reached the disk.
func (w *world) stop(m *machine) {
	for _, save := range m.written[:w.random.IntN(len(m.written)+1)] {
		m.disk = write(m.disk, save)
	}
	m.stopped = true
	w.dropWaiting(m)
}

// loseDisk starts the machine anew with an empty disk, which makes another member of it.
func (w *world) loseDisk(m *machine) {
	w.stop(m)
	w.lost[m.identity] = true
	m.disk = replicator.Stored{}
	w.drawIdentity(m)
	w.start(m)
}

func write(disk replicator.Stored, save replicator.Save) replicator.Stored {
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

// run lets time pass.
func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(tickPeriod)
		w.deliver()
		for _, m := range w.machines {
			if m.frozen || m.stopped {
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
	var later []flight
	for _, f := range w.flights {
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
	w.flights = later
}

// sync finishes a sync that takes up to 8 ticks, and now and then much longer. What is written meanwhile needs another.
func (w *world) sync(m *machine) {
	if len(m.written) > 0 && !w.now.Before(m.syncDue) {
		for _, save := range m.written {
			m.disk = write(m.disk, save)
		}
		sequence := m.written[len(m.written)-1].Sequence
		m.written = nil
		w.step(m, replicator.Synced{Sequence: sequence})
	}
}

func (w *world) step(m *machine, input replicator.Input) {
	commit := m.replicator.CommitIndex()
	next, output := m.replicator.Step(w.now, w.random, input)
	m.replicator = next
	if output.Save != nil {
		if len(m.written) == 0 {
			m.syncDue = w.now.Add(time.Duration(w.random.IntN(8)) * tickPeriod)
		}
		if w.random.Float64() < w.loss {
			m.syncDue = w.now.Add(replicator.ElectionTimeout)
		}
		m.written = append(m.written, *output.Save)
	}
	w.checkRole(m, next.CommitIndex() > commit)
	for _, message := range output.Messages {
		w.send(m, message)
	}
	w.take(m, output)
}

// send loses, delays, reorders and duplicates.
func (w *world) send(from *machine, message replicator.Message) {
	w.checkSender(from, message)
	to := slices.IndexFunc(w.machines, func(m *machine) bool { return m.identity == message.To })
	if to < 0 || w.cuts[[2]string{from.name, w.machines[to].name}] {
		return
	}
	for copies := 1; copies > 0; copies-- {
		delay := time.Duration(w.random.IntN(30)) * time.Millisecond
		if w.random.Float64() < w.loss {
			delay *= 100
			copies++
		}
		if w.random.Float64() >= w.loss {
			w.flights = append(w.flights, flight{message, w.now.Add(delay)})
		}
	}
}

// heal ends all faults but lost disks.
func (w *world) heal() {
	clear(w.cuts)
	w.loss = 0
	for _, m := range w.machines {
		m.frozen = false
		if m.stopped {
			w.start(m)
		}
	}
}

// leaders returns the machines that believe that they lead.
func (w *world) leaders() []*machine {
	var leaders []*machine
	for _, m := range w.machines {
		if !m.stopped && !m.frozen && m.replicator.Leads() {
			leaders = append(leaders, m)
		}
	}
	return leaders
}

// until runs until condition holds and fails if it does not within limit.
func (w *world) until(limit time.Duration, what string, condition func() bool) {
	for deadline := w.now.Add(limit); !condition(); {
		if w.now.After(deadline) {
			w.t.Fatalf("not within %s: %s", limit, what)
		}
		w.run(tickPeriod)
	}
}
