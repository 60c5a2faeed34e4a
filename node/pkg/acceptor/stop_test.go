package acceptor_test

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/acceptor"
)

// TestRefusedCallerReturnsAtOnce guards against callers that a stopping node refuses without a pause: until it has been
// started again, they would only be refused once more.
func TestRefusedCallerReturnsAtOnce(t *testing.T) {
	entry := acceptor.New(acceptor.Dependencies{
		Refuses: func(time.Time) bool { return true }, Random: rand.New(rand.NewPCG(1, 2)), RouteLog: slog.New(slog.DiscardHandler),
	})
	_, err := entry.Serve(t.Context(), acceptor.Call{ID: "late"})
	refusal := refuser.From(err)
	assert.Equal(t, refusal.Kind, refuser.NodeStopping)
	assert.Equal(t, refusal.Outcome, refuser.NotRun{})
	assert.Assert(t, refusal.RetryAt.After(time.Now()), "%v", refusal.RetryAt)
}
