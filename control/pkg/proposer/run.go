package proposer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/replicator"
	"samphiremount.example/core/timekeeper"
	"samphiremount.example/core/tracker"
)

const (
	tickPeriod       = replicator.HeartbeatPeriod / 4
	maxInputsPerSync = 256
	// fullDiskInterval is the time between two writes to a disk that is full.
	fullDiskInterval = 50 * time.Millisecond
)

// loop is the state that only one goroutine of Run accesses. waiting holds, by ID, the requests whose entry is not yet in
// the log and the unconfirmed reads. appended holds the requests whose entry is in the log, by the index of the entry.
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

// appendedRequest is a request whose entry was appended in term. It is answered once an entry at its index is committed.
type appendedRequest struct {
	term   uint64
	answer chan answer
}

// confirmedRead is a read that is answered once the entries up to index are applied.
type confirmedRead struct {
	index  uint64
	answer chan answer
}

// Run runs the member until ctx ends. It returns an error if the data folder fails; the process must then exit.
func (r *Replica) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	l := &loop{
		Replica: r, replicator: replicator.New(r.self.Identity, r.stored, timekeeper.Now()),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), group: group,
		waiting: make(map[uint64]chan answer), appended: make(map[uint64]appendedRequest),
		applied:   r.stored.Snapshot.Position.Index,
		compactor: compactor{snapshotBytes: len(r.stored.Snapshot.Data)},
	}
	// The stored state is now held by the replicator, so this reference to it is released.
	r.stored = replicator.Stored{}
	r.status.set(l.replicator)
	group.Go(func() error { return r.transport.Run(ctx) })
	group.Go(func() error { return l.run(ctx) })
	group.Go(func() error { return r.runIntroductions(ctx) })
	group.Go(func() error { return r.runAppointments(ctx) })
	return group.Wait()
}

func (l *loop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	defer func() { _ = l.store.Close() }()
	defer func() {
		close(l.stopped)
		l.failAll(stoppedDetail)
		l.failReads(stoppedDetail)
	}()
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
		case pending := <-l.requests:
			inputs = append(inputs, l.register(pending))
		case input := <-l.inputs:
			l.compactor.finished(input)
			inputs = append(inputs, input)
		}
		if err := l.process(ctx, l.collect(inputs)); err != nil && ctx.Err() == nil {
			return err
		}
	}
}

// collect adds the messages and requests that are already queued, so that one sync serves all of them.
func (l *loop) collect(inputs []replicator.Input) []replicator.Input {
	for len(inputs) < maxInputsPerSync {
		select {
		case message := <-l.transport.Inbox():
			inputs = append(inputs, replicator.Received{Message: message})
		case pending := <-l.requests:
			inputs = append(inputs, l.register(pending))
		default:
			return inputs
		}
	}
	return inputs
}

func (l *loop) register(pending request) replicator.Input {
	l.nextID++
	l.waiting[l.nextID] = pending.answer
	return pending.input(l.nextID)
}

// process steps the replicator through inputs. It sends the resulting messages at once, persists the saves of all inputs
// with one sync, and then handles the rest of the outputs.
func (l *loop) process(ctx context.Context, inputs []replicator.Input) error {
	wasLeader, term := l.replicator.Leads(), l.replicator.Term()
	for len(inputs) > 0 {
		var outputs []replicator.Output
		for _, input := range inputs {
			var output replicator.Output
			// The clock is read for each input, so that a process that was suspended does not use an old time.
			l.replicator, output = l.replicator.Step(timekeeper.Now(), l.random, input)
			l.send(output.Messages)
			outputs = append(outputs, output)
		}
		sequence, err := l.save(ctx, outputs)
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
	if wasLeader && (!l.replicator.Leads() || l.replicator.Term() != term) {
		l.failAll("the leader changed; sending the same again is safe")
	}
	l.publishStatus()
	l.compact()
	return nil
}

func (l *loop) save(ctx context.Context, outputs []replicator.Output) (uint64, error) {
	var sequence uint64
	for _, output := range outputs {
		if output.Save == nil {
			continue
		}
		if err := l.write(ctx, *output.Save); err != nil {
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

// write writes save. While the disk is full, it waits and refuses requests: the other members then elect another leader, and
// this one goes on where it was as soon as there is room.
func (l *loop) write(ctx context.Context, save replicator.Save) error {
	err := l.store.Write(save)
	if errors.Is(err, storer.ErrFull) {
		l.log.Warn("waiting for room on the disk", "reason", err.Error())
		defer l.log.Info("wait for room on the disk ended")
	}
	retry := time.NewTicker(fullDiskInterval)
	defer retry.Stop()
	for errors.Is(err, storer.ErrFull) {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for room on the disk")
		case pending := <-l.requests:
			pending.answer <- answer{err: refuser.Refuse(refuser.LeaderUnknown, storer.ErrFull.Error())}
		case <-retry.C:
			err = l.store.Write(save)
		}
	}
	return err
}

// send passes messages to the transport. A message to a process without a known address is dropped.
func (l *loop) send(messages []replicator.Message) {
	for _, message := range messages {
		if address, ok := l.addressOf(message.To); ok {
			l.transport.Send(address, message)
		}
	}
}

// addressOf returns the address of a process: the one in the settings, or else the one that the process reported.
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

// failAll answers the proposals and the unconfirmed reads whose outcome this process will no longer learn. A proposal may
// still be committed, even if it is not known to be appended: its entry may be on disk or at another member by then.
func (l *loop) failAll(detail string) {
	for index, waiting := range l.appended {
		waiting.answer <- answer{err: refuser.Fail(refuser.LeaderUnknown, detail)}
		delete(l.appended, index)
	}
	for id, waiting := range l.waiting {
		waiting <- answer{err: refuser.Fail(refuser.LeaderUnknown, detail)}
		delete(l.waiting, id)
	}
}

// failReads answers the confirmed reads whose entries this process will no longer apply.
func (l *loop) failReads(detail string) {
	for _, read := range l.reads {
		read.answer <- answer{err: refuser.Refuse(refuser.LeaderUnknown, detail)}
	}
	l.reads = nil
}

// publishControls publishes the names and addresses of the voters to the nodes if they changed.
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
