package budgeter

// Runs counts the runs in progress on the targets of one VM. A call that a target makes does not name the run that makes
// it, so it counts as a repeat with the fraction of the runs that are repeats. It is immutable; its zero value counts
// none.
type Runs struct {
	total   int
	repeats float64
}

// WithStart returns the counts after the start of a run that is a repeat with the probability repeat.
func (r Runs) WithStart(repeat float64) Runs { return Runs{r.total + 1, r.repeats + repeat} }

// WithEnd returns the counts after the end of a run that was started with the same probability.
func (r Runs) WithEnd(repeat float64) Runs { return Runs{r.total - 1, r.repeats - repeat} }

// RepeatFraction returns the fraction of the runs that are repeats, or 0 if none is in progress.
func (r Runs) RepeatFraction() float64 {
	if r.total == 0 {
		return 0
	}
	return r.repeats / float64(r.total)
}
