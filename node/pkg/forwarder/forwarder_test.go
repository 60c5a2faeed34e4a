package forwarder_test

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tombstoner"
	"samphiremount.example/node/pkg/forwarder"
)

// gate is a forwarder.Gate that calls run instead of a target.
type gate struct {
	run func(ctx context.Context, head forwarder.Head, body io.Reader) (forwarder.Answer, error)

	mu         sync.Mutex
	tombstoner *tombstoner.Tombstoner
	started    time.Time
}

func newGate(run func(ctx context.Context, head forwarder.Head, body io.Reader) (forwarder.Answer, error)) *gate {
	return &gate{run: run, tombstoner: tombstoner.New(7, 100), started: time.Now()}
}

func (g *gate) Run(ctx context.Context, head forwarder.Head, body io.Reader) (forwarder.Answer, error) {
	g.mu.Lock()
	verdict := g.tombstoner.Start(g.Clock().Time, head.Identity())
	g.mu.Unlock()
	if verdict != tombstoner.Go {
		return forwarder.Answer{}, refuser.Refuse(refuser.NodeUnreachable, string(verdict))
	}
	return g.run(ctx, head, body)
}

func (g *gate) Running(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tombstoner.Running(id)
}

func (g *gate) PlaceTombstone(identity tombstoner.Identity) tombstoner.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tombstoner.PlaceTombstone(g.Clock().Time, identity)
}

func (g *gate) Look(identity tombstoner.Identity) tombstoner.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tombstoner.Look(g.Clock().Time, identity)
}

func (g *gate) RecordCrash(quarantiner.Crash) {}

func (g *gate) Crashes() []quarantiner.Crash { return nil }

func (g *gate) Clock() forwarder.Clock {
	return forwarder.Clock{Incarnation: 7, Time: tombstoner.GateTime(time.Since(g.started).Milliseconds())}
}

// serve runs a server for the given gate and returns a link to it.
func serve(t *testing.T, served forwarder.Gate) *link {
	t.Helper()
	_, proxy := serveWith(t, served)
	return proxy
}

