package retrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
)

var (
	start = time.Unix(1_000_000, 0)
	// failures are the events after which a repeatable request may be retried.
	failures = []retrier.Event{
		refused(refuser.CapacityShort, refuser.NotRun{}), refused(refuser.TargetUnreachable, refuser.NotRun{}),
		refused(refuser.OutcomeUnknown, refuser.Unknown{}),
		retrier.Answered{Status: 503},
		retrier.Slow{},
	}
)

func refused(kind refuser.Kind, outcome refuser.Outcome) retrier.Event {
	return retrier.Refused{Refusal: &refuser.Refusal{Kind: kind, Outcome: outcome}}
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name       string
		event      retrier.Event
		repeatable bool
		number     int
		remaining  time.Duration
		retry      bool
	}{
		{"not run", refused(refuser.CapacityShort, refuser.NotRun{}), false, 1, time.Second, true},
		{"may have run", refused(refuser.OutcomeUnknown, refuser.Unknown{}), false, 1, time.Second, false},
		{"may have run, repeatable", refused(refuser.OutcomeUnknown, refuser.Unknown{}), true, 1, time.Second, true},
		{"failed", retrier.Answered{Status: 500}, false, 1, time.Second, false},
		{"failed, repeatable", retrier.Answered{Status: 500}, true, 1, time.Second, true},
		{"answered, repeatable", retrier.Answered{Status: 404}, true, 1, time.Second, false},
		{"late", retrier.Slow{}, false, 1, time.Second, false},
		{"late, repeatable", retrier.Slow{}, true, 2, time.Second, true},
		{"invalid", refused(refuser.RequestInvalid, refuser.NotRun{}), true, 1, time.Second, false},
		{"quarantined", refused(refuser.Quarantined, refuser.NotRun{}), true, 1, time.Second, false},
		{"last attempt", refused(refuser.CapacityShort, refuser.NotRun{}), true, 3, time.Second, false},
		{"deadline", refused(refuser.CapacityShort, refuser.NotRun{}), true, 1, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := retrier.New()
			for range 10 {
				r.CountRequest(start, "bookings", 0)
			}
			decision := r.Decide(start, c.event, retrier.Attempt{
				Service: "bookings", Number: c.number, Repeatable: c.repeatable, Deadline: start.Add(c.remaining),
			})
			_, retry := decision.(retrier.Retry)
			assert.Equal(t, retry, c.retry, "%v", decision)
		})
	}
}

func TestFirstRetryIsFreeIfTheTargetLeft(t *testing.T) {
	r := retrier.New()
	left := refused(refuser.TargetUnknown, refuser.NotRun{})
	attempt := retrier.Attempt{Service: "bookings", Number: 1, Deadline: start.Add(time.Second)}
	_, retry := r.Decide(start, left, attempt).(retrier.Retry)
	assert.Assert(t, retry)
	attempt.Number = 2
	_, retry = r.Decide(start, left, attempt).(retrier.Retry)
	assert.Assert(t, !retry)
}

// TestAttemptsStayWithinTheBudgetIfAllFail guards against retries that multiply the load while all targets fail. In any
// history of requests, the attempts of several nodes together are at most 1.1 times the requests.
func TestAttemptsStayWithinTheBudgetIfAllFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*retrier.Retrier{retrier.New(), retrier.New(), retrier.New()}
		now := start
		requests, attempts := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "interval")) * time.Millisecond / 4)
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			node.CountRequest(now, "bookings", 0)
			requests++
			attempt := retrier.Attempt{Service: "bookings", Repeatable: rapid.Bool().Draw(t, "repeatable")}
			attempt.Deadline = now.Add(time.Second)
			for retry := true; retry; {
				attempt.Number++
				attempts++
				_, retry = node.Decide(now, rapid.SampledFrom(failures).Draw(t, "event"), attempt).(retrier.Retry)
			}
			if 10*attempts > 11*requests {
				t.Fatalf("%d attempts for %d requests", attempts, requests)
			}
		}
	})
}

func TestSteadyLoadCanUseTheBudget(t *testing.T) {
	r := retrier.New()
	now, extra := start, 0
	for range 10_000 {
		now = now.Add(3 * time.Second)
		r.CountRequest(now, "bookings", 0)
		attempt := retrier.Attempt{Service: "bookings", Number: 1, Deadline: now.Add(time.Second)}
		if _, retry := r.Decide(now, failures[0], attempt).(retrier.Retry); retry {
			extra++
		}
	}
	assert.Assert(t, extra >= 800, "%d extra attempts", extra)
}

// TestWindowOfANodeIsCutShort spends whatever a node's budget allows, and counts it in each window.
func TestWindowOfANodeIsCutShort(t *testing.T) {
	allowance := retrier.Allowance{Slack: 10, Window: 10 * time.Second}
	r := retrier.NewWith(func() retrier.Policy { return retrier.Policy{FreeRetries: 8, Allowance: allowance} })
	var sent []time.Time
	// The first attempts come at the end of a part of the window.
	for elapsed := 800 * time.Millisecond; elapsed < time.Minute; elapsed += 10 * time.Millisecond {
		now := start.Add(elapsed)
		attempt := retrier.Attempt{Service: "bookings", Number: 1, Reached: 1, Repeatable: true, Deadline: now.Add(time.Second)}
		if _, ok := r.Decide(now, retrier.Slow{}, attempt).(retrier.Retry); !ok {
			continue
		}
		sent = append(sent, now)
		if len(sent) > int(allowance.Slack) {
			span := now.Sub(sent[len(sent)-1-int(allowance.Slack)])
			assert.Assert(t, span >= allowance.Window, "%d sent within %v", int(allowance.Slack)+1, span)
		}
	}
	assert.Assert(t, len(sent) >= 5*int(allowance.Slack), "%d sent", len(sent))
}
