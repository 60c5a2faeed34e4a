// Package fencer decides whether a node may serve keyed requests or must fence itself, depending on which processes it
// was in contact with lately.
//
// A withdrawn key must stop working within seconds, while a fleet whose control processes are all unavailable must keep
// working for hours. A node without contact to any control process distinguishes the two cases by its peers. If most of
// them answer, control is unavailable to all and the node serves. Otherwise the node itself may be partitioned from the
// rest of the fleet, so it refuses keyed requests.
package fencer

import (
	"time"
)

const (
	// MaxContactAge is the maximum age of the last contact with a control process. Beyond it, the verdict depends on the
	// peers.
	MaxContactAge = 4 * time.Second
	// ProbeContactAge is the age of the last contact after which the node probes its peers. It is below MaxContactAge so
	// that their answers arrive in time.
	ProbeContactAge = 2 * time.Second
	// MaxProbeAge is how long the result of a round of probes is valid, counted from the start of the round.
	MaxProbeAge = 4 * time.Second
)

// Verdict decides whether a node serves keyed requests. It is Serve or Refuse, with the reason for the log.
type Verdict interface {
	verdict()
	Reason() string
}

// Serve allows keyed requests.
type Serve struct{ reason string }

// Refuse stops keyed requests. Requests on open routes are still served.
type Refuse struct{ reason string }

func (Serve) verdict()  {}
func (Refuse) verdict() {}

// Reason implements Verdict.
func (s Serve) Reason() string { return s.reason }

// Reason implements Verdict.
func (r Refuse) Reason() string { return r.reason }

// Fencer holds the last contacts of a node. It is immutable. The zero value has had no contact. All times are on the
// node's own monotonic clock.
type Fencer struct {
	lastContact   time.Time
	probesStarted time.Time
	peersAsked    int
	peersAnswered int
}

// WithContact returns the Fencer after a contact with a control process at the given time, directly or through a peer.
func (f Fencer) WithContact(at time.Time) Fencer {
	if at.After(f.lastContact) {
		f.lastContact = at
	}
	return f
}

// WithProbes returns the Fencer after a round of probes that began at the given time. asked is the number of probed
// peers, and answered the number of them that answered. The age of the round is counted from its start, so that a
// process that was suspended during the round does not take an old result for a new one.
func (f Fencer) WithProbes(began time.Time, asked, answered int) Fencer {
	f.probesStarted, f.peersAsked, f.peersAnswered = began, asked, answered
	return f
}

// ContactAge returns the time since the last contact with a control process.
func (f Fencer) ContactAge(now time.Time) time.Duration {
	return now.Sub(f.lastContact)
}

// Assess returns the verdict at now. The caller must read the clock and use the verdict at once.
func (f Fencer) Assess(now time.Time) Verdict {
	switch {
	case f.lastContact.IsZero() && f.probesStarted.IsZero():
		return Refuse{"no contact since the start"}
	case f.ContactAge(now) <= MaxContactAge:
		return Serve{"control is heard"}
	case now.Sub(f.probesStarted) > MaxProbeAge:
		return Refuse{"neither control nor peers were heard lately"}
	case f.peersAsked == 0:
		return Serve{"control is away and the fleet has no other node"}
	case 2*f.peersAnswered > f.peersAsked:
		return Serve{"control is away and most peers are heard"}
	default:
		return Refuse{"neither control nor most peers are heard"}
	}
}
