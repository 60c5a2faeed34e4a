package admitter

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant with which outcomes are forgotten: a burst lasts some seconds.
	shareMemory = 5 * time.Second
	// minOutcomes is the number of outcomes of a kind that its share is based on.
	minOutcomes = 10
	// urgentMargin and equalMargin are by how much the served fraction of a kind may be below that of a less urgent kind and of
	// an equally urgent one. They are half of what callers accept, 0.05 and 0.15, since the fractions of a single gate vary.
	urgentMargin = 0.025
	equalMargin  = 0.075
	// maxKinds bounds the kinds whose outcomes are counted.
	maxKinds = 64
)

// Kind identifies requests of one kind. Requests of one kind have one objective.
type Kind struct {
	Rank      int
	Objective time.Duration
}

func kindOf(r Request) Kind { return Kind{r.Rank, r.Objective} }

// outcomes are decaying counts of the requests that were served and not.
type outcomes struct {
	served   float64
	unserved float64
	updated  time.Time
}

func (o outcomes) at(now time.Time) outcomes {
	decay := math.Exp(-max(now.Sub(o.updated), 0).Seconds() / shareMemory.Seconds())
	return outcomes{served: o.served * decay, unserved: o.unserved * decay, updated: now}
}

func (o outcomes) count() float64 { return o.served + o.unserved }

func (o outcomes) fraction() float64 { return o.served / o.count() }

// Shares counts, for each kind of request at one target, how many got a slot and how many did not. A nil Shares counts
// nothing. It is not safe for concurrent use.
type Shares struct {
	kinds map[Kind]outcomes
}

// NewShares returns Shares without outcomes.
func NewShares() *Shares { return &Shares{kinds: make(map[Kind]outcomes)} }

// Record counts a request that got a slot at now, or that left without one. Nested calls are not counted, since no other
// request competes with them.
func (s *Shares) Record(now time.Time, request Request, served bool) {
	if request.Nested {
		return
	}
	kind := kindOf(request)
	if _, known := s.kinds[kind]; !known && len(s.kinds) >= maxKinds {
		clear(s.kinds)
	}
	counts := s.kinds[kind].at(now)
	if served {
		counts.served++
	} else {
		counts.unserved++
	}
	s.kinds[kind] = counts
}

// Order returns the order at now. A kind is behind if a less urgent kind has been served more often, or an equally urgent one
// much more often.
func (s *Shares) Order(now time.Time) Order {
	current := make(map[Kind]outcomes, len(s.kinds))
	for kind, counts := range s.kinds {
		if counts = counts.at(now); counts.count() >= minOutcomes {
			current[kind] = counts
		}
	}
	behind := make(map[Kind]bool)
	for kind, counts := range current {
		for other, otherCounts := range current {
			lead := otherCounts.fraction() - counts.fraction()
			if other.Rank > kind.Rank && lead > urgentMargin || other.Rank == kind.Rank && lead > equalMargin {
				behind[kind] = true
			}
		}
	}
	return Order{now: now, behind: behind}
}
