package monitor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/monitor"
)

var start = time.Unix(1000, 0)

func TestBackoffDoublesUntilTheNodeIsReached(t *testing.T) {
	var path monitor.Path
	now := start
	for _, backoff := range []time.Duration{1, 2, 4, 8, 8} {
		path = path.WithFailure(now)
		assert.Assert(t, path.Avoided(now.Add(backoff*time.Second-1)))
		assert.Assert(t, !path.Avoided(now.Add(backoff*time.Second)))
		now = now.Add(backoff * time.Second)
	}
	path = path.WithSuccess(now, time.Millisecond).WithFailure(now)
	assert.Assert(t, !path.Avoided(now.Add(time.Second)))
}

func TestFailuresDuringTheBackoffCountOnce(t *testing.T) {
	path := monitor.Path{}.WithFailure(start)
	for range 10 {
		path = path.WithFailure(start.Add(time.Millisecond))
	}
	assert.Assert(t, !path.Avoided(start.Add(time.Second)))
}

func TestTimeoutFollowsTheRoundTripTime(t *testing.T) {
	unknown := monitor.Path{}.Timeout()
	local, remote := monitor.Path{}, monitor.Path{}
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		local, remote = local.WithSuccess(now, time.Millisecond), remote.WithSuccess(now, 41*time.Millisecond)
	}
	assert.Assert(t, local.Timeout() < unknown)
	assert.Assert(t, remote.Timeout() > 2*41*time.Millisecond && remote.Timeout() < time.Second, "%v", remote.Timeout())
}
