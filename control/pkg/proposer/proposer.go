// Package proposer runs this process's member of the replicated log: it passes inputs to the replicator, persists and
// sends what the replicator returns, and applies committed entries.
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

	stoppedDetail = "this process stops"
)

// Proposer accepts operators' changes to the configuration and the membership.
type Proposer interface {
	// Propose returns the receipt of batch once it is committed and applied. Its errors are refusals: ChangeInvalid,
	// ChangeConflict, or LeaderUnknown if the caller must ask another process or retry.
	Propose(ctx context.Context, batch configurer.Batch) (configurer.Receipt, error)
	// ReadBarrier returns once this process has applied every change that was accepted before the call. It refuses with
	// LeaderUnknown if the process cannot confirm that.
	ReadBarrier(ctx context.Context) error
	// Replace starts the replacement of the member called name by the process of that name that asked to join with an
	// empty data folder. It refuses with LeaderUnknown, or with ChangeInvalid if no such process asked to join.
	Replace(ctx context.Context, name string) error
	// Status returns what this process knows of the cluster.
	Status() Status
}

// Settings describe a Replica and the cluster that it belongs to. Address is the IP address and port of its own listener
// for the fleet. BootstrapPeers are the processes that bootstrap the cluster together. MayBootstrap allows this process
// to bootstrap a new cluster. With AutoReconcile, the leader adds joining processes and removes lost members without an
// operator.
type Settings struct {
	Name           string
	Region         string
	Centre         string
	Address        string
	BootstrapPeers []BootstrapPeer
	MayBootstrap   bool
	AutoReconcile  bool
}

// BootstrapPeer is a process that the settings list. Name is empty if the settings give only its address.
type BootstrapPeer struct {
	Name    string
	Address string
}

// address returns the address that the settings give for name. It takes precedence over the address in the log.
func (s Settings) address(name string) (string, bool) {
	for _, peer := range s.BootstrapPeers {
		if name != "" && peer.Name == name {
			return peer.Address, true
		}
	}
	return "", false
}

// Replica is the Proposer that replicates the log with the other control processes.
type Replica struct {
	settings  Settings
	self      replicator.Member
	hub       *synchronizer.Hub
	store     *storer.Storer
	transport *transporter.Transporter
	log       *slog.Logger
	requests  chan request
	stopped   chan struct{}
	inputs    chan replicator.Input
	status    *sharedStatus
	stored    replicator.Stored
}

var _ Proposer = (*Replica)(nil)

// New loads the state on disk into hub and returns a Replica that continues from it. An empty disk is assigned
// newIdentity.
func New(
	settings Settings, disk storer.Disk, newIdentity replicator.Identity, hub *synchronizer.Hub, pool *messenger.Pool,
	log *slog.Logger,
) (*Replica, error) {
	store, identity, stored, err := storer.Open(disk, settings.Name, newIdentity)
	if err != nil {
		return nil, err
	}
	if err := install(hub, stored.Snapshot); err != nil {
		return nil, err
	}
	r := &Replica{
		settings: settings, hub: hub, store: store, log: log, requests: make(chan request), stored: stored,
		stopped: make(chan struct{}),
		inputs:  make(chan replicator.Input, inputQueueLength),
		self: replicator.Member{
			Identity: identity, Name: settings.Name, Address: settings.Address, Region: settings.Region, Centre: settings.Centre,
		},
		status: newSharedStatus(),
	}
	r.transport = transporter.New(r.self, pool, peerHandler{r}, log)
	log.Info("state loaded", "identity", identity, "term", stored.State.Term, "snapshot",
		stored.Snapshot.Position.Index, "entries", len(stored.Entries), "version", hub.Configuration().Version())
	return r, nil
}

// Register adds the handlers of calls from other control processes to mux.
func (r *Replica) Register(mux messenger.Mux) { r.transport.Register(mux) }

// Status implements Proposer.
func (r *Replica) Status() Status { return r.status.get() }

// Propose implements Proposer.
func (r *Replica) Propose(ctx context.Context, batch configurer.Batch) (configurer.Receipt, error) {
	data, err := encodeBatch(batch)
	if err != nil {
		return configurer.Receipt{}, err
	}
	// A committed entry that cannot be decoded would end every process that applies it.
	if _, err := decodeBatch(data); err != nil {
		return configurer.Receipt{}, refuser.Refuse(refuser.ChangeInvalid, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answer := r.submit(ctx, func(id uint64) replicator.Input { return replicator.Propose{ID: id, Data: data} })
	return answer.receipt, answer.err
}

// ReadBarrier implements Proposer.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.submit(ctx, func(id uint64) replicator.Input { return replicator.Read{ID: id} }).err
}

// Replace implements Proposer.
func (r *Replica) Replace(ctx context.Context, name string) error {
	status := r.status.get()
	process, ok := status.joiningProcess(name)
	if status.Leader != r.settings.Name {
		return refuser.Refuse(refuser.LeaderUnknown, "the leader is "+status.Leader)
	}
	if _, learns := status.Members.LearnerByName(name); learns && !ok {
		return nil
	}
	if !ok {
		return refuser.Refuse(refuser.ChangeInvalid, "no process called "+name+" reports with an empty data folder")
	}
	old, _ := status.Members.VoterByName(name)
	learner := replicator.Learner{Member: process, Replaces: old.Identity}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return r.submit(ctx, func(id uint64) replicator.Input { return replicator.AddLearner{ID: id, Learner: learner} }).err
}

// request is an input with the channel for its answer. input returns the input for the ID that the loop assigned.
type request struct {
	input  func(id uint64) replicator.Input
	answer chan answer
}

type answer struct {
	receipt configurer.Receipt
	err     error
}

func (r *Replica) submit(ctx context.Context, input func(id uint64) replicator.Input) answer {
	pending := request{input: input, answer: make(chan answer, 1)}
	select {
	case r.requests <- pending:
	case <-r.stopped:
		return answer{err: refuser.Refuse(refuser.LeaderUnknown, stoppedDetail)}
	case <-ctx.Done():
		return answer{err: refuser.Refuse(refuser.LeaderUnknown, "this process is busy")}
	}
	select {
	case result := <-pending.answer:
		return result
	case <-ctx.Done():
		return answer{err: refuser.Fail(refuser.LeaderUnknown, "no quorum answered in time; sending the same again is safe")}
	}
}

// ContactAge returns the time since this process was last in contact with the leader or, if it leads, with a quorum.
// Nodes use it as the age of the configuration that this process publishes. Otherwise a process on the minority side of
// a partition would make them treat an old configuration as the newest.
func (r *Replica) ContactAge() time.Duration {
	return r.status.contactAge()
}
