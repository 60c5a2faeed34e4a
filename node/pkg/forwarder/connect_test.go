package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/stopper"
	"samphiremount.example/node/pkg/forwarder"
)

// silentListener takes connections and never answers on them.
func silentListener(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return listener.Addr().String()
}

// TestConnectThatDoesNotEndSendsNothing covers a gate that does not answer and one whose connections are held up: the
// request is told as not run, and must not run when the connection works again.
func TestConnectThatDoesNotEndSendsNothing(t *testing.T) {
	var runs atomic.Int64
	proxy := serve(t, newGate(func(context.Context, forwarder.Head, io.Reader) (forwarder.Answer, error) {
		runs.Add(1)
		return forwarder.Answer{Status: http.StatusOK, Body: http.NoBody}, nil
	}))
	release := proxy.stallNew()
	for _, address := range []string{proxy.address(), silentListener(t)} {
		request := head("late")
		request.Deadline = time.Now().Add(200 * time.Millisecond)
		_, err := newClient(t).Forward(t.Context(), destinationOf(address), request, http.NoBody)
		assert.Equal(t, outcome(t, err), "not-run")
		assert.Assert(t, time.Since(request.Deadline) < time.Second, "%v", time.Since(request.Deadline))
	}
	release()
	answer, err := newClient(t).Forward(t.Context(), destinationOf(proxy.address()), head("next"), http.NoBody)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, runs.Load(), int64(1))
}

// TestCallerThatLeavesDuringTheConnectIsNoEvidenceAgainstTheNode guards against a node that is avoided because a caller left
// while a connection to it was opened.
func TestCallerThatLeavesDuringTheConnectIsNoEvidenceAgainstTheNode(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := newClient(t).Forward(ctx, destinationOf(silentListener(t)), head("a"), http.NoBody)
	assert.Equal(t, outcome(t, err), "not-run")
	assert.Assert(t, refuser.From(err).Kind != refuser.NodeUnreachable, "%v", err)
}

// TestStoppingServerRefusesNewRequestsAndEndsEarlierOnes guards against a gate that stops while a target is at work, and
// against one that waits for a request which came after its stop began.
func TestStoppingServerRefusesNewRequestsAndEndsEarlierOnes(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	served := newGate(func(context.Context, forwarder.Head, io.Reader) (forwarder.Answer, error) {
		close(started)
		<-release
		return forwarder.Answer{Status: http.StatusOK, Body: http.NoBody}, nil
	})
	server, proxy := serveWith(t, served)
	client := newClient(t)
	var group errgroup.Group
	group.Go(func() error {
		answer, err := client.Forward(t.Context(), destinationOf(proxy.address()), head("early"), http.NoBody)
		if err != nil {
			return err
		}
		return answer.Body.Close()
	})
	<-started
	var stopped atomic.Bool
	plan := stopper.New(time.Now(), stopper.Policy{Grace: time.Minute})
	group.Go(func() error {
		server.Stop(plan)
		assert.Check(t, server.Finish(plan) == 0)
		stopped.Store(true)
		return nil
	})
	var refusal *refuser.Refusal
	for refusal == nil || refusal.Kind != refuser.NodeStopping {
		// Until the stop has begun, the identity is refused as a duplicate.
		_, err := client.Forward(t.Context(), destinationOf(proxy.address()), head("early"), http.NoBody)
		assert.Assert(t, err != nil)
		refusal = refuser.From(err)
	}
	assert.Equal(t, refusal.Outcome, refuser.Outcome(refuser.NotRun{}))
	assert.Assert(t, !stopped.Load(), "the stop did not wait for the request")
	close(release)
	assert.NilError(t, group.Wait())
}

// TestSlowConnectToTheOnlyGateIsEnded holds connections back for longer than the usual bound of the first call to a gate.
func TestSlowConnectToTheOnlyGateIsEnded(t *testing.T) {
	proxy := serve(t, newGate(answered(strings.NewReader("answer"))))
	release := proxy.stallNew()
	time.AfterFunc(1500*time.Millisecond, release)
	answer, err := newClient(t).Forward(t.Context(), destinationOf(proxy.address()), head("a"), http.NoBody)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
}
