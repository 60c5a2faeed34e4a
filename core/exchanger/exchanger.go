// Package exchanger carries requests for tokens and reports about leases from nodes to lenders, and between lenders.
package exchanger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/allotter"
	"samphiremount.example/core/messenger"
)

const (
	callBorrow = "borrow"
	maxReports = 4096
)

// Message goes to a lender. It asks for Wanted tokens of Workspace, if that is not empty, and settles leases. A relayed
// one comes from a lender that was short, and is not relayed again.
type Message struct {
	Workspace string
	Wanted    int
	Relayed   bool
	Reports   []Report
}

// Report is about one lease of Lender.
type Report struct {
	Lender    string
	Workspace string
	allotter.Report
}

// Reply answers a message that asked for tokens: with a loan, if Tokens is above 0, or with the reason why there is
// none. Used says that every lender that owns a part of the workspace answered that its part is used up. Again is when,
// on the clock of who asked, asking again may help.
type Reply struct {
	Lender string
	ID     uint64
	Tokens int
	Reason string
	Used   bool
	Again  time.Time
}

// Lender answers messages.
type Lender interface {
	Borrow(ctx context.Context, message Message) Reply
}

type reportWire struct {
	Lender    string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint"`
	ID        uint64 `cbor:"3,keyasint"`
	Spent     int    `cbor:"4,keyasint,omitempty"`
	Returned  bool   `cbor:"5,keyasint,omitempty"`
}

type messageWire struct {
	Workspace string       `cbor:"1,keyasint,omitempty"`
	Wanted    int          `cbor:"2,keyasint,omitempty"`
	Relayed   bool         `cbor:"3,keyasint,omitempty"`
	Reports   []reportWire `cbor:"4,keyasint,omitempty"`
}

type replyWire struct {
	Lender       string `cbor:"1,keyasint,omitempty"`
	ID           uint64 `cbor:"2,keyasint,omitempty"`
	Tokens       int    `cbor:"3,keyasint,omitempty"`
	Reason       string `cbor:"4,keyasint,omitempty"`
	Used         bool   `cbor:"5,keyasint,omitempty"`
	Milliseconds int64  `cbor:"6,keyasint,omitempty"`
}

// Client sends messages to lenders.
type Client struct {
	pool *messenger.Pool
}

// NewClient returns a client that uses the connections of pool.
func NewClient(pool *messenger.Pool) *Client {
	return &Client{pool: pool}
}

// Borrow sends message to the lender at address and returns its reply, or an error if there was none before ctx ended.
func (c *Client) Borrow(ctx context.Context, address string, message Message) (Reply, error) {
	out := messageWire{Workspace: message.Workspace, Wanted: message.Wanted, Relayed: message.Relayed}
	for _, r := range message.Reports {
		out.Reports = append(out.Reports, reportWire{r.Lender, r.Workspace, r.ID, r.Spent, r.Returned})
	}
	var in replyWire
	if err := c.pool.Get(ctx, address).Invoke(ctx, callBorrow, messenger.Encoding{}, &out, &in); err != nil {
		return Reply{}, errors.Wrap(err, "borrow")
	}
	return Reply{
		Lender: in.Lender, ID: in.ID, Tokens: in.Tokens, Reason: in.Reason, Used: in.Used,
		Again: time.Now().Add(time.Duration(in.Milliseconds) * time.Millisecond),
	}, nil
}

// Register adds the call to mux; lender answers it.
func Register(mux messenger.Mux, lender Lender) {
	mux[callBorrow] = func(stream drpc.Stream) error {
		var in messageWire
		if err := stream.MsgRecv(&in, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive message")
		}
		if len(in.Reports) > maxReports || in.Wanted < 0 {
			return errors.Newf("%d reports and %d tokens wanted are not allowed", len(in.Reports), in.Wanted)
		}
		message := Message{Workspace: in.Workspace, Wanted: in.Wanted, Relayed: in.Relayed}
		for _, r := range in.Reports {
			settled := allotter.Report{ID: r.ID, Spent: r.Spent, Returned: r.Returned}
			message.Reports = append(message.Reports, Report{r.Lender, r.Workspace, settled})
		}
		reply := lender.Borrow(stream.Context(), message)
		out := replyWire{
			Lender: reply.Lender, ID: reply.ID, Tokens: reply.Tokens, Reason: reply.Reason, Used: reply.Used,
			Milliseconds: max(0, time.Until(reply.Again).Milliseconds()),
		}
		return errors.Wrap(stream.MsgSend(&out, messenger.Encoding{}), "send reply")
	}
}
