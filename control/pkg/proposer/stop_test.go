package proposer_test

import (
	"bytes"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/core/refuser"
)

// TestCallsAreRefusedAtOnceAfterTheStop guards against operators' requests that wait for a log that no longer runs: the
// process ends before their timeout, and they get no answer.
func TestCallsAreRefusedAtOnceAfterTheStop(t *testing.T) {
	c := newCluster(t, 1)
	m := c.waitForLeader()
	m.cancel()
	assert.NilError(t, m.group.Wait())
	for name, call := range map[string]func() error{
		"read":    func() error { return m.ReadBarrier(t.Context()) },
		"change":  func() error { _, err := m.Propose(t.Context(), batch("late", workspace("w", 1))); return err },
		"replace": func() error { return m.Replace(t.Context(), "m0") },
	} {
		began := time.Now()
		refusal := refuser.From(call())
		assert.Assert(t, time.Since(began) < time.Second, "%s took %v", name, time.Since(began))
		assert.Equal(t, refusal.Outcome, refuser.Outcome(refuser.NotRun{}), name)
	}
}

// relay forwards connections. While stalls is true, a connection stalls for good once the client sends marker on it.
type relay struct {
	net.Listener

	marker []byte
	stalls atomic.Bool
}

func newRelay(t *testing.T, to, marker string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{Listener: listener, marker: []byte(marker)}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				_ = client.Close()
				continue
			}
			go r.copy(server, client)
			go r.copy(client, server)
		}
	}()
	return r
}

func (r *relay) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 64<<10)
	stalled := false
	for {
		n, err := from.Read(buf)
		stalled = stalled || r.stalls.Load() && bytes.Contains(buf[:n], r.marker)
		if !stalled {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			return
		}
	}
}

// TestConfirmedReadIsRefusedAtTheStop guards against operators' requests that get no answer from a process that stops. The
// process learns that a change is committed, but does not get its entry.
func TestConfirmedReadIsRefusedAtTheStop(t *testing.T) {
	const marker = "a-workspace-that-stays-away"
	c := newCluster(t, 0)
	c.listenAt = make(map[string]string)
	relays := make(map[string]*relay)
	for _, name := range []string{"m0", "m1", "m2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		c.listenAt[name] = listener.Addr().String()
		assert.NilError(t, listener.Close())
		relays[name] = newRelay(t, c.listenAt[name], marker)
		c.addresses[name] = relays[name].Addr().String()
	}
	for name := range c.addresses {
		c.start(name)
	}
	leader := c.waitForLeader()
	behind := "m0"
	if c.members[behind] == leader {
		behind = "m1"
	}
	m := c.members[behind]
	assert.NilError(t, m.ReadBarrier(t.Context()))
	relays[behind].stalls.Store(true)
	_, err := leader.Propose(t.Context(), batch("first", workspace(marker, 1)))
	assert.NilError(t, err)
	// The reads are spread over several heartbeats, so that some of them are confirmed by the time of the stop.
	var group errgroup.Group
	for range 30 {
		group.Go(func() error { return m.ReadBarrier(t.Context()) })
		time.Sleep(10 * time.Millisecond)
	}
	stoppedAt := time.Now()
	m.cancel()
	err = group.Wait()
	assert.Assert(t, time.Since(stoppedAt) < time.Second, "the last read ended after %v", time.Since(stoppedAt))
	assert.ErrorContains(t, err, "this process stops")
}

// TestChangeThatMayBeOnDiskHasNoCertainOutcome guards against a change that is told as refused although a later start may
// find it in the log.
func TestChangeThatMayBeOnDiskHasNoCertainOutcome(t *testing.T) {
	var fails atomic.Bool
	c := newCluster(t, 0)
	c.wrapDisk = func(disk storer.Disk) storer.Disk { return failingDisk{disk, &fails} }
	c.addresses["m0"] = "127.0.0.1:0"
	m := c.start("m0")
	c.waitForLeader()
	fails.Store(true)
	_, err := m.Propose(t.Context(), batch("first", workspace("w", 1)))
	assert.Equal(t, refuser.From(err).Outcome, refuser.Outcome(refuser.Unknown{}), "%v", err)
	assert.ErrorIs(t, m.group.Wait(), errDisk)
	assert.NilError(t, m.folder.Close())
	fails.Store(false)
	m = c.start("m0")
	c.waitForLeader()
	_, known := m.hub.Configuration().Receipt("first")
	assert.Assert(t, known, "the change was not in the log")
}
