package breaker

import "time"

// callFailureWindow is the time within which a run fails after a call that it needs has failed. The target only has to pass
// the failure on.
const callFailureWindow = 100 * time.Millisecond

// maxFailedCalls bounds the failed calls that are remembered: three times what a node sends in callFailureWindow at 209
// requests/s, the size that the fleet is designed for.
const maxFailedCalls = 64

// Calls remembers the calls of a target that have failed, so that the failures which follow from them are not taken for the
// target's own. It is immutable; its zero value remembers none.
//
// It is made for a service with a gray failure whose callers would otherwise seem to fail as well: each of them passes on
// the failures of the calls that it makes.
type Calls struct {
	failedAt []time.Time
}

// WithFailure returns the calls after one failed at now.
func (c Calls) WithFailure(now time.Time) Calls {
	recent := c.recent(now)
	recent = recent[max(0, len(recent)+1-maxFailedCalls):]
	return Calls{append(append(make([]time.Time, 0, len(recent)+1), recent...), now)}
}

// Explain reports whether a failed call explains the failure of a run at now, and returns the calls without that one.
func (c Calls) Explain(now time.Time) (Calls, bool) {
	recent := c.recent(now)
	if len(recent) == 0 {
		return Calls{}, false
	}
	return Calls{recent[1:]}, true
}

// recent returns the failures that can explain one at now.
func (c Calls) recent(now time.Time) []time.Time {
	for i, at := range c.failedAt {
		if now.Sub(at) < callFailureWindow {
			return c.failedAt[i:]
		}
	}
	return nil
}
