package transporter

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcpool"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/replicator"
)

const (
	senderQueueLength = 1024
	messagesPerBatch  = 256
	bytesPerBatch     = 2 << 20
	chunkBytes        = 1 << 20
	dialTimeout       = time.Second
	chunkTimeout      = 4 * time.Second
	retryBackoff      = 100 * time.Millisecond
)

// sender sends messages to one address over one connection, in batches, each of which is acknowledged.
type sender struct {
	self    replicator.Member
	pool    *messenger.Pool
	address string
	log     *slog.Logger
	queue   chan replicator.Message

	conn   drpcpool.Conn
	stream drpc.Stream
	failed bool
}

func newSender(own replicator.Member, pool *messenger.Pool, address string, log *slog.Logger) *sender {
	queue := make(chan replicator.Message, senderQueueLength)
	return &sender{self: own, pool: pool, address: address, log: log, queue: queue}
}

// enqueue drops the message if the lane is full.
func (l *sender) enqueue(message replicator.Message) {
	select {
	case l.queue <- message:
	default:
	}
}

func (l *sender) run(ctx context.Context) error {
	defer l.close()
	for {
		batch, ok := l.nextBatch(ctx)
		if !ok {
			return nil
		}
		err := l.send(ctx, batch)
		l.logTransition(err)
		if err == nil {
			continue
		}
		l.close()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(retryBackoff):
		}
	}
}

// logTransition logs only the first of several failures.
func (l *sender) logTransition(err error) {
	switch {
	case err != nil && !l.failed:
		l.log.Warn("member cannot be reached", "address", l.address, "reason", err.Error())
	case err == nil && l.failed:
		l.log.Info("member reached again", "address", l.address)
	}
	l.failed = err != nil
}

func (l *sender) nextBatch(ctx context.Context) (batchMessage, bool) {
	batch := batchMessage{Sender: l.self}
	bytes := 0
	add := func(m replicator.Message) {
		batch.Messages = append(batch.Messages, newWireMessage(m))
		if request, ok := m.Body.(replicator.AppendRequest); ok {
			for _, entry := range request.Entries {
				bytes += len(entry.Data)
			}
		}
	}
	select {
	case <-ctx.Done():
		return batch, false
	case m := <-l.queue:
		add(m)
	}
	for len(batch.Messages) < messagesPerBatch && bytes < bytesPerBatch {
		select {
		case m := <-l.queue:
			add(m)
		default:
			return batch, true
		}
	}
	return batch, true
}

func (l *sender) send(ctx context.Context, batch batchMessage) error {
	if err := l.open(ctx); err != nil {
		return err
	}
	buf, err := messenger.Marshal(batch)
	if err != nil {
		return err
	}
	parts := slices.Collect(slices.Chunk(buf, chunkBytes))
	for i, part := range parts {
		if err := l.sendChunk(chunkMessage{Data: part, Last: i == len(parts)-1}); err != nil {
			return err
		}
	}
	metrics.Add("messages", int64(len(batch.Messages)))
	metrics.Add("bytes", int64(len(buf)))
	return nil
}

func (l *sender) sendChunk(part chunkMessage) error {
	conn := l.conn
	timer := time.AfterFunc(chunkTimeout, func() { _ = conn.Close() })
	defer timer.Stop()
	if err := l.stream.MsgSend(&part, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "send messages")
	}
	var ack ackMessage
	return errors.Wrap(l.stream.MsgRecv(&ack, messenger.Encoding{}), "receive acknowledgement")
}

func (l *sender) open(ctx context.Context) error {
	if l.stream != nil {
		return nil
	}
	dialling, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.pool.Dial(dialling, l.address)
	if err != nil {
		return err
	}
	stream, err := conn.NewStream(ctx, callReplicate, messenger.Encoding{})
	if err != nil {
		_ = conn.Close()
		return errors.Wrap(err, "open stream")
	}
	l.conn, l.stream = conn, stream
	return nil
}

func (l *sender) close() {
	if l.conn != nil {
		_ = l.conn.Close()
	}
	l.conn, l.stream = nil, nil
}
