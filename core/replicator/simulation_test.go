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

// simulation runs machines on an unreliable network, with its own clock.
type simulation struct {
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

func newSimulation(t *rapid.T, size int) *simulation {
	seed := rapid.Uint64().Draw(t, "seed")
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), partitions: make(map[[2]string]bool)}
	s.oracle = newOracle(t)
	var members replicator.Membership
	for i := range size {
		m := &machine{name: fmt.Sprintf("vm%d", i)}
		s.machines = append(s.machines, m)
		s.assignIdentity(m)
		members.Voters = append(members.Voters, replicator.Member{Identity: m.identity, Name: m.name})
	}
	for _, m := range s.machines {
		s.start(m)
	}
	s.step(s.machines[0], replicator.Bootstrap{Members: members})
	s.runUntil(time.Minute, "the cluster is bootstrapped", func() bool { return len(s.log) > 0 })
	return s
}

func (s *simulation) assignIdentity(m *machine) {
	s.identities++
	m.identity = replicator.Identity(fmt.Sprintf("%s.%d", m.name, s.identities))
}

// start runs a member from what its disk holds.
func (s *simulation) start(m *machine) {
	stored := m.disk
	stored.Entries = slices.Clone(stored.Entries)
	m.replicator = replicator.New(m.identity, stored, s.now)
	m.configuration, m.applied = decode(s.t, stored.Snapshot.Data), stored.Snapshot.Position.Index
	m.inbox, m.unsyncedSaves, m.suspended, m.stopped = nil, nil, false, false
}

// stop ends a member. A random number of the saves since the last sync, oldest first, have reached the disk.
func (s *simulation) stop(m *machine) {
	for _, save := range m.unsyncedSaves[:s.random.IntN(len(m.unsyncedSaves)+1)] {
		m.disk = writeToDisk(m.disk, save)
	}
	m.stopped = true
	s.dropPendingProposals(m)
}

// loseDisk restarts the machine with an empty disk and a new identity.
func (s *simulation) loseDisk(m *machine) {
	s.stop(m)
	s.lost[m.identity] = true
	m.disk = replicator.Stored{}
	s.assignIdentity(m)
	s.start(m)
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
func (s *simulation) run(span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.now = s.now.Add(tickPeriod)
		s.deliver()
		for _, m := range s.machines {
			if m.suspended || m.stopped {
				continue
			}
			inbox := m.inbox
			m.inbox = nil
			for _, message := range inbox {
				s.step(m, replicator.Received{Message: message})
			}
			s.step(m, replicator.Tick{})
			s.sync(m)
		}
	}
}

func (s *simulation) deliver() {
	var later []inFlightMessage
	for _, sent := range s.inFlight {
		if sent.due.After(s.now) {
			later = append(later, sent)
			continue
		}
		for _, m := range s.machines {
			if m.identity == sent.message.To && !m.stopped {
				m.inbox = append(m.inbox, sent.message)
			}
		}
	}
	s.inFlight = later
}

// sync ends the sync that is in progress, if it is due: after up to 8 ticks, and sometimes after ElectionTimeout.
func (s *simulation) sync(m *machine) {
	if len(m.unsyncedSaves) > 0 && !s.now.Before(m.syncDue) {
		for _, save := range m.unsyncedSaves {
			m.disk = writeToDisk(m.disk, save)
		}
		sequence := m.unsyncedSaves[len(m.unsyncedSaves)-1].Sequence
		m.unsyncedSaves = nil
		s.step(m, replicator.Synced{Sequence: sequence})
	}
}

func (s *simulation) step(m *machine, input replicator.Input) {
	commit := m.replicator.CommitIndex()
	next, output := m.replicator.Step(s.now, s.random, input)
	m.replicator = next
	if output.Save != nil {
		if len(m.unsyncedSaves) == 0 {
			m.syncDue = s.now.Add(time.Duration(s.random.IntN(8)) * tickPeriod)
		}
		if s.random.Float64() < s.lossRate {
			m.syncDue = s.now.Add(replicator.ElectionTimeout)
		}
		m.unsyncedSaves = append(m.unsyncedSaves, *output.Save)
	}
	s.checkRole(m, next.CommitIndex() > commit)
	for _, message := range output.Messages {
		s.send(m, message)
	}
	s.applyOutput(m, output)
}

// send loses, delays, reorders and duplicates messages.
func (s *simulation) send(from *machine, message replicator.Message) {
	s.checkSender(from, message)
	to := slices.IndexFunc(s.machines, func(m *machine) bool { return m.identity == message.To })
	if to < 0 || s.partitions[[2]string{from.name, s.machines[to].name}] {
		return
	}
	for copies := 1; copies > 0; copies-- {
		delay := time.Duration(s.random.IntN(30)) * time.Millisecond
		if s.random.Float64() < s.lossRate {
			delay *= 100
			copies++
		}
		if s.random.Float64() >= s.lossRate {
			s.inFlight = append(s.inFlight, inFlightMessage{message, s.now.Add(delay)})
		}
	}
}

// heal ends all faults except lost disks.
func (s *simulation) heal() {
	clear(s.partitions)
	s.lossRate = 0
	for _, m := range s.machines {
		m.suspended = false
		if m.stopped {
			s.start(m)
		}
	}
}

// leaders returns the running machines that believe they lead.
func (s *simulation) leaders() []*machine {
	var leaders []*machine
	for _, m := range s.machines {
		if !m.stopped && !m.suspended && m.replicator.Leads() {
			leaders = append(leaders, m)
		}
	}
	return leaders
}

// runUntil runs until condition holds, and fails after limit.
func (s *simulation) runUntil(limit time.Duration, what string, condition func() bool) {
	for deadline := s.now.Add(limit); !condition(); {
		if s.now.After(deadline) {
			s.t.Fatalf("after %s still not true: %s", limit, what)
		}
		s.run(tickPeriod)
	}
}
