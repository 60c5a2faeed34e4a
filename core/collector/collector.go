// Package collector carries digests of evidence from nodes to control processes, and lists of ejections back.
package collector

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
	callReport = "inform"
	maxDigests = 4096
)

// Coordinator takes digests and returns the list of ejections in force, and until when it counts.
type Coordinator interface {
	Observe(digests []observer.Digest) ([]ejector.Ejection, time.Time)
}

type reportRequest struct {
	Digests []observer.Digest `cbor:"1,keyasint,omitempty"`
}

// reportReply holds the list and the time in milliseconds for which it still counts.
type reportReply struct {
	List      []ejector.Ejection `cbor:"1,keyasint,omitempty"`
	Remaining int64              `cbor:"2,keyasint,omitempty"`
}

// Report sends digests to the control process at address. It returns the list of ejections and until when that counts,
// which is reckoned from before the question was sent.
func Report(
	ctx context.Context, pool *messenger.Pool, address string, digests []observer.Digest,
) ([]ejector.Ejection, time.Time, error) {
	asked := time.Now()
	message := reportRequest{digests[:min(len(digests), maxDigests)]}
	var reply reportReply
	if err := pool.Get(ctx, address).Invoke(ctx, callReport, messenger.Encoding{}, &message, &reply); err != nil {
		return nil, time.Time{}, errors.Wrap(err, "inform")
	}
	return reply.List, asked.Add(time.Duration(reply.Remaining) * time.Millisecond), nil
}

// Register adds the call to mux; arbiter answers it.
func Register(mux messenger.Mux, arbiter Coordinator) {
	mux[callReport] = func(stream drpc.Stream) error {
		var message reportRequest
		if err := stream.MsgRecv(&message, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive digests")
		}
		if len(message.Digests) > maxDigests {
			return errors.Newf("%d digests are not allowed", len(message.Digests))
		}
		list, deadline := arbiter.Observe(message.Digests)
		reply := reportReply{List: list, Remaining: max(time.Until(deadline).Milliseconds(), 0)}
		if deadline.IsZero() {
			reply = reportReply{}
		}
		return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send ejections")
	}
}
