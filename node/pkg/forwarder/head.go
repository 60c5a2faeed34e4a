package forwarder

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/regulator"
	"samphiremount.example/core/restrictor"
	"samphiremount.example/core/tombstoner"
)

// Headers that the gate adds to an answer for the entry. The entry removes them.
const (
	// HeaderBusy is the number of the target's slots in use, plus the number of requests that wait for a slot.
	HeaderBusy = "Samphire-Busy"
	// HeaderHigh is a latency that few requests of this kind exceed, in milliseconds.
	HeaderHigh = "Samphire-High"
	// HeaderMean is the mean latency of requests of this kind, in milliseconds.
	HeaderMean = "Samphire-Mean"
	// HeaderLimit is the limit that the target named in the answer, in requests per second.
	HeaderLimit = "Samphire-Limit"
	// HeaderLeaving is set if the target stated in the answer that it leaves.
	HeaderLeaving = "Samphire-Leaving"
)

// Head describes a request that is forwarded to a target. AttemptID identifies this attempt in the whole fleet, and
// RequestID identifies the request that the attempt belongs to. Origin is the service of the VM that sent the request, if
// known. Incarnation is the incarnation of the node beside the target, as the sender knows it. Length is the length of the
// body in bytes, or -1 if unknown.
type Head struct {
	AttemptID   string
	RequestID   string
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
	// Rank orders requests when a target has more of them than it can serve.
	Rank configurer.Rank
	// ObjectiveDeadline is the time after which the answer loses value to the caller.
	ObjectiveDeadline time.Time
	// Weight is the share of the workspace when workspaces compete for slots.
	Weight int
	// Trailer holds the names of the trailers that the request announces.
	Trailer []string
	// Objective is the objective of the request's route, or 0 if the route has none. A healthy target nearly
	// always answers within it.
	Objective time.Duration
	// Hedged is true if the request is also sent to a second target when the first one is slow. It is not sent to the
	// gate.
	Hedged bool
	// Regions are the regions in which the request may be served. They are not sent to the gate.
	Regions restrictor.Regions
	// HealthyOnly makes the gate refuse the request unless the target is healthy. It is set if the request is not
	// repeatable, or if another target has already received it.
	HealthyOnly bool
	// Immediate makes the gate refuse the request unless a slot is free now, because another target may have a free
	// slot.
	Immediate bool
	// Nested is true if the request is taken for a call that a target makes while it runs a request of a caller.
	Nested bool
	// Repeat is the probability that a run of the request repeats an earlier run: of the same request, or of the one whose
	// run made this call. Limits on repeats count the calls that such a run makes.
	Repeat float64
	// Retried is true if an earlier attempt of a repeatable request reached a target and failed. It is set only with admission.
	Retried bool
	// Limit is the limit that the target named in its last answer to the sender.
	Limit regulator.Limit
	// Upload is true on routes for uploads.
	Upload bool
	// Withheld is true if the body stays at the entry until the gate has a slot for the request.
	Withheld bool
	// AllowSuspect sends the request to the target even if its gate considers it suspect, because no other target is
	// left.
	AllowSuspect bool
	// StartBefore is the latest gate time at which the request may start. Client.Forward sets it from its estimate of
	// the gate's clock.
	StartBefore tombstoner.GateTime
}

// Identity returns the identity of this attempt.
func (h Head) Identity() tombstoner.Identity {
	return tombstoner.Identity{ID: h.AttemptID, Incarnation: h.Incarnation, StartBefore: h.StartBefore}
}

// Clock is the time of a gate's clock. Times of different incarnations can't be compared.
type Clock struct {
	Incarnation uint64
	Time        tombstoner.GateTime
}

// Answer is the answer of a target. Body returns io.EOF only after a complete answer, may implement TrailerBody, and
// must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Gate runs requests on the targets of its VM. Its errors are refusals whose outcome tells whether the request ran.
type Gate interface {
	Run(ctx context.Context, head Head, body io.Reader) (Answer, error)
	// Running reports whether the request with that ID was sent to a target and has not ended.
	Running(id string) bool
	// PlaceTombstone prevents the attempt with identity from starting after this call, and returns the attempt's state.
	PlaceTombstone(identity tombstoner.Identity) tombstoner.State
	// Look returns the attempt's state and changes nothing.
	Look(identity tombstoner.Identity) tombstoner.State
	// RecordCrash records a crash that another gate reported.
	RecordCrash(crash quarantiner.Crash)
	// Crashes returns the crashes that this gate knows, its own and those that others reported.
	Crashes() []quarantiner.Crash
	// Clock returns the current time of the gate's clock.
	Clock() Clock
}

