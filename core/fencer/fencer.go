// Package fencer decides whether a node may still serve keyed requests, given whom it has heard lately.
//
// A withdrawn key must stop working within seconds, and a fleet whose control processes are all away must go on for
// hours. A node that hears no control process tells the two apart by its peers: if it hears most of them, control is
// out for all and the node serves; if it hears few, the node itself is cut off and refuses.
package fencer

import (
	"time"
)

const (
	// MaxContactAge is how old the last contact with a control process may be. Past it the node asks its peers.
	MaxContactAge = 4 * time.Second
	// ProbeContactAge is the age of the last contact from which peers are asked, so that their answers are there in time.
	ProbeContactAge = 2 * time.Second
	// MaxProbeAge is how long a round of probes counts.
	MaxProbeAge = 4 * time.Second
)

// Verdict says whether a node serves keyed requests: Serve or Refuse, with the reason for the log.
type Verdict interface {
	verdict()
	Reason() string
}

// Serve allows keyed requests.
type Serve struct{ reason string }

// Refuse stops keyed requests; open routes go on.
type Refuse struct{ reason string }

func (Serve) verdict()  {}
func (Refuse) verdict() {}

// Reason implements Verdict.
func (s Serve) Reason() string { return s.reason }

// Reason implements Verdict.
func (r Refuse) Reason() string { return r.reason }

// Fencer is what a node knows of its contacts. It is immutable; the zero value has heard nobody. All times are of
// the node's own monotonic clock.
type Fencer struct {
	lastContact   time.Time
	probesStarted time.Time
	peersAsked    int
	peersAnswered int
}

// WithContact returns the assessor after a control process was heard at the given time, directly or by a peer.
func (a Fencer) WithContact(at time.Time) Fencer {
	if at.After(a.lastContact) {
		a.lastContact = at
	}
	return a
}

// WithProbes returns the assessor after a round of probes that began at the given time: asked peers, of which heard
// answered. The start of the round counts, so that a process that was frozen meanwhile does not take it for new.
func (a Fencer) WithProbes(began time.Time, asked, heard int) Fencer {
	a.probesStarted, a.peersAsked, a.peersAnswered = began, asked, heard
	return a
}

// ContactAge returns how long ago the last contact was.
func (a Fencer) ContactAge(now time.Time) time.Duration {
	return now.Sub(a.lastContact)
}

// Assess returns the verdict at now, which must be read at the moment of use.
func (a Fencer) Assess(now time.Time) Verdict {
	switch {
	case a.lastContact.IsZero() && a.probesStarted.IsZero():
		return Refuse{"no contact since the start"}
	case a.ContactAge(now) <= MaxContactAge:
		return Serve{"control is heard"}
	case now.Sub(a.probesStarted) > MaxProbeAge:
		return Refuse{"neither control nor peers were heard lately"}
	case a.peersAsked == 0:
		return Serve{"control is away and the fleet has no other node"}
	case 2*a.peersAnswered > a.peersAsked:
		return Serve{"control is away and most peers are heard"}
	default:
		return Refuse{"neither control nor most peers are heard"}
	}
}
