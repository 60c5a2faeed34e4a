package refuser_test

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/refuser"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	for _, kind := range refuser.Kinds() {
		answer := kind.Answer()
		assert.Assert(t, answer.Status >= 400 && answer.Status <= 599, "%s", kind)
		assert.Assert(t, http.StatusText(answer.Status) != "", "%s", kind)
		assert.Assert(t, answer.Message != "", "%s", kind)
	}
	assert.Equal(t, refuser.Kind("of a newer process").Answer(), refuser.Internal.Answer())
}

func TestOutcomes(t *testing.T) {
	for _, outcome := range []refuser.Outcome{refuser.Ran{}, refuser.NotRun{}, refuser.Unknown{}} {
		assert.Equal(t, refuser.ParseOutcome(outcome.String()), outcome)
	}
	assert.Equal(t, refuser.ParseOutcome("anything else"), refuser.Unknown{})

	wrapped := errors.Wrap(refuser.Refuse(refuser.RateExceeded, "detail"), "admit")
	assert.Equal(t, refuser.From(wrapped).Outcome, refuser.NotRun{})
	assert.Equal(t, refuser.From(errors.New("any")).Outcome, refuser.Unknown{}, "an error guarantees nothing about the outcome")
}
