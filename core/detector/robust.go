package detector

import "fmt"

const (
	// madScale makes the median absolute deviation comparable with a standard deviation (Iglewicz and Hoaglin 1993).
	madScale = 1.4826

	// minSpread keeps small differences from counting as outliers if the rates of all peers are nearly equal.
	minSpread = 0.02
)

// Robust compares the rate of bad attempts of a target with the median of its peers. A target is a suspect if the
// distance, in scaled median absolute deviations, reaches a limit in several rounds in a row, with a minimum number of
// attempts.
type Robust struct {
	distance    float64
	minAttempts float64
	minRounds   int
}

// NewRobust returns the method with the limits for lean.
func NewRobust(lean Lean) Robust {
	return Robust{distance: lean.interpolate(6, 3.5), minAttempts: lean.interpolate(20, 10), minRounds: int(lean.interpolate(3, 2))}
}

func (r Robust) evaluate(target history, peers baseline) (history, evaluation) {
	if target.round.attempts == 0 {
		return target, evaluation{}
	}
	distance := (target.rate() - peers.median) / max(madScale*peers.spread, minSpread)
	if target.attempts < r.minAttempts || peers.peerCount == 0 || distance < r.distance {
		target.outlierRounds = 0
		return target, evaluation{score: min(max(distance/r.distance, 0), 0.9)}
	}
	target.outlierRounds++
	if target.outlierRounds < r.minRounds {
		return target, evaluation{score: 0.9}
	}
	reason := fmt.Sprintf(
		"%.0f%% of %.0f attempts bad, median of %d peers %.1f%%, %.1f deviations away",
		100*target.rate(), target.attempts, peers.peerCount, 100*peers.median, distance,
	)
	return target, evaluation{distance / r.distance, reason}
}
