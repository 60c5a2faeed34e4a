package exchanger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/allotter"
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
	Spread    bool         `cbor:"5,keyasint,omitempty"`
	Lenders   []string     `cbor:"6,keyasint,omitempty"`
	Passed    bool         `cbor:"7,keyasint,omitempty"`
}

// loanWire names its lender if that is not the one that replies.
type loanWire struct {
	Lender string `cbor:"1,keyasint,omitempty"`
	ID     uint64 `cbor:"2,keyasint"`
	Tokens int    `cbor:"3,keyasint"`
}

type replyWire struct {
	Lender       string     `cbor:"1,keyasint,omitempty"`
	Loans        []loanWire `cbor:"2,keyasint,omitempty"`
	Reason       string     `cbor:"3,keyasint,omitempty"`
	Used         bool       `cbor:"4,keyasint,omitempty"`
	Milliseconds int64      `cbor:"5,keyasint,omitempty"`
}

func (m Message) wire() messageWire {
	out := messageWire{Workspace: m.Workspace, Wanted: m.Wanted, Relayed: m.Relayed, Spread: m.Spread, Passed: m.Passed}
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
	message := Message{Workspace: m.Workspace, Wanted: m.Wanted, Relayed: m.Relayed, Spread: m.Spread, Passed: m.Passed}
	for _, r := range m.Reports {
		if r.Lender < 0 || r.Lender >= len(m.Lenders) || r.Spent < 0 {
			return Message{}, errors.Newf("a report of lender %d with %d tokens spent is not allowed", r.Lender, r.Spent)
		}
		settled := allotter.Report{ID: r.ID, Spent: r.Spent, Returned: r.Returned}
		message.Reports = append(message.Reports, Report{m.Lenders[r.Lender], r.Workspace, settled})
	}
	return message, nil
}

// wire states the deadline as the time that is left at now, since the other side has another clock.
func (r Reply) wire(now time.Time) replyWire {
	out := replyWire{
		Lender: r.Lender, Reason: r.Reason, Used: r.Used, Milliseconds: max(0, r.Again.Sub(now).Milliseconds()),
	}
	for _, loan := range r.Loans {
		if loan.Lender == r.Lender {
			loan.Lender = ""
		}
		out.Loans = append(out.Loans, loanWire(loan))
	}
	return out
}

func (r replyWire) reply(now time.Time) Reply {
	reply := Reply{
		Lender: r.Lender, Reason: r.Reason, Used: r.Used,
		Again: now.Add(time.Duration(r.Milliseconds) * time.Millisecond),
	}
	for _, loan := range r.Loans {
		loan.Lender = cmp.Or(loan.Lender, r.Lender)
		reply.Loans = append(reply.Loans, Loan(loan))
	}
	return reply
}
