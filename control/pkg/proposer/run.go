package proposer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/replicator"
	"samphiremount.example/core/timekeeper"
	"samphiremount.example/core/tracker"
)

const (
	tickPeriod       = replicator.HeartbeatPeriod / 4
	maxInputsPerSync = 256
)

// loop is the state that only the goroutine of Run touches.
type loop struct {
	*Replica

	replicator      replicator.Replicator
	random          *rand.Rand
	group           *errgroup.Group
	nextID          uint64
	waiting         map[uint64]chan answer
	appended        map[uint64]appendedRequest
	reads           []confirmedRead
	applied         uint64
	compactor       compactor
	reconcileAt     time.Time
	publishedVoters []replicator.Member
}

// appendedRequest waits until the entry at its index is committed.
type appendedRequest struct {
	term   uint64
	answer chan answer
}

// confirmedRead waits until index is applied.
type confirmedRead struct {
	index  uint64
	answer chan answer
}

// Run takes part in the log until ctx ends. It returns an error if the data folder fails; the process must end then.
func (p *Replica) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	l := &loop{
		Replica: p, replicator: replicator.New(p.self.Identity, p.stored, timekeeper.Now()),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), group: group,
		waiting: make(map[uint64]chan answer), appended: make(map[uint64]appendedRequest),
		applied:   p.stored.Snapshot.Position.Index,
		compactor: compactor{snapshotBytes: len(p.stored.Snapshot.Data)},
	}
	// The stored snapshot is in force; the log's copy of it is enough.
	p.stored = replicator.Stored{}
	p.status.set(l.replicator)
	group.Go(func() error { return p.transport.Run(ctx) })
	group.Go(func() error { return l.run(ctx) })
	group.Go(func() error { return p.runIntroductions(ctx) })
	return group.Wait()
}

func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	defer func() { _ = l.store.Close() }()
	defer l.failAll("this process stops")
	for {
		var inputs []replicator.Input
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			inputs = append(inputs, replicator.Tick{})
			inputs = append(inputs, l.reconcile(timekeeper.Now())...)
		case message := <-l.transport.Inbox():
			inputs = append(inputs, replicator.Received{Message: message})
		case asked := <-l.requests:
			inputs = append(inputs, l.register(asked))
		case input := <-l.inputs:
			l.compactor.finished(input)
			inputs = append(inputs, input)
		}
		if err := l.process(l.collect(inputs)); err != nil {
			return err
		}
	}
}

// collect adds the inputs that wait already, so that one sync serves them all.
func (l *loop) collect(inputs []replicator.Input) []replicator.Input {
	for len(inputs) < maxInputsPerSync {
		select {
		case message := <-l.transport.Inbox():
			inputs = append(inputs, replicator.Received{Message: message})
		case asked := <-l.requests:
			inputs = append(inputs, l.register(asked))
		default:
			return inputs
		}
	}
	return inputs
}

func (l *loop) register(asked request) replicator.Input {
	l.nextID++
	l.waiting[l.nextID] = asked.answer
	return asked.input(l.nextID)
}

// process steps through inputs and does what follows, with at most one sync.
func (l *loop) process(inputs []replicator.Input) error {
	led, term := l.replicator.Leads(), l.replicator.Term()
	for len(inputs) > 0 {
		var outputs []replicator.Output
		for _, input := range inputs {
			var output replicator.Output
			// The clock is read for each input: a process that was frozen must not use an old time.
			l.replicator, output = l.replicator.Step(timekeeper.Now(), l.random, input)
			l.send(output.Messages)
			outputs = append(outputs, output)
		}
		sequence, err := l.save(outputs)
		if err != nil {
			return err
		}
		inputs = nil
		if sequence > 0 {
			inputs = []replicator.Input{replicator.Synced{Sequence: sequence}}
		}
		for _, output := range outputs {
			if err := l.handleOutput(output); err != nil {
				return err
			}
		}
	}
	if led && (!l.replicator.Leads() || l.replicator.Term() != term) {
		l.failAll("the leader changed; sending the same again is safe")
	}
	l.publishStatus()
	l.compact()
	return nil
}

func (l *loop) save(outputs []replicator.Output) (uint64, error) {
	var sequence uint64
	for _, output := range outputs {
		if output.Save == nil {
			continue
		}
		if err := l.store.Write(*output.Save); err != nil {
			return 0, err
		}
		sequence = output.Save.Sequence
	}
	if sequence == 0 {
		return 0, nil
	}
	started := time.Now()
	if err := l.store.Sync(); err != nil {
		return 0, err
	}
	metrics.Add("syncs", 1)
	metrics.Add("sync_microseconds", time.Since(started).Microseconds())
	return sequence, nil
}

// send hands messages to the transport. The settings name the address of a member, or else the log does.
func (l *loop) send(messages []replicator.Message) {
	for _, message := range messages {
		if address, ok := l.addressOf(message.To); ok {
			l.transport.Send(address, message)
		}
	}
}

func (l *loop) addressOf(identity replicator.Identity) (string, bool) {
	member, ok := l.status.member(identity)
	if !ok {
		return "", false
	}
	if address, ok := l.settings.address(member.Name); ok {
		return address, true
	}
	return member.Address, member.Address != ""
}

// failAll answers the changes whose fate this process no longer learns.
func (l *loop) failAll(detail string) {
	for index, waiting := range l.appended {
		waiting.answer <- answer{err: refuser.Fail(refuser.LeaderUnknown, detail)}
		delete(l.appended, index)
	}
	for id, waiting := range l.waiting {
		waiting <- answer{err: refuser.Refuse(refuser.LeaderUnknown, detail)}
		delete(l.waiting, id)
	}
}

// publishControls publishes where the voters can be reached.
func (l *loop) publishControls() {
	voters := l.replicator.Members().Voters
	if slices.Equal(voters, l.publishedVoters) {
		return
	}
	l.publishedVoters = voters
	controls := make([]tracker.Control, 0, len(voters))
	for _, member := range voters {
		address := member.Address
		if configured, ok := l.settings.address(member.Name); ok {
			address = configured
		}
		controls = append(controls, tracker.Control{
			Name: member.Name, Region: member.Region, Centre: member.Centre, Address: address,
		})
	}
	l.hub.SetControls(controls)
}

func (l *loop) publishStatus() {
	l.status.set(l.replicator)
	l.publishControls()
	leads := int64(0)
	if l.replicator.Leads() {
		leads = 1
	}
	gauge.leads.Set(leads)
	gauge.term.Set(int64(l.replicator.Term()))
	gauge.commit.Set(int64(l.replicator.CommitIndex()))
	gauge.log.Set(l.store.LogSize())
}
