package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

// TestGateWaitsForABodyNoLongerThanUntilTheDeadline guards against a gate that cannot stop because an entry went silent in
// the middle of a body.
func TestGateWaitsForABodyNoLongerThanUntilTheDeadline(t *testing.T) {
	reading, ended := make(chan struct{}), make(chan struct{})
	proxy := serve(t, newGate(func(_ context.Context, _ forwarder.Head, body io.Reader) (forwarder.Answer, error) {
		defer close(ended)
		_, _ = io.ReadFull(body, make([]byte, 1))
		close(reading)
		_, err := io.Copy(io.Discard, body)
		return forwarder.Answer{}, refuser.Refuse(refuser.BodyCut, err.Error())
	}))
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	request := head("a")
	request.Length, request.Method, request.Deadline = 10, http.MethodPost, time.Now().Add(500*time.Millisecond)
	go func() {
		_, _ = writer.Write([]byte("part"))
		<-reading
		_ = proxy.stall(true)
	}()
	_, err := newClient(t).Forward(t.Context(), destinationOf(proxy.address()), request, body)
	assert.Assert(t, err != nil)
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Fatal("the gate still waits for the body")
	}
}
