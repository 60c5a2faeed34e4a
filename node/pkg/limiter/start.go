package limiter

import (
	"context"
	"slices"
	"time"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/timekeeper"
)

// survey is what lenders answer that are asked at once whether they lend yet. allStart is set if none does, and until is when
// the first one will. Otherwise lending is the address of the first one that lends, or empty if none is known.
type survey struct {
	allStart bool
	until    time.Time
	lending  string
}

// survey asks all lenders at addresses at once, and returns as soon as one of them lends.
//
// It is made for the loss of all processes at the same moment, as by power. Connections to all lenders are new then, and asked
// in turn the distant ones would not have answered before the requests that wait are refused.
func (l *Limiter) survey(addresses []string) survey {
	type answer struct {
		address string
		reply   borrower.Reply
		err     error
	}
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		l.group.Go(func() error {
			askedAt := timekeeper.Now()
			reply, err := l.ask(context.Background(), address, borrower.Message{Probe: true})
			// Counted from the question, since the lender lends to others while its answer is on its way.
			reply.RetryAt = reply.RetryAt.Add(askedAt.Sub(timekeeper.Now()))
			if err == nil && reply.Reason == string(allocator.Starting) {
				l.recordStart(address, reply.RetryAt)
			}
			answers <- answer{address, reply, err}
			return nil
		})
	}
	result := survey{allStart: true}
	for range addresses {
		switch answer := <-answers; {
		case answer.err != nil:
			result.allStart = false
		case answer.reply.Reason != string(allocator.Starting):
			return survey{lending: answer.address}
		default:
			if result.until.IsZero() || answer.reply.RetryAt.Before(result.until) {
				result.until = answer.reply.RetryAt
			}
		}
	}
	return result
}

// surveyed returns addresses with the lender in front that a survey found to lend, and the survey.
func (l *Limiter) surveyed(addresses []string) ([]string, survey) {
	if len(addresses) == 0 {
		return nil, survey{}
	}
	found := l.survey(addresses)
	return first(addresses, found.lending), found
}

// recordStart records that the lender at address lends nothing before readyAt.
func (l *Limiter) recordStart(address string, readyAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readyAt[address] = readyAt
}

// first returns addresses with address moved to the front, if it is among them.
func first(addresses []string, address string) []string {
	if !slices.Contains(addresses, address) {
		return addresses
	}
	others := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == address })
	return append([]string{address}, others...)
}
