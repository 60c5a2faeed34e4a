package carrier

import (
	"context"
	"io"
	"net/http"
	"time"
)

// HeaderBusy is set by the gate on each answer: the number of the target's slots in use. It does not reach callers.
const HeaderBusy = "Samphire-Busy"

// Head describes a request on its way to a target. ID identifies this attempt in the whole fleet. Incarnation is that
// of the node beside the target, as the sender knows it. Length is the body's length in bytes, or -1.
type Head struct {
	ID          string
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
}

// Answer is a target's answer. Body returns io.EOF only when the answer is whole. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Gate runs requests on the targets of its VM. Its errors are refusals that say truthfully whether the request ran.
type Gate interface {
	Run(ctx context.Context, head Head, body io.Reader) (Answer, error)
}

func (h Head) wire(now time.Time) headBody {
	return headBody{
		ID: h.ID, Incarnation: h.Incarnation, Target: h.Target, Service: h.Service, Workspace: h.Workspace,
		Repeatable: h.Repeatable, Remaining: h.Deadline.Sub(now).Milliseconds(), Method: h.Method, URI: h.URI,
		Host: h.Host, Header: h.Header, Length: h.Length,
	}
}

func (b headBody) head(now time.Time) Head {
	return Head{
		ID: b.ID, Incarnation: b.Incarnation, Target: b.Target, Service: b.Service, Workspace: b.Workspace,
		Repeatable: b.Repeatable, Deadline: now.Add(time.Duration(b.Remaining) * time.Millisecond), Method: b.Method,
		URI: b.URI, Host: b.Host, Header: b.Header, Length: b.Length,
	}
}
