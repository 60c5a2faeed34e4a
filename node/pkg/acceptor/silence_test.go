package acceptor_test

import (
	"bytes"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/retrier"
	"samphiremount.example/core/tracker"
)

// noExtraAttempts is a policy without budget for an attempt of a request that may have reached a target.
func noExtraAttempts() retrier.Policy {
	return retrier.Policy{FreeRetries: 8, Allowance: retrier.Allowance{Window: time.Minute}}
}

// TestRequestBehindLargeAnswersIsGivenUp sends lookups over a link on which large answers delay what the gate sends. The
// target works on every lookup, and no other attempt is allowed.
func TestRequestBehindLargeAnswersIsGivenUp(t *testing.T) {
	const bandwidth = 800_000
	random := rand.New(rand.NewPCG(24, 1))
	catalogue := make(chan []byte, 1000)
	f := newFleetBehind(t, func(gate string) string { return newLink(t, gate, bandwidth).listener.Addr().String() },
		noExtraAttempts, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/catalogue" {
				_, _ = w.Write(<-catalogue)
				return
			}
			time.Sleep(50 * time.Millisecond)
			answerReady(w, r)
		}))
	// The entry learns how long the gate takes to respond while the link is idle.
	for range 5 {
		assert.Equal(t, do(t, f.request(t, http.MethodGet, "/lookups")).status, http.StatusOK)
	}
	var mu sync.Mutex
	statuses := make(map[int]int)
	var group errgroup.Group
	for range 12 {
		size := 50_000 + random.IntN(150_000)
		catalogue <- bytes.Repeat([]byte{'x'}, size)
		group.Go(func() error {
			assert.Check(t, len(do(t, f.request(t, http.MethodGet, "/catalogue")).content) == size)
			return nil
		})
		for range 4 {
			time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
			group.Go(func() error {
				status := do(t, f.request(t, http.MethodGet, "/lookups")).status
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				return nil
			})
		}
	}
	assert.NilError(t, group.Wait())
	assert.DeepEqual(t, statuses, map[int]int{http.StatusOK: 48})
}

// TestRequestIsSentElsewhereWhileConnectingHangs has a node that accepts connections and says nothing. Its target counts as
// able to serve, so each request may choose it.
func TestRequestIsSentElsewhereWhileConnectingHangs(t *testing.T) {
	var runs atomic.Int64
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		answerReady(w, r)
	}))
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = mute.Close() })
	f.view.Merge(tracker.Node{
		Name: "mute", Region: "r", Centre: "c", Address: mute.Addr().String(), Incarnation: 1, Sequence: 1,
		Targets: []tracker.Target{{Name: "m", Service: "service", Slots: 4}},
	})
	for i := range 10 {
		began := time.Now()
		assert.Equal(t, do(t, f.request(t, http.MethodPost, "/bookings")).status, http.StatusOK)
		assert.Equal(t, runs.Load(), int64(i+1))
		assert.Assert(t, time.Since(began) < 2*time.Second, "%v", time.Since(began))
	}
}

// TestRequestIsRefusedWhileConnectingTakesLong has one target, behind a network that delays each new connection.
func TestRequestIsRefusedWhileConnectingTakesLong(t *testing.T) {
	const delay = 700 * time.Millisecond
	f := newFleetBehind(t, func(gate string) string { return newLateLink(t, gate, delay) }, generousPolicy, nil,
		http.HandlerFunc(answerReady))
	for _, path := range []string{"/bookings", "/lookups"} {
		reply := do(t, f.request(t, http.MethodGet, path))
		assert.Equal(t, reply.status, http.StatusOK, reply.content)
	}
}

// TestRequestThatWaitsAtItsGateIsGivenUp has a booking wait for a slot of the only target, while the frames of its gate are
// late. The question about it must not end it, whether or not the policy would allow another attempt.
func TestRequestThatWaitsAtItsGateIsGivenUp(t *testing.T) {
	for name, policy := range map[string]func() retrier.Policy{"free retries": generousPolicy, "no retries": noExtraAttempts} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var held atomic.Bool
			busy := make(chan struct{}, 4)
			f := newFleetBehind(t, func(gate string) string { return newHeldLink(t, gate, &held, false) }, policy, nil,
				http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/catalogue" {
						busy <- struct{}{}
						time.Sleep(700 * time.Millisecond)
					}
					answerReady(w, r)
				}))
			var group errgroup.Group
			send := func(method, path string, count int) {
				for range count {
					group.Go(func() error {
						assert.Check(t, do(t, f.request(t, method, path)).status == http.StatusOK)
						return nil
					})
				}
			}
			// The entry opens connections and learns how long the gate takes to respond.
			for range 5 {
				send(http.MethodPost, "/bookings", 8)
				assert.NilError(t, group.Wait())
			}
			send(http.MethodGet, "/catalogue", cap(busy))
			waitFor(t, func() bool { return len(busy) == cap(busy) })
			held.Store(true)
			time.AfterFunc(250*time.Millisecond, func() { held.Store(false) })
			send(http.MethodPost, "/bookings", 1)
			assert.NilError(t, group.Wait())
		})
	}
}

// TestSecondSilentGateHoldsRequest has two of three gates fall silent at the same moment.
func TestSecondSilentGateHoldsRequest(t *testing.T) {
	for i := range 8 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			var held atomic.Bool
			var gate string
			handlers := slices.Repeat([]http.Handler{http.HandlerFunc(answerReady)}, 3)
			f := newFleetBehind(t, func(address string) string { gate = address; return address }, generousPolicy, nil, handlers...)
			for name, target := range map[string]string{"node": "c", "x": "a", "y": "b"} {
				address := gate
				if name != "node" {
					address = newHeldLink(t, gate, &held, true)
				}
				f.view.Merge(tracker.Node{
					Name: name, Region: "r", Centre: "c", Address: address, Incarnation: 1, Sequence: 2,
					Targets: []tracker.Target{{Name: target, Service: "service", Slots: 4}},
				})
			}
			for range 30 + i {
				assert.Equal(t, do(t, f.request(t, http.MethodGet, "/catalogue")).status, http.StatusOK)
			}
			held.Store(true)
			began := time.Now()
			assert.Equal(t, do(t, f.request(t, http.MethodGet, "/catalogue")).status, http.StatusOK)
			assert.Assert(t, time.Since(began) < 5*time.Second, "%v", time.Since(began))
		})
	}
}
