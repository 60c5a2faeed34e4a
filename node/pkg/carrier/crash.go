package carrier

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
	// crashLimit bounds the time in which the gates of a service are told of a crash.
	crashLimit = 300 * time.Millisecond
	// crashCalls is the number of gates that are told at the same time.
	crashCalls = 16
)

type crashBody struct {
	ID     string `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	Alone  bool   `cbor:"3,keyasint,omitempty"`
}

// SpreadCrash tells the gates at addresses of a crash. Those that are not reached in time learn of the content by its
// next crash.
func (c *Client) SpreadCrash(addresses []string, crash quarantiner.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), crashLimit)
	defer cancel()
	body := crashBody{ID: crash.ID, Digest: uint64(crash.Digest), Alone: crash.Alone}
	var group errgroup.Group
	group.SetLimit(crashCalls)
	for _, address := range addresses {
		group.Go(func() error {
			err := c.pool.Get(ctx, address).Invoke(ctx, callCrash, messenger.Encoding{}, &body, &crashBody{})
			if err != nil {
				c.counts.Add("crash_not_told", 1)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (s *Server) crash(stream drpc.Stream) error {
	var body crashBody
	if err := stream.MsgRecv(&body, messenger.Encoding{}); err != nil {
		return errors.Wrap(err, "receive crash")
	}
	s.gate.Crash(quarantiner.Crash{ID: body.ID, Digest: quarantiner.Digest(body.Digest), Alone: body.Alone})
	return errors.Wrap(stream.MsgSend(&crashBody{}, messenger.Encoding{}), "confirm crash")
}
