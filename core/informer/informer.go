// Package informer carries digests of evidence from nodes to control processes, and lists of ejections back.
package informer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/ejector"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/observer"
)

const (
	callInform = "inform"
	maxDigests = 4096
)

// Arbiter takes digests and returns the list of ejections in force, and until when it counts.
type Arbiter interface {
	Observe(digests []observer.Digest) ([]ejector.Ejection, time.Time)
}

type informMessage struct {
	Digests []observer.Digest `cbor:"1,keyasint,omitempty"`
}

// informReply holds the list and the time in milliseconds for which it still counts.
type informReply struct {
	List      []ejector.Ejection `cbor:"1,keyasint,omitempty"`
	Remaining int64              `cbor:"2,keyasint,omitempty"`
}

// Inform sends digests to the control process at address. It returns the list of ejections and until when that counts,
// which is reckoned from before the question was sent.
func Inform(
	ctx context.Context, pool *messenger.Pool, address string, digests []observer.Digest,
) ([]ejector.Ejection, time.Time, error) {
	asked := time.Now()
	message := informMessage{digests[:min(len(digests), maxDigests)]}
	var reply informReply
	if err := pool.Get(ctx, address).Invoke(ctx, callInform, messenger.Encoding{}, &message, &reply); err != nil {
		return nil, time.Time{}, errors.Wrap(err, "inform")
	}
	return reply.List, asked.Add(time.Duration(reply.Remaining) * time.Millisecond), nil
}

// Register adds the call to mux; arbiter answers it.
func Register(mux messenger.Mux, arbiter Arbiter) {
	mux[callInform] = func(stream drpc.Stream) error {
		var message informMessage
		if err := stream.MsgRecv(&message, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive digests")
		}
		if len(message.Digests) > maxDigests {
			return errors.Newf("%d digests are not allowed", len(message.Digests))
		}
		list, deadline := arbiter.Observe(message.Digests)
		reply := informReply{List: list, Remaining: max(time.Until(deadline).Milliseconds(), 0)}
		if deadline.IsZero() {
			reply = informReply{}
		}
		return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send ejections")
	}
}
