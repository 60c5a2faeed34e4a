package bounder

import "time"

// The least pace of a client: minPaceBytes in each paceWindow for which the process has waited for it, some 550 bytes/s. A client
// that takes up the whole of a link of 10 kbit/s is faster, and no route of the users lasts longer than 20 s.
// A reader is seen in steps of writeBytes.
const (
	paceWindow   = 30 * time.Second
	minPaceBytes = 16 << 10
)

// maxAheadBytes is what may be unread on a connection whose request has arrived in full. It is one head of the greatest legal size:
// the users' clients send their next request after the answer.
const maxAheadBytes = 16 << 10

// Pace measures how fast a client sends a body or reads an answer. Time in which the process does not wait for the client is not
// counted.
type Pace struct {
	waited time.Duration
	bytes  int64
}

// Add counts a time and the bytes in it, and reports whether the client is too slow.
func (p *Pace) Add(waited time.Duration, bytes int64) bool {
	p.waited += waited
	p.bytes += bytes
	if p.waited < paceWindow {
		return false
	}
	slow := p.bytes < minPaceBytes
	*p = Pace{}
	return slow
}

// sweep returns the reason for which the connection has to be closed at now, or an empty string. It is called once in
// sweepInterval, by one goroutine; newWindow begins a window of recent progress.
func (c *conn) sweep(now time.Time, newWindow bool) string {
	current, h := c.phase.Load(), c.holder(now)
	if ended := c.ended.Load(); ended != c.paced {
		c.pace, c.paced = Pace{}, ended
	}
	if newWindow {
		recent := c.recent.Swap(0)
		c.earlier.Store(recent)
		waited := min(h.Waited, windowInterval)
		// Heads and idle times have time-outs of their own.
		if (current == inBody || c.writeSince.Load() != 0) && c.pace.Add(waited, recent) {
			return closedSlow
		}
	}
	if current == handling && c.unread() > maxAheadBytes && c.phase.Load() == handling {
		return closedPipelined
	}
	return ""
}
