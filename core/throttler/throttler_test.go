package throttler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/throttler"
)

var start = time.Unix(1000, 0)

// replay lets a request look for a far slot every 50 ms for a minute, and returns the tries and those that found one. There
// is room for part of them, which changes after half of the time.
func replay(decide bool, before, after float64) (tries, found [2]int) {
	random := rand.New(rand.NewPCG(1, 2))
	var p throttler.Throttle
	for i := range 1200 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		half, room := i/600, before
		if half == 1 {
			room = after
		}
		if decide && !p.Allow(now) {
			continue
		}
		ok := random.Float64() < room
		p = p.WithAttempt(now).WithResult(ok)
		tries[half]++
		if ok {
			found[half]++
		}
	}
	return tries, found
}

// TestFullRegionIsHardlyTried replays the load pattern that the decision answers.
func TestFullRegionIsHardlyTried(t *testing.T) {
	without, _ := replay(false, 0.1, 0.1)
	with, _ := replay(true, 0.1, 0.1)
	t.Logf("%d tries without and %d with the decision", without, with)
	assert.Assert(t, 4*(with[0]+with[1]) < without[0]+without[1])
}

func TestRegionThatHasRoomAgainIsUsed(t *testing.T) {
	_, most := replay(false, 0, 0.9)
	_, found := replay(true, 0, 0.9)
	assert.Assert(t, 10*found[1] > 9*most[1], "%d of %d", found[1], most[1])
}

func TestRegionWithRoomLosesHardlyAnyRequest(t *testing.T) {
	_, most := replay(false, 0.8, 0.9)
	_, found := replay(true, 0.8, 0.9)
	for half := range most {
		assert.Assert(t, 20*found[half] >= 19*most[half], "%d of %d", found[half], most[half])
	}
}
