package stopper_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/stopper"
)

var signalled = time.Unix(1_800_000_000, 0)

// TestStepsOfStopPassItsGracePeriod guards against a stop whose steps add up past its grace period.
func TestStepsOfStopPassItsGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(time.Second), int64(10*time.Minute)).Draw(t, "span"))
		})
		policy := stopper.Policy{Grace: span.Draw(t, "grace"), Leave: span.Draw(t, "leave"), LastRequest: span.Draw(t, "last request")}
		plan := stopper.New(signalled, policy)
		times := []time.Time{
			signalled, plan.ListenUntil, plan.AcceptUntil, plan.BreakOffAt, plan.CloseAt, plan.EndAt, plan.ExitAt,
			signalled.Add(max(policy.Grace, 0)),
		}
		for i, end := range times[1:] {
			assert.Assert(t, !end.Before(times[i]), "%d: %v", i, times)
		}
		// A request in progress goes on until the last tenth.
		assert.Assert(t, plan.BreakOffAt.Sub(signalled) >= policy.Grace/10*9)
	})
}

// TestDecisionsFollowTheTime checks that the decision on a request never turns back: once refused or broken off, it
// stays so, and nothing is refused that was told to wait.
func TestDecisionsFollowTheTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := stopper.New(signalled, stopper.Policy{Grace: time.Minute, Leave: 3 * time.Second, LastRequest: time.Second})
		request := rapid.SampledFrom([]stopper.Request{
			stopper.FromCaller{}, stopper.FromNode{}, stopper.Running{}, stopper.Answering{},
		}).Draw(t, "request")
		now, ended := signalled, false
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "passed")))
			switch action := plan.Decide(now, request).(type) {
			case stopper.Serve:
				assert.Assert(t, !ended)
			case stopper.Wait:
				assert.Assert(t, !ended)
				assert.Assert(t, action.Until.After(now) && action.Until.Before(plan.EndAt))
			case stopper.Refuse, stopper.BreakOff:
				ended = true
			}
		}
	})
}

func TestPlan(t *testing.T) {
	after := func(milliseconds int) time.Time { return signalled.Add(time.Duration(milliseconds) * time.Millisecond) }
	for name, test := range map[string]struct {
		policy stopper.Policy
		plan   stopper.Plan
	}{
		"short grace period": {
			stopper.Policy{Grace: 6 * time.Second, Leave: 3 * time.Second, LastRequest: 500 * time.Millisecond},
			stopper.Plan{
				ListenUntil: after(1800), AcceptUntil: after(2100), BreakOffAt: after(5400), CloseAt: after(5700), EndAt: after(5880),
				ExitAt: after(5970),
			},
		},
		"long grace period": {
			stopper.Policy{Grace: time.Minute, Leave: 3 * time.Second, LastRequest: 500 * time.Millisecond},
			stopper.Plan{
				ListenUntil: after(3000), AcceptUntil: after(3500), BreakOffAt: after(58000), CloseAt: after(59000), EndAt: after(59600),
				ExitAt: after(59900),
			},
		},
		"no grace period": {
			stopper.Policy{Leave: time.Second, LastRequest: time.Second},
			stopper.Plan{
				ListenUntil: signalled, AcceptUntil: signalled, BreakOffAt: signalled, CloseAt: signalled, EndAt: signalled,
				ExitAt: signalled,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, stopper.New(signalled, test.policy), test.plan)
		})
	}
}

func TestDecide(t *testing.T) {
	plan := stopper.New(signalled, stopper.Policy{Grace: 10 * time.Second, Leave: time.Second, LastRequest: 500 * time.Millisecond})
	for _, test := range []struct {
		after   time.Duration
		request stopper.Request
		action  stopper.Action
	}{
		{0, stopper.FromCaller{}, stopper.Serve{}},
		{1400 * time.Millisecond, stopper.FromCaller{}, stopper.Serve{}},
		{1500 * time.Millisecond, stopper.FromCaller{}, stopper.Refuse{}},
		{900 * time.Millisecond, stopper.FromNode{}, stopper.Serve{}},
		{time.Second, stopper.FromNode{}, stopper.Refuse{}},
		{8900 * time.Millisecond, stopper.Running{}, stopper.Wait{Until: signalled.Add(9 * time.Second)}},
		{9 * time.Second, stopper.Running{}, stopper.BreakOff{}},
		{9 * time.Second, stopper.Answering{}, stopper.Wait{Until: signalled.Add(9500 * time.Millisecond)}},
		{9500 * time.Millisecond, stopper.Answering{}, stopper.BreakOff{}},
	} {
		assert.DeepEqual(t, plan.Decide(signalled.Add(test.after), test.request), test.action)
	}
}
