package monitor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/monitor"
)

var start = time.Unix(1000, 0)

func TestPauseDoublesUntilTheNodeIsReached(t *testing.T) {
	var path monitor.Path
	now := start
	for _, pause := range []time.Duration{1, 2, 4, 8, 8} {
		path = path.WithFailure(now)
		assert.Assert(t, path.Avoided(now.Add(pause*time.Second-1)))
		assert.Assert(t, !path.Avoided(now.Add(pause*time.Second)))
		now = now.Add(pause * time.Second)
	}
	path = path.WithSuccess(now, time.Millisecond).WithFailure(now)
	assert.Assert(t, !path.Avoided(now.Add(time.Second)))
}

func TestFailuresOfOneMomentCountOnce(t *testing.T) {
	path := monitor.Path{}.WithFailure(start)
	for range 10 {
		path = path.WithFailure(start.Add(time.Millisecond))
	}
	assert.Assert(t, !path.Avoided(start.Add(time.Second)))
}

func TestLimitFollowsTheRoundTrip(t *testing.T) {
	unknown := monitor.Path{}.Timeout()
	near, far := monitor.Path{}, monitor.Path{}
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		near, far = near.WithSuccess(now, time.Millisecond), far.WithSuccess(now, 41*time.Millisecond)
	}
	assert.Assert(t, near.Timeout() < unknown)
	assert.Assert(t, far.Timeout() > 2*41*time.Millisecond && far.Timeout() < time.Second, "%v", far.Timeout())
}
