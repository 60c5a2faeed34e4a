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

// Handler learns of other processes.
type Handler interface {
	// HandleIntroduction takes the introduction of another process and returns the own one.
	HandleIntroduction(other Introduction) Introduction
	// RecordSender takes the sender of messages that are about to be delivered.
	RecordSender(sender replicator.Member)
}

// Transporter sends messages to addresses and takes those that arrive. A message that cannot be delivered soon is
// dropped, as the log's rules allow.
type Transporter struct {
	self    replicator.Member
	pool    *messenger.Pool
	handler Handler
	log     *slog.Logger
	inbox   chan replicator.Message

	mu         sync.Mutex
	group      *errgroup.Group
	runContext context.Context
	senders    map[senderKey]*sender
}

// senderKey names a lane. Bulk lanes carry snapshots and entries, so that these do not delay heartbeats and votes.
type senderKey struct {
	address string
	bulk    bool
}

// New returns a Transporter that connects through pool and names own as the sender.
func New(own replicator.Member, pool *messenger.Pool, greeter Handler, log *slog.Logger) *Transporter {
	return &Transporter{
		self: own, pool: pool, handler: greeter, log: log, inbox: make(chan replicator.Message, inboxLength),
		senders: make(map[senderKey]*sender),
	}
}

// Inbox delivers the messages that arrive.
func (t *Transporter) Inbox() <-chan replicator.Message { return t.inbox }

// Run delivers what Send takes, until ctx ends.
func (t *Transporter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	t.mu.Lock()
	t.group, t.runContext = group, ctx
	for _, l := range t.senders {
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
	t.sender(senderKey{address, isBulk(message.Body)}).enqueue(message)
}

func (t *Transporter) sender(key senderKey) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.senders[key]; ok {
		return l
	}
	l := newSender(t.self, t.pool, key.address, t.log)
	t.senders[key] = l
	if ctx := t.runContext; ctx != nil && ctx.Err() == nil {
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

func isBulk(body replicator.Body) bool {
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
