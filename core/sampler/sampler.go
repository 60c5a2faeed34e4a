// Package sampler paces the requests that entries send to a target on trial. All entries together send about one in each
// Interval, however many entries, targets and requests there are. A fraction of the requests would be too few to end the
// trial soon at a service with many targets or little load, and too many at one with much load.
//
// Entries send no messages for this: each takes its part of the rate at random times.
package sampler

import (
	"math/rand/v2"
	"time"
)

// Interval is the mean time between two requests of all entries together to a target on trial. A trial of 10 requests
// thus takes some seconds, as long as the failures that it is to outlast.
const Interval = 500 * time.Millisecond

// Pace is when one entry next sends a request to one target on trial. It is immutable. The zero value is due.
type Pace struct {
	due time.Time
}

// New returns the pace of one of that many entries at now, when it learns of the trial or has sent a request to the
// target. The time to the next request is exponentially distributed, so that the requests of all entries form a Poisson
// process, whichever of them began when.
func New(now time.Time, random *rand.Rand, entries int) Pace {
	return Pace{due: now.Add(time.Duration(random.ExpFloat64() * float64(Interval) * float64(max(entries, 1))))}
}

// Due reports whether the entry sends its next suitable request to the target.
func (p Pace) Due(now time.Time) bool { return !now.Before(p.due) }
