package borrower

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/allocator"
)

// maxReports bounds the reports in one message.
const maxReports = 4096

// reportWire identifies the lender by its index in messageWire.Lenders.
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
	Probe     bool         `cbor:"8,keyasint,omitempty"`
}

// grantWire has an empty Lender if that is the lender of the reply.
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
	out := messageWire{
		Workspace: m.Workspace, Wanted: m.Wanted, Relayed: m.Relayed, AskPeers: m.AskPeers, Proxied: m.Proxied, Probe: m.Probe,
	}
	for _, r := range m.Reports {
		index := slices.Index(out.Lenders, r.Lender)
		if index < 0 {
			index = len(out.Lenders)
			out.Lenders = append(out.Lenders, r.Lender)
		}
		out.Reports = append(out.Reports, reportWire{index, r.Workspace, r.ID, r.Spent, r.Returned})
	}
	return out
}

// message decodes the wire form. It returns an error if a value is out of bounds.
func (m messageWire) message() (Message, error) {
	if len(m.Reports) > maxReports || m.Wanted < 0 {
		return Message{}, errors.Newf("message with %d reports and %d wanted tokens is not allowed", len(m.Reports), m.Wanted)
	}
	message := Message{
		Workspace: m.Workspace, Wanted: m.Wanted, Relayed: m.Relayed, AskPeers: m.AskPeers, Proxied: m.Proxied, Probe: m.Probe,
	}
	for _, r := range m.Reports {
		if r.Lender < 0 || r.Lender >= len(m.Lenders) || r.Spent < 0 {
			return Message{}, errors.Newf("report for lender index %d with %d spent tokens is not allowed", r.Lender, r.Spent)
		}
		report := allocator.Report{ID: r.ID, Spent: r.Spent, Returned: r.Returned}
		message.Reports = append(message.Reports, Report{m.Lenders[r.Lender], r.Workspace, report})
	}
	return message, nil
}

// wire encodes RetryAt as the time that remains at now, since the receiver has another clock.
func (r Reply) wire(now time.Time) replyWire {
	out := replyWire{
		Lender: r.Lender, Reason: r.Reason, Exhausted: r.Exhausted, RetryAfterMilliseconds: max(0, r.RetryAt.Sub(now).Milliseconds()),
	}
	for _, grant := range r.Grants {
		if grant.Lender == r.Lender {
			grant.Lender = ""
		}
		out.Grants = append(out.Grants, grantWire(grant))
	}
	return out
}

// reply decodes the wire form, with RetryAt on the clock of now.
func (r replyWire) reply(now time.Time) Reply {
	reply := Reply{
		Lender: r.Lender, Reason: r.Reason, Exhausted: r.Exhausted,
		RetryAt: now.Add(time.Duration(r.RetryAfterMilliseconds) * time.Millisecond),
	}
	for _, grant := range r.Grants {
		grant.Lender = cmp.Or(grant.Lender, r.Lender)
		reply.Grants = append(reply.Grants, Grant(grant))
	}
	return reply
}