// serveWith is serve, and also returns the server.
func serveWith(t *testing.T, served forwarder.Gate) (*forwarder.Server, *link) {
	t.Helper()
	credentials := messenger.NewCredentials("test", []byte("0123456789abcdef"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := messenger.Mux{}
	server := forwarder.NewServer(
		served, forwarder.NewClient(messenger.NewPool(credentials), new(expvar.Map), nil, slog.New(slog.DiscardHandler)),
	)
	server.Register(mux)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = messenger.NewServer(credentials, mux, slog.New(slog.DiscardHandler)).Serve(ctx, listener) }()
	return server, newLink(t, listener.Addr().String())
}

func newClient(t *testing.T) *forwarder.Client {
	t.Helper()
	pool := messenger.NewPool(messenger.NewCredentials("test", []byte("0123456789abcdef")))
	t.Cleanup(func() { _ = pool.Close() })
	return forwarder.NewClient(pool, new(expvar.Map), nil, slog.New(slog.DiscardHandler))
}

func head(id string) forwarder.Head {
	return forwarder.Head{AttemptID: id, Incarnation: 7, Method: http.MethodPost, URI: "/", Deadline: time.Now().Add(8 * time.Second)}
}

func destinationOf(address string, relays ...string) forwarder.Destination {
	return forwarder.Destination{Address: address, Relays: func() []string { return relays }}
}

func answered(body io.Reader) func(context.Context, forwarder.Head, io.Reader) (forwarder.Answer, error) {
	return func(context.Context, forwarder.Head, io.Reader) (forwarder.Answer, error) {
		return forwarder.Answer{Status: http.StatusOK, Body: io.NopCloser(body)}, nil
	}
}

// warm sends requests until the client reuses a connection.
func warm(t *testing.T, client *forwarder.Client, proxy *link) {
	t.Helper()
	for i := range 100 {
		before := proxy.connections()
		answer, err := client.Forward(t.Context(), destinationOf(proxy.address()), head("warm"+strconv.Itoa(i)), http.NoBody)
		assert.NilError(t, err)
		_, err = io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
		if i > 0 && proxy.connections() == before {
			time.Sleep(10 * time.Millisecond)
			return
		}
	}
	t.Fatal("no connection was reused")
}

func outcome(t *testing.T, err error) string {
	t.Helper()
	assert.Assert(t, err != nil)
	return refuser.From(err).Outcome.String()
}

// TestTombstoneOverNewConnectionAfterStall guards against unknown outcomes. The pooled connection stalls before the
// request's head gets through, and the client must ask the gate for a tombstone over a new connection.
func TestTombstoneOverNewConnectionAfterStall(t *testing.T) {
	served := newGate(answered(strings.NewReader("")))
	proxy := serve(t, served)
	client := newClient(t)
	warm(t, client, proxy)
	release := proxy.stall(true)
	_, err := client.Forward(t.Context(), destinationOf(proxy.address()), head("second"), http.NoBody)
	assert.Equal(t, outcome(t, err), "not-run")
	// The head arrives late, and the request must not start.
	release()
	time.Sleep(50 * time.Millisecond)
	identity := tombstoner.Identity{ID: "second", Incarnation: 7, StartBefore: served.Clock().Time + 9_000}
	assert.Equal(t, tombstoner.Name(served.PlaceTombstone(identity)), "buried")
}

func TestTombstoneThroughRelay(t *testing.T) {
	proxy := serve(t, newGate(answered(strings.NewReader(""))))
	relay := serve(t, newGate(nil))
	client := newClient(t)
	warm(t, client, proxy)
	_ = proxy.stall(true)
	proxy.deny(1)
	_, err := client.Forward(t.Context(), destinationOf(proxy.address(), "127.0.0.1:1", relay.address()), head("second"), http.NoBody)
	assert.Equal(t, outcome(t, err), "not-run")
}

// TestSilentGateDoesNotAbortRun guards against canceled runs. Bytes from the gate are held back for longer than the
// entry's response timeout, on new connections too. If the client then aborted the exchange, it would cancel the run, and the
// caller would get no answer.
func TestSilentGateDoesNotAbortRun(t *testing.T) {
	cases := map[string]struct {
		repeatable  bool
		unreachable int
		silence     time.Duration
	}{
		"booking, gate replies elsewhere": {silence: 400 * time.Millisecond},
		"lookup, gate replies elsewhere":  {repeatable: true, silence: 400 * time.Millisecond},
		"booking, nothing arrives":        {unreachable: 1000, silence: 3 * time.Second},
		"lookup, nothing arrives":         {unreachable: 1000, silence: 3 * time.Second, repeatable: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			served := newGate(func(ctx context.Context, head forwarder.Head, _ io.Reader) (forwarder.Answer, error) {
				if head.AttemptID != "silent" {
					return forwarder.Answer{Status: http.StatusOK, Body: http.NoBody}, nil
				}
				select {
				case <-release:
					return forwarder.Answer{Status: http.StatusCreated, Body: http.NoBody}, nil
				case <-ctx.Done():
					return forwarder.Answer{}, refuser.Fail(refuser.OutcomeUnknown, "the run was canceled")
				}
			})
			proxy := serve(t, served)
			client := newClient(t)
			warm(t, client, proxy)
			deliver := proxy.stall(false)
			proxy.deny(c.unreachable)
			destination := destinationOf(proxy.address())
			destination.ResponseTimeout = 80 * time.Millisecond
			go func() {
				time.Sleep(c.silence)
				deliver()
				close(release)
			}()
			request := head("silent")
			request.Repeatable = c.repeatable
			answer, err := client.Forward(t.Context(), destination, request, http.NoBody)
			assert.NilError(t, err)
			assert.Equal(t, answer.Status, http.StatusCreated)
			assert.NilError(t, answer.Body.Close())
		})
	}
}

// TestAnswerIsCutWhileItsGateIsSilent holds back the rest of an answer for seconds.
func TestAnswerIsCutWhileItsGateIsSilent(t *testing.T) {
	body := strings.Repeat("answer", 50_000)
	source, rest := io.Pipe()
	proxy := serve(t, newGate(answered(io.MultiReader(strings.NewReader(body), source))))
	request := head("a")
	request.Repeatable = true
	answer, err := newClient(t).Forward(t.Context(), destinationOf(proxy.address()), request, http.NoBody)
	assert.NilError(t, err)
	content := make([]byte, len(body))
	_, err = io.ReadFull(answer.Body, content)
	assert.NilError(t, err)
	deliver := proxy.stall(false)
	proxy.deny(1000)
	go func() {
		time.Sleep(3 * time.Second)
		deliver()
		_ = rest.Close()
	}()
	end, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(content)+string(end), body)
	assert.NilError(t, answer.Body.Close())
}

