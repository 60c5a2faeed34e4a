package forwarder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/quarantiner"
)

const (
	// crashTimeout bounds the time for reporting a crash to all gates of a service.
	crashTimeout = 300 * time.Millisecond
	// maxConcurrentCrashCalls bounds the number of gates that are called at the same time.
	maxConcurrentCrashCalls = 16
)

type crashMessage struct {
	ID     string `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Alone  bool   `cbor:"3,keyasint,omitempty"`
}

// crashesMessage is empty in a request.
type crashesMessage struct {
	Crashes []crashMessage `cbor:"1,keyasint,omitempty"`
}

func newCrashMessage(crash quarantiner.Crash) crashMessage {
	return crashMessage{ID: crash.ID, Digest: uint64(crash.Digest), Alone: crash.Alone}
}

func (m crashMessage) crash() quarantiner.Crash {
	return quarantiner.Crash{ID: m.ID, Digest: quarantiner.Digest(m.Digest), Alone: m.Alone}
}

// BroadcastCrash reports a crash to the gates at addresses. A gate that can't be reached in time learns of the
// content only when it crashes another target.
func (c *Client) BroadcastCrash(addresses []string, crash quarantiner.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	body := newCrashMessage(crash)
	var group errgroup.Group
	group.SetLimit(maxConcurrentCrashCalls)
	for _, address := range addresses {
		group.Go(func() error {
			err := c.pool.Get(ctx, address).Invoke(ctx, callCrash, messenger.Encoding{}, &body, &crashMessage{})
			if err != nil {
				c.counts.Add("crash_not_told", 1)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// Crashes returns the crashes that the gate at address knows.
func (c *Client) Crashes(ctx context.Context, address string) ([]quarantiner.Crash, error) {
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	var reply crashesMessage
	if err := c.pool.Get(ctx, address).Invoke(ctx, callCrashes, messenger.Encoding{}, &crashesMessage{}, &reply); err != nil {
		return nil, errors.Wrap(err, "read crashes")
	}
	crashes := make([]quarantiner.Crash, 0, len(reply.Crashes))
	for _, message := range reply.Crashes {
		crashes = append(crashes, message.crash())
	}
	return crashes, nil
}

func (s *Server) crashes(stream drpc.Stream) error {
	var reply crashesMessage
	if err := stream.MsgRecv(&reply, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive request for crashes")
	}
	for _, crash := range s.gate.Crashes() {
		reply.Crashes = append(reply.Crashes, newCrashMessage(crash))
	}
	return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send crashes")
}

func (s *Server) crash(stream drpc.Stream) error {
	var body crashMessage
	if err := stream.MsgRecv(&body, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive crash")
	}
	s.gate.RecordCrash(body.crash())
	return errors.Wrap(stream.MsgSend(&crashMessage{}, messenger.Encoding{}), "acknowledge crash")
}
