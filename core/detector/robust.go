package detector

import "fmt"

const (
	// madScale makes the median absolute deviation comparable with a standard deviation (Iglewicz and Hoaglin 1993).
	madScale = 1.4826

	// minSpread keeps peers that all look alike from making every difference an outlier.
	minSpread = 0.02
)

// Robust judges by the distance of a target's rate of bad attempts from the median of its peers, in median absolute
// deviations. It needs a least number of attempts, and rounds in a row that agree.
type Robust struct {
	distance    float64
	minAttempts float64
	minRounds   int
}

// NewRobust returns the distances for lean.
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