// TestStalledConnectionEndsRun guards against a run that is ended because its connection delivers nothing, while new
// connections work. The run may go on until the deadline, after which its outcome is unknown.
func TestStalledConnectionEndsRun(t *testing.T) {
	ended := make(chan time.Time, 1)
	proxy := serve(t, newGate(func(ctx context.Context, _ forwarder.Head, _ io.Reader) (forwarder.Answer, error) {
		<-ctx.Done()
		ended <- time.Now()
		return forwarder.Answer{}, refuser.Fail(refuser.DeadlinePassed, "")
	}))
	go func() {
		time.Sleep(time.Second)
		_ = proxy.stall(false)
	}()
	request := head("a")
	request.Deadline = time.Now().Add(5 * time.Second)
	_, err := newClient(t).Forward(t.Context(), destinationOf(proxy.address()), request, http.NoBody)
	assert.Equal(t, outcome(t, err), "unknown")
	late := time.Since(request.Deadline)
	assert.Assert(t, late > -50*time.Millisecond && late < time.Second, "%s", late)
	assert.Assert(t, (<-ended).After(request.Deadline.Add(-50*time.Millisecond)), "the run was ended early")
}

func TestCallersCancellationReachesTheGate(t *testing.T) {
	reached := make(chan struct{})
	started := make(chan struct{})
	proxy := serve(t, newGate(func(ctx context.Context, _ forwarder.Head, body io.Reader) (forwarder.Answer, error) {
		_, _ = io.Copy(io.Discard, body)
		close(started)
		<-ctx.Done()
		close(reached)
		return forwarder.Answer{}, refuser.Fail(refuser.OutcomeUnknown, "")
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	request := head("a")
	request.Length = 5
	_, err := newClient(t).Forward(ctx, destinationOf(proxy.address()), request, strings.NewReader("hello"))
	assert.Equal(t, outcome(t, err), "unknown")
	select {
	case <-reached:
	case <-time.After(5 * time.Second):
		t.Fatal("the cancellation did not reach the gate")
	}
}

func TestTruncatedBodiesAreDetected(t *testing.T) {
	truncated := io.MultiReader(bytes.NewReader(make([]byte, 100_000)), iotest.ErrReader(errors.New("cut")))
	proxy := serve(t, newGate(answered(truncated)))
	answer, err := newClient(t).Forward(t.Context(), destinationOf(proxy.address()), head("a"), http.NoBody)
	assert.NilError(t, err)
	_, err = io.ReadAll(answer.Body)
	assert.ErrorIs(t, err, forwarder.ErrTruncated)
	assert.NilError(t, answer.Body.Close())

	seen := make(chan error, 1)
	proxy = serve(t, newGate(func(_ context.Context, _ forwarder.Head, body io.Reader) (forwarder.Answer, error) {
		_, err := io.Copy(io.Discard, body)
		seen <- err
		return forwarder.Answer{}, refuser.Fail(refuser.BodyCut, "")
	}))
	request := head("b")
	request.Length = -1
	truncated = io.MultiReader(bytes.NewReader(make([]byte, 100_000)), iotest.ErrReader(errors.New("cut")))
	_, err = newClient(t).Forward(t.Context(), destinationOf(proxy.address()), request, truncated)
	assert.Equal(t, refuser.From(err).Kind, refuser.BodyCut)
	assert.ErrorIs(t, <-seen, forwarder.ErrTruncated)
}

// TestRefusalLeavesTheConnectionUsable guards against a connection that stays blocked by the unread body of a refused
// request.
func TestRefusalLeavesTheConnectionUsable(t *testing.T) {
	proxy := serve(t, newGate(func(_ context.Context, head forwarder.Head, body io.Reader) (forwarder.Answer, error) {
		if strings.HasPrefix(head.AttemptID, "refused") {
			return forwarder.Answer{}, refuser.Refuse(refuser.CapacityShort, "")
		}
		content, err := io.ReadAll(body)
		return forwarder.Answer{Status: http.StatusOK, Body: io.NopCloser(bytes.NewReader(content))}, err
	}))
	client := newClient(t)
	for _, id := range []string{"refused1", "a", "refused2", "refused3", "b"} {
		request := head(id)
		request.Length = 70_000
		started := time.Now()
		answer, err := client.Forward(t.Context(), destinationOf(proxy.address()), request, bytes.NewReader(make([]byte, 70_000)))
		assert.Assert(t, time.Since(started) < time.Second, "%s took %s", id, time.Since(started))
		if err != nil {
			assert.Equal(t, refuser.From(err).Kind, refuser.CapacityShort)
			continue
		}
		content, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(content), 70_000)
		assert.NilError(t, answer.Body.Close())
	}
}
