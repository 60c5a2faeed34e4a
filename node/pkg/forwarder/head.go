package forwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/tombstoner"
)

// Headers that the gate sets on an answer for the entry. They do not reach callers.
const (
	// HeaderBusy is the number of the target's slots in use and of requests that wait for one.
	HeaderBusy = "Samphire-Busy"
	// HeaderHigh is how many milliseconds nearly all requests of this kind take at most.
	HeaderHigh = "Samphire-High"
	// HeaderMean is how many milliseconds requests of this kind take on average.
	HeaderMean = "Samphire-Mean"
)

// Head describes a request on its way to a target. ID identifies this attempt in the whole fleet, Request the request
// that it is an attempt at. Origin is the service of the VM where the request began, if it is known. Incarnation is that
// of the node beside the target, as the sender knows it. Length is the body's length in bytes, or -1.
type Head struct {
	ID          string
	Request     string
	Origin      string
	Incarnation uint64
	Target      string
	Service     string
	Workspace   string
	Repeatable  bool
	Deadline    time.Time
	Method      string
	URI         string
	Host        string
	Header      http.Header
	Length      int64
	// Rank orders requests when a target has more than it can serve.
	Rank configurer.Rank
	// ObjectiveDeadline is when the answer begins to lose value to the caller.
	ObjectiveDeadline time.Time
	// Weight is the workspace's share when workspaces compete for slots.
	Weight int
	// Trailer holds the names of the trailers that the body announces.
	Trailer []string
	// MaxExpectedLatency is how long a sound target nearly always takes at most; 0 if that is not known.
	MaxExpectedLatency time.Duration
	// Hedged says that the request goes to a second target if this one takes long. It stays with the entry.
	Hedged bool
	// HealthyOnly asks for a sound target only: the request may not be repeated, or was sent to another one before.
	HealthyOnly bool
	// Immediate asks for a slot that is free now: other targets may have one.
	Immediate bool
	// Nested says that the request is taken for a call which a target makes while it runs a request of a caller.
	Nested bool
	// AllowSuspect asks for a target that its gate takes for suspect, since no other is left.
	AllowSuspect bool
	// StartBefore is set by Client.Carry from what it knows of the gate's clock.
	StartBefore tombstoner.GateTime
}

// Identity returns the identity of this attempt.
func (h Head) Identity() tombstoner.Identity {
	return tombstoner.Identity{ID: h.ID, Incarnation: h.Incarnation, StartBefore: h.StartBefore}
}

// Clock is what a gate's clock shows. Readings count within one incarnation only.
type Clock struct {
	Incarnation uint64
	Time        tombstoner.GateTime
}

// Answer is a target's answer. Body returns io.EOF only when the answer is whole. It may be Trailed. Close must be
// called.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Gate runs requests on the targets of its VM. Its errors are refusals that say truthfully whether the request ran.
type Gate interface {
	Run(ctx context.Context, head Head, body io.Reader) (Answer, error)
	// Running reports whether the request called id went to a target and has not ended.
	Running(id string) bool
	// PlaceTombstone makes sure that identity does not start from now on, and returns what is known of it.
	PlaceTombstone(identity tombstoner.Identity) tombstoner.State
	// RecordCrash records a crash that another gate saw.
	RecordCrash(crash quarantiner.Crash)
	// Clock reads the gate's clock.
	Clock() Clock
}

// Destination leads to a gate. Relays returns addresses of other nodes that may still reach the gate when this one does not.
// Patience is how long to wait for the gate's first sign of life, and Reached is called with how long that took.
type Destination struct {
	Address         string
	Relays          func() []string
	ResponseTimeout time.Duration
	OnFirstResponse func(trip time.Duration)
}

func (h Head) wire(now time.Time) headMessage {
	return headMessage{
		ID: h.ID, Incarnation: h.Incarnation, Target: h.Target, Service: h.Service, Workspace: h.Workspace,
		Repeatable: h.Repeatable, Remaining: h.Deadline.Sub(now).Milliseconds(), Method: h.Method, URI: h.URI,
		Host: h.Host, Header: h.Header, Length: h.Length, StartBefore: int64(h.StartBefore),
		Trailer: h.Trailer, Weight: h.Weight, Request: h.Request, Origin: h.Origin, Rank: int(h.Rank),
		ObjectiveDeadline: h.ObjectiveDeadline.Sub(now).Milliseconds(), AllowSuspect: h.AllowSuspect, HealthyOnly: h.HealthyOnly,
		Immediate:          h.Immediate,
		MaxExpectedLatency: h.MaxExpectedLatency.Milliseconds(), Nested: h.Nested,
	}
}

func (b headMessage) head(now time.Time) Head {
	return Head{
		ID: b.ID, Incarnation: b.Incarnation, Target: b.Target, Service: b.Service, Workspace: b.Workspace,
		Repeatable: b.Repeatable, Deadline: now.Add(time.Duration(b.Remaining) * time.Millisecond), Method: b.Method,
		URI: b.URI, Host: b.Host, Header: b.Header, Length: b.Length, StartBefore: tombstoner.GateTime(b.StartBefore),
		Trailer: b.Trailer, Weight: b.Weight, Request: b.Request, Origin: b.Origin, Rank: configurer.Rank(b.Rank),
		ObjectiveDeadline: now.Add(time.Duration(b.ObjectiveDeadline) * time.Millisecond), AllowSuspect: b.AllowSuspect,
		HealthyOnly: b.HealthyOnly,
		Immediate:   b.Immediate, Nested: b.Nested, MaxExpectedLatency: time.Duration(b.MaxExpectedLatency) * time.Millisecond,
	}
}
