// Package collector sends digests of evidence about targets from nodes to control processes, and the lists of
// ejections back.
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

// Coordinator processes digests. Observe returns the list of ejections in force and the time until which it is valid.
type Coordinator interface {
	Observe(digests []observer.Digest) ([]ejector.Ejection, time.Time)
}

type reportRequest struct {
	Digests []observer.Digest `cbor:"1,keyasint,omitempty"`
}

// reportReply holds the list of ejections and the time for which it remains valid, in milliseconds.
type reportReply struct {
	List      []ejector.Ejection `cbor:"1,keyasint,omitempty"`
	Remaining int64              `cbor:"2,keyasint,omitempty"`
}

// Report sends digests to the control process at address. It returns the list of ejections and the time until which
// it is valid. That time is computed from the moment before the request was sent, so that a slow reply does not
// extend it.
func Report(
	ctx context.Context, pool *messenger.Pool, address string, digests []observer.Digest,
) ([]ejector.Ejection, time.Time, error) {
	sentAt := time.Now()
	message := reportRequest{digests[:min(len(digests), maxDigests)]}
	var reply reportReply
	if err := pool.Get(ctx, address).Invoke(ctx, callReport, messenger.Encoding{}, &message, &reply); err != nil {
		return nil, time.Time{}, errors.Wrap(err, "inform")
	}
	return reply.List, sentAt.Add(time.Duration(reply.Remaining) * time.Millisecond), nil
}

// Register adds the handler of Report calls to mux. It passes their digests to coordinator.
func Register(mux messenger.Mux, coordinator Coordinator) {
	mux[callReport] = func(stream drpc.Stream) error {
		var message reportRequest
		if err := stream.MsgRecv(&message, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive digests")
		}
		if len(message.Digests) > maxDigests {
			return errors.Newf("report has too many digests: %d", len(message.Digests))
		}
		list, deadline := coordinator.Observe(message.Digests)
		reply := reportReply{List: list, Remaining: max(time.Until(deadline).Milliseconds(), 0)}
		if deadline.IsZero() {
			reply = reportReply{}
		}
		return errors.Wrap(stream.MsgSend(&reply, messenger.Encoding{}), "send ejections")
	}
}
