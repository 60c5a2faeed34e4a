package refuser

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome says whether a request ran on a target. It is Ran, NotRun or Unknown.
type Outcome interface {
	outcome()
	String() string
}

// Ran states that a target answered the request.
type Ran struct{}

// NotRun states that no target started the request and that none will start it later.
type NotRun struct{}

// Unknown states that a target may have run the request, or may run it still.
type Unknown struct{}

func (Ran) outcome()     {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

func (Ran) String() string     { return "ran" }
func (NotRun) String() string  { return "not-run" }
func (Unknown) String() string { return "unknown" }

// ParseOutcome reads the form that String writes. Everything else is Unknown, which promises nothing.
func ParseOutcome(text string) Outcome {
	switch text {
	case Ran{}.String():
		return Ran{}
	case NotRun{}.String():
		return NotRun{}
	default:
		return Unknown{}
	}
}

// Refusal is the error that carries a Kind to the caller, with what is known of the request's outcome. Load is the number
// of requests in the slots of the target and before them, where a gate refused for want of capacity. Again is from when on
// the request may be sent again with better prospects, or zero if that is not known.
type Refusal struct {
	Kind    Kind
	Outcome Outcome
	Detail  string
	Load    int
	RetryAt time.Time
}

// Error returns the kind and the detail.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return string(r.Kind)
	}
	return string(r.Kind) + ": " + r.Detail
}

// Refuse returns a Refusal of a request that was not run.
func Refuse(kind Kind, detail string) error {
	return &Refusal{Kind: kind, Outcome: NotRun{}, Detail: detail}
}

// Fail returns a Refusal of a request whose outcome is not known.
func Fail(kind Kind, detail string) error {
	return &Refusal{Kind: kind, Outcome: Unknown{}, Detail: detail}
}

// From returns the Refusal in err's chain. An error without one becomes Internal with an unknown outcome.
func From(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Kind: Internal, Outcome: Unknown{}, Detail: err.Error()}
}
