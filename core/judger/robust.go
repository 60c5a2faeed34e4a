package judger

import "fmt"

const (
	// madScale makes the median absolute deviation comparable with a standard deviation (Iglewicz and Hoaglin 1993).
	madScale = 1.4826

	// leastSpread keeps peers that all look alike from making every difference an outlier.
	leastSpread = 0.02
)

// Robust judges by the distance of a target's rate of bad attempts from the median of its peers, in median absolute
// deviations. It needs a least number of attempts, and rounds in a row that agree.
type Robust struct {
	distance float64
	attempts float64
	rounds   int
}

// NewRobust returns the distances for lean.
func NewRobust(lean Lean) Robust {
	return Robust{distance: lean.between(6, 3.5), attempts: lean.between(20, 10), rounds: int(lean.between(3, 2))}
}

func (r Robust) judge(target history, peers baseline) (history, opinion) {
	if target.round.attempts == 0 {
		return target, opinion{}
	}
	distance := (target.rate() - peers.median) / max(madScale*peers.spread, leastSpread)
	if target.attempts < r.attempts || peers.peers == 0 || distance < r.distance {
		target.strikes = 0
		return target, opinion{score: min(max(distance/r.distance, 0), 0.9)}
	}
	target.strikes++
	if target.strikes < r.rounds {
		return target, opinion{score: 0.9}
	}
	reason := fmt.Sprintf(
		"%.0f%% of %.0f attempts bad, median of %d peers %.1f%%, %.1f deviations away",
		100*target.rate(), target.attempts, peers.peers, 100*peers.median, distance,
	)
	return target, opinion{distance / r.distance, reason}
}
