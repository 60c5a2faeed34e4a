// Package borrower sends requests for tokens and reports on leases from nodes to lenders, and between lenders.
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

// Message is sent to a lender. It asks for Wanted tokens of Workspace, if that is not empty, and reports on leases.
// With AskPeers set, it asks for tokens of the other lenders. A message that one lender relays to another has Relayed
// set and is not relayed again. A message that a node proxies to a lender has Proxied set and is not proxied again.
// With Probe set, it asks for no tokens, but whether the lender lends yet.
type Message struct {
	Workspace string
	Wanted    int
	Relayed   bool
	AskPeers  bool
	Proxied   bool
	Probe     bool
	Reports   []Report
}

// Report reports on a lease that Lender granted.
type Report struct {
	Lender    string
	Workspace string
	allocator.Report
}

// Grant is a grant of tokens by Lender.
type Grant struct {
	Lender string
	ID     uint64
	Tokens int
}

// Reply is the answer of Lender to a message that asks for tokens: grants, or the reason why there are none. Exhausted
// is set if every lender that owns a quota of the workspace replied that its quota is used up. RetryAt is the time, on
// the clock of the process that asked, from which a retry may succeed.
type Reply struct {
	Lender    string
	Grants    []Grant
	Reason    string
	Exhausted bool
	RetryAt   time.Time
}

// Tokens returns the number of granted tokens.
func (r Reply) Tokens() int {
	sum := 0
	for _, grant := range r.Grants {
		sum += grant.Tokens
	}
	return sum
}

// Lender handles messages.
type Lender interface {
	Borrow(ctx context.Context, message Message) Reply
}

// Proxier forwards messages to lenders. It returns an error if no lender received the message.
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

// Borrow sends message to the lender at address and returns its reply. It fails if no reply arrives before
// ctx ends.
func (c *Client) Borrow(ctx context.Context, address string, message Message) (Reply, error) {
	out := message.wire()
	var in replyWire
	if err := c.pool.Get(ctx, address).Invoke(ctx, callBorrow, messenger.Encoding{}, &out, &in); err != nil {
		return Reply{}, errors.Wrap(err, "borrow")
	}
	return in.reply(timekeeper.Now()), nil
}

// Register adds the handler of Borrow calls to mux. It passes their messages to lender.
func Register(mux messenger.Mux, lender Lender) {
	register(mux, func(ctx context.Context, message Message) (Reply, error) { return lender.Borrow(ctx, message), nil })
}

// RegisterProxier adds the handler of Borrow calls to the mux of a process that is not a lender. It passes their messages
// to proxier.
func RegisterProxier(mux messenger.Mux, proxier Proxier) {
	register(mux, proxier.Proxy)
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