// Destination describes how to reach a gate. Relays returns the addresses of other nodes that may reach the gate when
// this node can't. ResponseTimeout is how long to wait for the first response before the gate is asked about the attempt; 0
// means idleTimeout. OnFirstResponse may be nil. It is called with the time until the first response. OnSilence may be nil.
// It is called when connecting takes long, when a silent gate does not reply to that question, and, with reached set, when it
// replies and yet no frame comes. Launch may be nil. MayResend reports whether the request can be sent again after the gate
// has promised not to start this attempt; nil means that it can.
type Destination struct {
	Address         string
	Relays          func() []string
	ResponseTimeout time.Duration
	OnFirstResponse func(elapsed time.Duration)
	OnSilence       func(reached bool)
	Launch          *Launch
	MayResend       func() bool
}

// Launch decides once whether an attempt is sent to its gate or withdrawn. An attempt with a withheld body counts as sent
// once the body leaves: before that, the gate cannot start it.
type Launch struct {
	decided atomic.Bool
}

// Withdraw prevents the attempt from being sent. It returns false if the attempt may have been sent already.
func (l *Launch) Withdraw() bool { return l.decided.CompareAndSwap(false, true) }

// Sent reports whether the attempt may have been sent, or was withdrawn.
func (l *Launch) Sent() bool { return l.decided.Load() }

// commit reports whether the attempt may be sent. After that it cannot be withdrawn.
func (l *Launch) commit() bool { return l == nil || l.decided.CompareAndSwap(false, true) }

func (h Head) wire(now time.Time) headMessage {
	return headMessage{
		AttemptID: h.AttemptID, Incarnation: h.Incarnation, Target: h.Target, Service: h.Service, Workspace: h.Workspace,
		Repeatable: h.Repeatable, Remaining: h.Deadline.Sub(now).Milliseconds(), Method: h.Method, URI: h.URI,
		Host: h.Host, Header: h.Header, Length: h.Length, StartBefore: int64(h.StartBefore),
		Trailer: h.Trailer, Weight: h.Weight, RequestID: h.RequestID, Origin: h.Origin, Rank: int(h.Rank),
		ObjectiveDeadline: h.ObjectiveDeadline.Sub(now).Milliseconds(), AllowSuspect: h.AllowSuspect,
		HealthyOnly: h.HealthyOnly, Immediate: h.Immediate, Objective: h.Objective.Milliseconds(), Nested: h.Nested,
		Repeat: h.Repeat, Withheld: h.Withheld, Upload: h.Upload, Limited: h.Limit.Named, Limit: h.Limit.Rate,
		Retried: h.Retried,
	}
}

func (m headMessage) head(now time.Time) Head {
	return Head{
		AttemptID: m.AttemptID, Incarnation: m.Incarnation, Target: m.Target, Service: m.Service, Workspace: m.Workspace,
		Repeatable: m.Repeatable, Deadline: now.Add(time.Duration(m.Remaining) * time.Millisecond), Method: m.Method,
		URI: m.URI, Host: m.Host, Header: m.Header, Length: m.Length, StartBefore: tombstoner.GateTime(m.StartBefore),
		Trailer: m.Trailer, Weight: m.Weight, RequestID: m.RequestID, Origin: m.Origin, Rank: configurer.Rank(m.Rank),
		ObjectiveDeadline: now.Add(time.Duration(m.ObjectiveDeadline) * time.Millisecond), AllowSuspect: m.AllowSuspect,
		HealthyOnly: m.HealthyOnly, Immediate: m.Immediate, Nested: m.Nested, Repeat: min(max(m.Repeat, 0), 1),
		Limit:     regulator.Limit{Rate: m.Limit, Named: m.Limited},
		Objective: time.Duration(m.Objective) * time.Millisecond, Upload: m.Upload, Withheld: m.Withheld && m.Length != 0,
		Retried: m.Retried,
	}
}
