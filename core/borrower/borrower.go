// Package borrower carries requests for tokens and reports about leases from nodes to lenders, and between lenders.
package borrower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/timekeeper"
)

const callBorrow = "borrow"

// Message goes to a lender. It asks for Wanted tokens of Workspace, if that is not empty, and settles leases. A spread
// one asks for what the other lenders have. A relayed one comes from another lender, and is not relayed again. A passed one
// came through a node that lends nothing, and is not passed again.
type Message struct {
	Workspace string
	Wanted    int
	Relayed   bool
	AskPeers  bool
	Proxied   bool
	Reports   []Report
}

// Report is about one lease of Lender.
type Report struct {
	Lender    string
	Workspace string
	allocator.Report
}

// Grant is what one lender lends.
type Grant struct {
	Lender string
	ID     uint64
	Tokens int
}

// Reply of Lender answers a message that asked for tokens: with loans, or with the reason why there is none. Used says
// that every lender that owns a part of the workspace answered that its part is used up. Again is when, on the clock of
// who asked, asking again may help.
type Reply struct {
	Lender    string
	Grants    []Grant
	Reason    string
	Exhausted bool
	RetryAt   time.Time
}

// Tokens returns the sum of the loans.
func (r Reply) Tokens() int {
	sum := 0
	for _, loan := range r.Grants {
		sum += loan.Tokens
	}
	return sum
}

// Lender answers messages.
type Lender interface {
	Borrow(ctx context.Context, message Message) Reply
}

// Proxier passes messages on to lenders. An error says that no lender got the message.
type Proxier interface {
	Proxy(ctx context.Context, message Message) (Reply, error)
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
	out := message.wire()
	var in replyWire
	if err := c.pool.Get(ctx, address).Invoke(ctx, callBorrow, messenger.Encoding{}, &out, &in); err != nil {
		return Reply{}, errors.Wrap(err, "borrow")
	}
	return in.reply(timekeeper.Now()), nil
}

// Register adds the call to mux; lender answers it.
func Register(mux messenger.Mux, lender Lender) {
	register(mux, func(ctx context.Context, message Message) (Reply, error) { return lender.Borrow(ctx, message), nil })
}

// RegisterProxier adds the call to mux of a process that lends nothing; passer passes it on.
func RegisterProxier(mux messenger.Mux, passer Proxier) {
	register(mux, passer.Proxy)
}

func register(mux messenger.Mux, answer func(ctx context.Context, message Message) (Reply, error)) {
	mux[callBorrow] = func(stream drpc.Stream) error {
		var in messageWire
		if err := stream.MsgRecv(&in, messenger.Encoding{}); err != nil {
			return errors.Wrap(err, "receive message")
		}
		message, err := in.message()
		if err != nil {
			return err
		}
		reply, err := answer(stream.Context(), message)
		if err != nil {
			return err
		}
		out := reply.wire(timekeeper.Now())
		return errors.Wrap(stream.MsgSend(&out, messenger.Encoding{}), "send reply")
	}
}
