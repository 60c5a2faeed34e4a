package throttler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/throttler"
)

var start = time.Unix(1000, 0)

// replay simulates a minute in which a request looks for a slot in a remote region every 50 ms. An attempt succeeds with
// the probability before in the first half and after in the second half. replay returns the numbers of attempts and of
// slots found in each half.
func replay(throttled bool, before, after float64) (attempts, found [2]int) {
	random := rand.New(rand.NewPCG(1, 2))
	var throttle throttler.Throttle
	for i := range 1200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		half, successRate := i/600, before
		if half == 1 {
			successRate = after
		}
		if throttled && !throttle.Allow(now) {
			continue
		}
		ok := random.Float64() < successRate
		throttle = throttle.WithAttempt(now).WithResult(ok)
		attempts[half]++
		if ok {
			found[half]++
		}
	}
	return attempts, found
}

// TestFullRegionGetsFewAttempts replays a region that is nearly full and refuses most attempts.
func TestFullRegionGetsFewAttempts(t *testing.T) {
	without, _ := replay(false, 0.1, 0.1)
	with, _ := replay(true, 0.1, 0.1)
	t.Logf("%d attempts without and %d with the throttle", without, with)
	assert.Assert(t, 4*(with[0]+with[1]) < without[0]+without[1])
}

func TestRegionIsUsedAgainOnceItHasFreeSlots(t *testing.T) {
	_, unthrottled := replay(false, 0, 0.9)
	_, found := replay(true, 0, 0.9)
	assert.Assert(t, 10*found[1] > 9*unthrottled[1], "%d of %d", found[1], unthrottled[1])
}

func TestRegionWithFreeSlotsLosesFewRequests(t *testing.T) {
	_, unthrottled := replay(false, 0.8, 0.9)
	_, found := replay(true, 0.8, 0.9)
	for half := range unthrottled {
		assert.Assert(t, 20*found[half] >= 19*unthrottled[half], "%d of %d", found[half], unthrottled[half])
	}
}
