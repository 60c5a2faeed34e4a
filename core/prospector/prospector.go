// Package prospector decides, for one entry and one service, whether a request should look for a slot in another region. An
// entry hardly hears of the targets there, so those count as idle for it.
//
// The load pattern that it answers: both regions are full. Each request then tries the other one, waits for a way there and
// back, and is refused; the link, which is narrow and dear, carries little else.
package prospector

import "time"

const (
	// leastOdds is the part of the earlier tries that must have found a slot. Below it the time and the bytes of the way are
	// better spent nearby.
	leastOdds = 0.35
	// foundWeight and refusedWeight are those of a new try in the odds. Tries are few while they fail, so one that finds a
	// slot says more.
	foundWeight   = 1.0 / 3
	refusedWeight = 1.0 / 8
	// pause is the least time between two tries against the odds, which show when there is room again.
	pause = 500 * time.Millisecond
)

// Prospect is how earlier tries ended. It is immutable; the zero value expects room.
type Prospect struct {
	failing float64
	tried   time.Time
}

// WithTry returns the prospect after a try began at now.
func (p Prospect) WithTry(now time.Time) Prospect {
	p.tried = now
	return p
}

// WithEnd returns the prospect after a try found a slot or was refused.
func (p Prospect) WithEnd(found bool) Prospect {
	if found {
		p.failing -= foundWeight * p.failing
		return p
	}
	p.failing += refusedWeight * (1 - p.failing)
	return p
}

// Odds returns about how likely a try finds a slot.
func (p Prospect) Odds() float64 { return 1 - p.failing }

// Worthwhile reports whether a request should try at now.
func (p Prospect) Worthwhile(now time.Time) bool {
	return p.Odds() >= leastOdds || now.Sub(p.tried) >= pause
}
