package judger

import "fmt"

// Threshold judges by fixed numbers and without regard to peers, as the baseline for comparison: consecutive failures,
// or a rate of bad attempts.
type Threshold struct {
	streak   float64
	rate     float64
	attempts float64
}

// NewThreshold returns the thresholds for lean.
func NewThreshold(lean Lean) Threshold {
	return Threshold{streak: lean.between(7, 4), rate: lean.between(0.4, 0.2), attempts: lean.between(20, 10)}
}

func (t Threshold) judge(target history, _ baseline) (history, opinion) {
	score := float64(target.round.streak) / t.streak
	reason := fmt.Sprintf("%d failures in a row", target.round.streak)
	if rate := target.rate() / t.rate; target.attempts >= t.attempts && rate > score {
		score = rate
		reason = fmt.Sprintf("%.0f%% of %.0f attempts bad", 100*target.rate(), target.attempts)
	}
	return target, opinion{score, reason}
}
