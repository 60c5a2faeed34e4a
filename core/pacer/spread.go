package pacer

import (
	"math/rand/v2"
	"time"
)

const (
	// honoredFraction is the fraction of its remaining time for which a caller waits at most before it retries.
	honoredFraction = 1.0 / 3
	// spreadStart and spreadEnd are the ends of the time over which returns are spread, as factors of the time until room is
	// expected: others have been refused with the same expectation.
	spreadStart = 0.5
	spreadEnd   = 2
)

// Spread returns when the caller of a refused request with deadline should retry if room is expected at roomAt. The time is
// random, so that callers return spread over the time in which room is expected: as long as the request can still be on
// time, that is until latestStart. After that it is the latter half of the time for which callers wait, since overload lasts for
// seconds and requests that can be on time go first.
func Spread(now time.Time, random *rand.Rand, roomAt, latestStart, deadline time.Time) time.Time {
	expected := max(roomAt.Sub(now), minBackoff)
	end := max(time.Duration(honoredFraction*float64(deadline.Sub(now))), minBackoff)
	start := end / 2
	if latestStart.After(now) {
		end = min(end, max(spreadEnd*expected, latestStart.Sub(now)))
		start = max(min(time.Duration(spreadStart*float64(expected)), end/2), minBackoff)
	}
	return now.Add(start + time.Duration(random.Float64()*float64(max(end-start, 0))))
}
