package synchronizer_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/synchronizer"
)

// silent takes connections and says nothing on them, as a process does that is frozen.
func silent(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestPublishersThatAreFrozenAreNotWaitedFor lists one that answers behind several that do not.
func TestPublishersThatAreFrozenAreNotWaitedFor(t *testing.T) {
	hub := synchronizer.NewHub()
	publisher := publish(t, hub, "127.0.0.1:0")
	change(t, hub, workspace("one"))
	began := time.Now()
	s := subscribe(t, silent(t), silent(t), silent(t), silent(t), publisher.address)
	waitForVersion(t, s, 1)
	assert.Assert(t, time.Since(began) < 2500*time.Millisecond, "it took %v", time.Since(began))
}
