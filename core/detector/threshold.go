package detector

import "fmt"

// Threshold judges by fixed numbers and without regard to peers, as the baseline for comparison: consecutive failures,
// or a rate of bad attempts.
type Threshold struct {
	consecutiveFailures float64
	rate                float64
	minAttempts         float64
}

// NewThreshold returns the thresholds for lean.
func NewThreshold(lean Lean) Threshold {
	return Threshold{consecutiveFailures: lean.interpolate(7, 4), rate: lean.interpolate(0.4, 0.2), minAttempts: lean.interpolate(20, 10)}
}

func (t Threshold) evaluate(target history, _ baseline) (history, evaluation) {
	score := float64(target.round.consecutiveFailures) / t.consecutiveFailures
	reason := fmt.Sprintf("%d failures in a row", target.round.consecutiveFailures)
	if rate := target.rate() / t.rate; target.attempts >= t.minAttempts && rate > score {
		score = rate
		reason = fmt.Sprintf("%.0f%% of %.0f attempts bad", 100*target.rate(), target.attempts)
	}
	return target, evaluation{score, reason}
}
