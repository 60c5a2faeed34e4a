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

// event is a time at which nodes reported requests and extra attempts were granted.
type event struct {
	at       time.Time
	requests int
	granted  int
}

// TestGrantsStayWithinTheAllowance checks the bound of the allowance for each window of a random history.
func TestGrantsStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bucket budgeter.Bucket
		var history []event
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "interval")) * time.Millisecond)
			step := event{at: now, requests: rapid.IntRange(0, 40).Draw(t, "requests")}
			bucket = bucket.WithRequests(now, allowance, float64(step.requests))
			for range rapid.IntRange(0, 60).Draw(t, "attempts") {
				var ok bool
				if bucket, ok = bucket.Acquire(now, allowance, 1); ok {
					step.granted++
				}
			}
			history = append(history, step)
			requests, granted := 0, 0
			for _, past := range history {
				if now.Sub(past.at) < allowance.Window {
					requests += past.requests
					granted += past.granted
				}
			}
			assert.Assert(t, float64(granted) <= allowance.Ratio*float64(requests)+allowance.Slack,
				"%d granted for %d requests", granted, requests)
		}
	})
}

func TestNewBucketGrantsNothing(t *testing.T) {
	_, ok := budgeter.Bucket{}.Acquire(start, allowance, 1)
	assert.Assert(t, !ok)
}

func TestChargedAttemptsReduceGrants(t *testing.T) {
	full := budgeter.Bucket{}.WithRequests(start, allowance, 1000)
	grants := func(bucket budgeter.Bucket) (count int) {
		for ok := true; ok; {
			if bucket, ok = bucket.Acquire(start, allowance, 1); ok {
				count++
			}
		}
		return count
	}
	assert.Equal(t, grants(full.WithCharge(allowance, 3.5)), grants(full)-4)
	// The debt is bounded: any number of charges stops retries only for a limited time.
	owing := full.WithCharge(allowance, 1e6).WithRequests(start.Add(2*allowance.Window), allowance, 0)
	assert.Assert(t, grants(owing) > 0)
}
