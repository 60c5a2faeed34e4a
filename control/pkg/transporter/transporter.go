// Package transporter carries the log's messages between control processes.
package transporter

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/replicator"
)

const (
	introduceTimeout = 2 * time.Second
	inboxLength      = 256
)

// Introduction says who a control process is and whether it belongs to a cluster already, with the members that it
// knows of.
type Introduction struct {
	Member  replicator.Member
	Formed  bool
	Members []replicator.Member
}

// Greeter learns of other processes.
type Greeter interface {
	// Introduced takes the introduction of another process and returns the own one.
	Introduced(other Introduction) Introduction
	// Known takes the sender of messages that are about to be delivered.
	Known(sender replicator.Member)
}

// Transporter sends messages to addresses and takes those that arrive. A message that cannot be delivered soon is
// dropped, as the log's rules allow.
type Transporter struct {
	own     replicator.Member
	pool    *messenger.Pool
	greeter Greeter
	log     *slog.Logger
	inbox   chan replicator.Message

	mu      sync.Mutex
	group   *errgroup.Group
	running context.Context
	lanes   map[laneKey]*lane
}

// laneKey names a lane. Bulk lanes carry snapshots and entries, so that these do not delay heartbeats and votes.
type laneKey struct {
	address string
	bulk    bool
}

// New returns a Transporter that connects through pool and names own as the sender.
func New(own replicator.Member, pool *messenger.Pool, greeter Greeter, log *slog.Logger) *Transporter {
	return &Transporter{
		own: own, pool: pool, greeter: greeter, log: log, inbox: make(chan replicator.Message, inboxLength),
		lanes: make(map[laneKey]*lane),
	}
}

// Inbox delivers the messages that arrive.
func (t *Transporter) Inbox() <-chan replicator.Message { return t.inbox }

// Run delivers what Send takes, until ctx ends.
func (t *Transporter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	t.mu.Lock()
	t.group, t.running = group, ctx
	for _, l := range t.lanes {
		group.Go(func() error { return l.run(ctx) })
	}
	t.mu.Unlock()
	group.Go(func() error {
		<-ctx.Done()
		return nil
	})
	return group.Wait()
}

// Send hands messages over for the process at address.
func (t *Transporter) Send(address string, message replicator.Message) {
	t.lane(laneKey{address, bulky(message.Body)}).put(message)
}

func (t *Transporter) lane(key laneKey) *lane {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.lanes[key]; ok {
		return l
	}
	l := newLane(t.own, t.pool, key.address, t.log)
	t.lanes[key] = l
	if ctx := t.running; ctx != nil && ctx.Err() == nil {
		t.group.Go(func() error { return l.run(ctx) })
	}
	return l
}

// Introduce tells the process at address who this one is, and returns who that one is.
func (t *Transporter) Introduce(ctx context.Context, address string, own Introduction) (Introduction, error) {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	conn, err := t.pool.Dial(ctx, address)
	if err != nil {
		return Introduction{}, err
	}
	defer func() { _ = conn.Close() }()
	request, reply := newIntroductionMessage(own), introductionMessage{}
	if err := conn.Invoke(ctx, callIntroduce, messenger.Encoding{}, &request, &reply); err != nil {
		return Introduction{}, errors.Wrap(err, "introduce")
	}
	return reply.introduction(), nil
}

func bulky(body replicator.Body) bool {
	switch body := body.(type) {
	case replicator.SnapshotRequest:
		return true
	case replicator.AppendRequest:
		return len(body.Entries) > 0
	case replicator.VoteRequest, replicator.VoteReply, replicator.AppendReply, replicator.ReadRequest,
		replicator.ReadReply:
	}
	return false
}
