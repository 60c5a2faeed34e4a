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

// A batch is complete after messagesPerBatch messages, or once its entries have bytesPerBatch bytes. chunkTimeout bounds
// the time to send a chunk and receive its acknowledgement.
const (
	senderQueueLength = 1024
	messagesPerBatch  = 256
	bytesPerBatch     = 2 << 20
	chunkBytes        = 1 << 20
	dialTimeout       = time.Second
	chunkTimeout      = 4 * time.Second
	retryBackoff      = 100 * time.Millisecond
)

// sender sends messages to one address over one connection, in batches. A batch is sent in chunks, each of which is
// acknowledged. failed is set if the last batch could not be sent.
type sender struct {
	self    replicator.Member
	pool    *messenger.Pool
	address string
	log     *slog.Logger
	queue   chan replicator.Message

	conn      drpcpool.Conn
	stream    drpc.Stream
	endpoints endpoints
	// expands is set once the receiver of the stream has stated that it restores what endpoints leaves out.
	expands bool
	failed  bool
}

func newSender(self replicator.Member, pool *messenger.Pool, address string, log *slog.Logger) *sender {
	queue := make(chan replicator.Message, senderQueueLength)
	return &sender{self: self, pool: pool, address: address, log: log, queue: queue}
}

// enqueue queues message, or drops it if the queue is full.
func (s *sender) enqueue(message replicator.Message) {
	select {
	case s.queue <- message:
	default:
	}
}

func (s *sender) run(ctx context.Context) error {
	defer s.close()
	for {
		batch, ok := s.nextBatch(ctx)
		if !ok {
			return nil
		}
		err := s.send(ctx, batch)
		s.logTransition(err)
		if err == nil {
			continue
		}
		s.close()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(retryBackoff):
		}
	}
}

// logTransition logs the first of several consecutive failures, and the first success after them.
func (s *sender) logTransition(err error) {
	switch {
	case err != nil && !s.failed:
		s.log.Warn("sending to member failed", "address", s.address, "reason", err.Error())
	case err == nil && s.failed:
		s.log.Info("sending to member works again", "address", s.address)
	}
	s.failed = err != nil
}

// nextBatch waits for a message and returns a batch of it and those queued after it. It returns false if ctx ended.
func (s *sender) nextBatch(ctx context.Context) (batchMessage, bool) {
	batch := batchMessage{}
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
	case m := <-s.queue:
		add(m)
	}
	for len(batch.Messages) < messagesPerBatch && bytes < bytesPerBatch {
		select {
		case m := <-s.queue:
			add(m)
		default:
			return batch, true
		}
	}
	return batch, true
}

func (s *sender) send(ctx context.Context, batch batchMessage) error {
	if err := s.open(ctx); err != nil {
		return err
	}
	if !s.expands {
		batch.Sender = &s.self
	}
	for i := range batch.Messages {
		s.endpoints.compress(&batch.Messages[i], s.expands)
	}
	buf, err := messenger.Marshal(batch)
	if err != nil {
		return err
	}
	chunks := slices.Collect(slices.Chunk(buf, chunkBytes))
	for i, chunk := range chunks {
		if err := s.sendChunk(chunkMessage{Data: chunk, Last: i == len(chunks)-1}); err != nil {
			return err
		}
	}
	metrics.Add("messages", int64(len(batch.Messages)))
	metrics.Add("bytes", int64(len(buf)))
	return nil
}

func (s *sender) sendChunk(chunk chunkMessage) error {
	conn := s.conn
	timer := time.AfterFunc(chunkTimeout, func() { _ = conn.Close() })
	defer timer.Stop()
	if err := s.stream.MsgSend(&chunk, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "send messages")
	}
	var ack ackMessage
	if err := s.stream.MsgRecv(&ack, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive acknowledgement")
	}
	s.expands = ack.Expands
	return nil
}

func (s *sender) open(ctx context.Context) error {
	if s.stream != nil {
		return nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := s.pool.Dial(dialCtx, s.address)
	if err != nil {
		return err
	}
	stream, err := conn.NewStream(ctx, callReplicate, messenger.Encoding{})
	if err != nil {
		_ = conn.Close()
		return errors.Wrap(err, "open stream")
	}
	s.conn, s.stream, s.endpoints, s.expands = conn, stream, endpoints{}, false
	return nil
}

func (s *sender) close() {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	s.conn, s.stream = nil, nil
}
