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

// BroadcastCrash reports a crash to the gates at addresses. A gate that can't be reached in time learns of the
// content only when it crashes another target.
func (c *Client) BroadcastCrash(addresses []string, crash quarantiner.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	body := crashMessage{ID: crash.ID, Digest: uint64(crash.Digest), Alone: crash.Alone}
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

func (s *Server) crash(stream drpc.Stream) error {
	var body crashMessage
	if err := stream.MsgRecv(&body, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive crash")
	}
	s.gate.RecordCrash(quarantiner.Crash{ID: body.ID, Digest: quarantiner.Digest(body.Digest), Alone: body.Alone})
	return errors.Wrap(stream.MsgSend(&crashMessage{}, messenger.Encoding{}), "acknowledge crash")
}
