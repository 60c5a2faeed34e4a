// Package proposer runs this process's member of the replicated log: it hands inputs to the replicator, writes and sends
// what follows, and applies what is committed.
package proposer

import (
	"context"
	"log/slog"
	"time"

	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/control/pkg/transporter"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/replicator"
	"samphiremount.example/core/synchronizer"
)

const (
	proposeTimeout   = 10 * time.Second
	readTimeout      = 3 * time.Second
	inputQueueLength = 2
)

// Proposer accepts operators' changes.
type Proposer interface {
	// Propose returns the receipt of an accepted batch. Its errors are refusals: ChangeInvalid, ChangeConflict, or
	// LeaderUnknown where another process must be asked, or the same one again.
	Propose(ctx context.Context, batch configurer.Batch) (configurer.Receipt, error)
	// ReadBarrier returns once this process has applied all that was accepted before the call. It refuses with
	// LeaderUnknown if it cannot learn that.
	ReadBarrier(ctx context.Context) error
	// Replace starts to replace the member called name by the process that reports under that name with an empty data
	// folder. It refuses with LeaderUnknown, or with ChangeInvalid if no such process reports.
	Replace(ctx context.Context, name string) error
	// Status returns what this process knows of the cluster.
	Status() Status
}

// Settings are what a Replicated must know of its place in the cluster. Address is the IP address and port of its own
// listener for the fleet. Founders are the processes that found the cluster together; MayFound says that this
// start may be the first one of all. Recruiting takes processes with unknown data folders in without an operator.
type Settings struct {
	Name           string
	Region         string
	Centre         string
	Address        string
	BootstrapPeers []BootstrapPeer
	MayBootstrap   bool
	AutoReconcile  bool
}

// BootstrapPeer is a process that the settings name. Name is empty where they give an address only.
type BootstrapPeer struct {
	Name    string
	Address string
}

// address returns the address that the settings give for name. It goes before the one in the log.
func (s Settings) address(name string) (string, bool) {
	for _, founder := range s.BootstrapPeers {
		if name != "" && founder.Name == name {
			return founder.Address, true
		}
	}
	return "", false
}

// Replica is the Proposer that keeps the log together with the other control processes.
type Replica struct {
	settings  Settings
	self      replicator.Member
	hub       *synchronizer.Hub
	store     *storer.Storer
	transport *transporter.Transporter
	log       *slog.Logger
	requests  chan request
	inputs    chan replicator.Input
	status    *sharedStatus
	stored    replicator.Stored
}

var _ Proposer = (*Replica)(nil)

// New reads the state of disk into hub, and returns the proposer that goes on from there. Drawn is the identity that an
// empty disk takes.
func New(
	settings Settings, disk storer.Disk, drawn replicator.Identity, hub *synchronizer.Hub, pool *messenger.Pool,
	log *slog.Logger,
) (*Replica, error) {
	store, identity, stored, err := storer.Open(disk, settings.Name, drawn)
	if err != nil {
		return nil, err
	}
	if err := install(hub, stored.Snapshot); err != nil {
		return nil, err
	}
	p := &Replica{
		settings: settings, hub: hub, store: store, log: log, requests: make(chan request), stored: stored,
		inputs: make(chan replicator.Input, inputQueueLength),
		self: replicator.Member{
			Identity: identity, Name: settings.Name, Address: settings.Address, Region: settings.Region, Centre: settings.Centre,
		},
		status: newSharedStatus(),
	}
	p.transport = transporter.New(p.self, pool, peerHandler{p}, log)
	log.Info("state loaded", "identity", identity, "term", stored.State.Term, "snapshot",
		stored.Snapshot.Position.Index, "entries", len(stored.Entries), "version", hub.Configuration().Version())
	return p, nil
}

// Register adds the calls of other control processes to mux.
func (p *Replica) Register(mux messenger.Mux) { p.transport.Register(mux) }

// Status implements Proposer.
func (p *Replica) Status() Status { return p.status.get() }

// Propose implements Proposer.
func (p *Replica) Propose(ctx context.Context, batch configurer.Batch) (configurer.Receipt, error) {
	data, err := encodeBatch(batch)
	if err != nil {
		return configurer.Receipt{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer := p.submit(ctx, func(id uint64) replicator.Input { return replicator.Propose{ID: id, Data: data} })
	return answer.receipt, answer.err
}

// ReadBarrier implements Proposer.
func (p *Replica) ReadBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.submit(ctx, func(id uint64) replicator.Input { return replicator.Read{ID: id} }).err
}

// Replace implements Proposer.
func (p *Replica) Replace(ctx context.Context, name string) error {
	status := p.status.get()
	newcomer, ok := status.joiningProcess(name)
	if status.Leader != p.settings.Name {
		return refuser.Refuse(refuser.LeaderUnknown, "the leader is "+status.Leader)
	}
	if _, learns := status.Members.LearnerByName(name); learns && !ok {
		return nil
	}
	if !ok {
		return refuser.Refuse(refuser.ChangeInvalid, "no process called "+name+" reports with an empty data folder")
	}
	old, _ := status.Members.VoterByName(name)
	learner := replicator.Learner{Member: newcomer, Replaces: old.Identity}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return p.submit(ctx, func(id uint64) replicator.Input { return replicator.AddLearner{ID: id, Learner: learner} }).err
}

// request is an input together with where its answer goes.
type request struct {
	input  func(id uint64) replicator.Input
	answer chan answer
}

type answer struct {
	receipt configurer.Receipt
	err     error
}

func (p *Replica) submit(ctx context.Context, input func(id uint64) replicator.Input) answer {
	asked := request{input: input, answer: make(chan answer, 1)}
	select {
	case p.requests <- asked:
	case <-ctx.Done():
		return answer{err: refuser.Refuse(refuser.LeaderUnknown, "this process is busy")}
	}
	select {
	case answered := <-asked.answer:
		return answered
	case <-ctx.Done():
		return answer{err: refuser.Fail(refuser.LeaderUnknown, "no quorum answered in time; sending the same again is safe")}
	}
}

// ContactAge returns how long this process has known no leader. Nodes take it as the age of what it publishes: a process on
// the far side of a partition must not make them believe that they hear the newest changes.
func (p *Replica) ContactAge() time.Duration {
	return p.status.contactAge()
}
