// Package transporter sends and receives the messages of the replicated log between control processes.
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

// Introduction describes a control process. InCluster is set if the process already belongs to a cluster; Members is the
// membership as it knows it. A request states in Known the digest of the members that the receiver has last stated; an answer
// with the same members leaves them out.
type Introduction struct {
	Member    replicator.Member
	InCluster bool
	Members   []replicator.Member
	Known     uint64
}

// Handler handles what other processes report about themselves.
type Handler interface {
	// HandleIntroduction handles the introduction of another process and returns that of this process.
	HandleIntroduction(other Introduction) Introduction
	// RecordSender records the sender of a batch of messages before the batch is delivered.
	RecordSender(sender replicator.Member)
}

// Transporter sends messages to addresses and delivers received messages to its inbox. A message that cannot be sent soon
// is dropped, since the replication protocol tolerates lost messages.
type Transporter struct {
	self    replicator.Member
	pool    *messenger.Pool
	handler Handler
	log     *slog.Logger
	inbox   chan replicator.Message

	mu      sync.Mutex
	group   *errgroup.Group
	runCtx  context.Context
	senders map[senderKey]*sender
}

// senderKey identifies a sender. Snapshots and entries have a sender with bulk set, so that they do not delay heartbeats
// and votes.
type senderKey struct {
	address string
	bulk    bool
}

// New returns a Transporter that connects through pool and sends self as the sender of its messages.
func New(self replicator.Member, pool *messenger.Pool, handler Handler, log *slog.Logger) *Transporter {
	return &Transporter{
		self: self, pool: pool, handler: handler, log: log, inbox: make(chan replicator.Message, inboxLength),
		senders: make(map[senderKey]*sender),
	}
}

// Inbox returns the channel of received messages.
func (t *Transporter) Inbox() <-chan replicator.Message { return t.inbox }

// Run sends the queued messages until ctx ends.
func (t *Transporter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	t.mu.Lock()
	t.group, t.runCtx = group, ctx
	for _, s := range t.senders {
		group.Go(func() error { return s.run(ctx) })
	}
	t.mu.Unlock()
	group.Go(func() error {
		<-ctx.Done()
		return nil
	})
	return group.Wait()
}

// Send queues message for the process at address. It drops the message if the queue is full.
func (t *Transporter) Send(address string, message replicator.Message) {
	t.sender(senderKey{address, isBulk(message.Body)}).enqueue(message)
}

// sender returns the sender for key. If there is none yet, it creates one, and starts it if Run is active.
func (t *Transporter) sender(key senderKey) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.senders[key]; ok {
		return s
	}
	s := newSender(t.self, t.pool, key.address, t.log)
	t.senders[key] = s
	if ctx := t.runCtx; ctx != nil && ctx.Err() == nil {
		t.group.Go(func() error { return s.run(ctx) })
	}
	return s
}

// Introduce sends self, the introduction of this process, to the process at address and returns the introduction of that
// process.
func (t *Transporter) Introduce(ctx context.Context, address string, self Introduction) (Introduction, error) {
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	conn := t.pool.Get(ctx, address)
	defer func() { _ = conn.Close() }()
	request, reply := newIntroductionMessage(self), introductionMessage{}
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
