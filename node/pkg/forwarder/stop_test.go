package forwarder_test

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/stopper"
	"samphiremount.example/node/pkg/forwarder"
)

// TestStoppingGateKeepsItsRequests guards against a gate that takes requests until its process ends, and cuts them then: it
// refuses new ones as not run, and those in progress get an answer that leaves their outcome open.
func TestStoppingGateKeepsItsRequests(t *testing.T) {
	const grace = time.Second
	credentials := messenger.NewCredentials("test", []byte("0123456789abcdef"))
	started := make(chan struct{})
	gate := newGate(func(ctx context.Context, _ forwarder.Head, _ io.Reader) (forwarder.Answer, error) {
		close(started)
		<-ctx.Done()
		return forwarder.Answer{}, refuser.Fail(refuser.OutcomeUnknown, ctx.Err().Error())
	})
	server := forwarder.NewServer(
		gate, forwarder.NewClient(messenger.NewPool(credentials), new(expvar.Map), nil, slog.New(slog.DiscardHandler)),
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := messenger.Mux{}
	server.Register(mux)
	go func() {
		_ = messenger.NewServer(credentials, mux, slog.New(slog.DiscardHandler)).Serve(t.Context(), listener)
	}()

	client, destination := newClient(t), destinationOf(listener.Addr().String())
	result := make(chan error, 1)
	go func() {
		_, err := client.Forward(t.Context(), destination, head("running"), http.NoBody)
		result <- err
	}()
	<-started
	plan := stopper.New(time.Now(), stopper.Policy{Grace: grace})
	server.Stop(plan)
	_, err = client.Forward(t.Context(), destination, head("late"), http.NoBody)
	assert.Equal(t, refuser.From(err).Kind, refuser.NodeStopping)
	assert.Equal(t, outcome(t, err), "not-run")

	assert.Equal(t, server.Finish(plan), 1)
	assert.Assert(t, !time.Now().Before(plan.BreakOffAt) && time.Now().Before(plan.EndAt))
	err = <-result
	assert.Equal(t, outcome(t, err), "unknown")
	assert.Equal(t, refuser.From(err).Detail, context.Canceled.Error())
}
