package limiter

import "time"

// step is the next step of a request: it is admitted, has a token reserved, or waits before it tries again.
type step interface{ step() }

// admitted means that the request has a token, for the given reason.
type admitted struct{ reason string }

// reserved means that the request gets its token at the time at.
type reserved struct {
	reason string
	at     time.Time
}

// waiting means that the request tries again once answered is closed.
type waiting struct{ answered <-chan struct{} }

func (admitted) step() {}
func (reserved) step() {}
func (waiting) step()  {}
