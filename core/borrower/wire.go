package borrower

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/allocator"
)

const maxReports = 4096

// reportWire names its lender by its place in messageWire's Lenders.
type reportWire struct {
	Lender    int    `cbor:"1,keyasint,omitempty"`
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
	AskPeers  bool         `cbor:"5,keyasint,omitempty"`
	Lenders   []string     `cbor:"6,keyasint,omitempty"`
	Proxied   bool         `cbor:"7,keyasint,omitempty"`
}

// grantWire names its lender if that is not the one that replies.
type grantWire struct {
	Lender string `cbor:"1,keyasint,omitempty"`
	ID     uint64 `cbor:"2,keyasint"`
	Tokens int    `cbor:"3,keyasint"`
}

type replyWire struct {
	Lender                 string      `cbor:"1,keyasint,omitempty"`
	Grants                 []grantWire `cbor:"2,keyasint,omitempty"`
	Reason                 string      `cbor:"3,keyasint,omitempty"`
	Exhausted              bool        `cbor:"4,keyasint,omitempty"`
	RetryAfterMilliseconds int64       `cbor:"5,keyasint,omitempty"`
}

func (m Message) wire() messageWire {
	out := messageWire{Workspace: m.Workspace, Wanted: m.Wanted, Relayed: m.Relayed, AskPeers: m.AskPeers, Proxied: m.Proxied}
	for _, r := range m.Reports {
		place := slices.Index(out.Lenders, r.Lender)
		if place < 0 {
			place = len(out.Lenders)
			out.Lenders = append(out.Lenders, r.Lender)
		}
		out.Reports = append(out.Reports, reportWire{place, r.Workspace, r.ID, r.Spent, r.Returned})
	}
	return out
}

// message returns what the wire form says, or an error if it is out of bounds.
func (m messageWire) message() (Message, error) {
	if len(m.Reports) > maxReports || m.Wanted < 0 {
		return Message{}, errors.Newf("%d reports and %d tokens wanted are not allowed", len(m.Reports), m.Wanted)
	}
	message := Message{Workspace: m.Workspace, Wanted: m.Wanted, Relayed: m.Relayed, AskPeers: m.AskPeers, Proxied: m.Proxied}
	for _, r := range m.Reports {
		if r.Lender < 0 || r.Lender >= len(m.Lenders) || r.Spent < 0 {
			return Message{}, errors.Newf("a report of lender %d with %d tokens spent is not allowed", r.Lender, r.Spent)
		}
		settled := allocator.Report{ID: r.ID, Spent: r.Spent, Returned: r.Returned}
		message.Reports = append(message.Reports, Report{m.Lenders[r.Lender], r.Workspace, settled})
	}
	return message, nil
}

// wire states the deadline as the time that is left at now, since the other side has another clock.
func (r Reply) wire(now time.Time) replyWire {
	out := replyWire{
		Lender: r.Lender, Reason: r.Reason, Exhausted: r.Exhausted, RetryAfterMilliseconds: max(0, r.RetryAt.Sub(now).Milliseconds()),
	}
	for _, loan := range r.Grants {
		if loan.Lender == r.Lender {
			loan.Lender = ""
		}
		out.Grants = append(out.Grants, grantWire(loan))
	}
	return out
}

func (r replyWire) reply(now time.Time) Reply {
	reply := Reply{
		Lender: r.Lender, Reason: r.Reason, Exhausted: r.Exhausted,
		RetryAt: now.Add(time.Duration(r.RetryAfterMilliseconds) * time.Millisecond),
	}
	for _, loan := range r.Grants {
		loan.Lender = cmp.Or(loan.Lender, r.Lender)
		reply.Grants = append(reply.Grants, Grant(loan))
	}
	return reply
}
