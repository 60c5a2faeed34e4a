package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/budgeter"
)

var (
	start     = time.Unix(1000, 0)
	allowance = budgeter.Allowance{Ratio: 0.1, Slack: 30, Window: 10 * time.Second}
)

// event is a moment at which nodes told of requests and sends were granted.
type event struct {
	at       time.Time
	requests int
	granted  int
}

// TestGrantsStayWithinTheWindow compares each window of a random history with what the allowance says.
func TestGrantsStayWithinTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledger budgeter.Bucket
		var history []event
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			e := event{at: now, requests: rapid.IntRange(0, 40).Draw(t, "asked")}
			ledger = ledger.WithRequests(now, allowance, e.requests)
			for range rapid.IntRange(0, 60).Draw(t, "draws") {
				var ok bool
				if ledger, ok = ledger.Acquire(now, allowance); ok {
					e.granted++
				}
			}
			history = append(history, e)
			asked, granted := 0, 0
			for _, past := range history {
				if now.Sub(past.at) < allowance.Window {
					asked += past.requests
					granted += past.granted
				}
			}
			assert.Assert(t, float64(granted) <= allowance.Ratio*float64(asked)+allowance.Slack,
				"%d granted for %d requests", granted, asked)
		}
	})
}

func TestNewLedgerGrantsNothing(t *testing.T) {
	_, ok := budgeter.Bucket{}.Acquire(start, allowance)
	assert.Assert(t, !ok)
}

func TestChargedSendsAreGrantedLater(t *testing.T) {
	full := budgeter.Bucket{}.WithRequests(start, allowance, 1000)
	grants := func(ledger budgeter.Bucket) (count int) {
		for ok := true; ok; {
			if ledger, ok = ledger.Acquire(start, allowance); ok {
				count++
			}
		}
		return count
	}
	assert.Equal(t, grants(full.WithCharged(allowance, 3.5)), grants(full)-4)
	// What it owes is bounded: a flood of charges must not end repeats for good.
	owing := full.WithCharged(allowance, 1e6).WithRequests(start.Add(2*allowance.Window), allowance, 0)
	assert.Assert(t, grants(owing) > 0)
}
