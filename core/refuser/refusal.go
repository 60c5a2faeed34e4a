package refuser

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome states whether a request ran on a target. It is Ran, NotRun or Unknown.
type Outcome interface {
	outcome()
	String() string
}

// Ran means that a target answered the request.
type Ran struct{}

// NotRun means that no target has started the request and that none will start it later.
type NotRun struct{}

// Unknown means that a target may have run the request, or may still run it.
type Unknown struct{}

func (Ran) outcome()     {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

func (Ran) String() string     { return "ran" }
func (NotRun) String() string  { return "not-run" }
func (Unknown) String() string { return "unknown" }

// ParseOutcome returns the outcome whose String is text. Any other text is parsed as Unknown, which guarantees nothing.
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

// Refusal is the error for a refused or failed request: its Kind and what is known about its outcome. Load is set if a
// gate refused the request because the target had no free slot: the number of requests that run on the target or wait
// for it. RetryAt is the earliest time at which a retry may succeed, or zero if that is not known.
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

// From returns the Refusal in err's chain, or one of kind Internal with an unknown outcome if there is none.
func From(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Kind: Internal, Outcome: Unknown{}, Detail: err.Error()}
}
