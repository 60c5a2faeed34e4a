package detector

import "fmt"

// Threshold compares the consecutive failures and the rate of bad attempts of a target with fixed limits, without regard
// to its peers. It serves as the reference that the other methods are compared with.
type Threshold struct {
	consecutiveFailures float64
	rate                float64
	minAttempts         float64
}

// NewThreshold returns the method with the limits for lean.
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
