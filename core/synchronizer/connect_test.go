package synchronizer_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/synchronizer"
)

// silentListener returns an address that clients can connect to but that never sends anything, like that of a suspended
// process.
func silentListener(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestUnresponsivePublishersDoNotDelayConnection lists several suspended publishers before one that answers.
func TestUnresponsivePublishersDoNotDelayConnection(t *testing.T) {
	hub := synchronizer.NewHub()
	publisher := publish(t, hub, "127.0.0.1:0")
	change(t, hub, workspace("one"))
	began := time.Now()
	s := subscribe(t, silentListener(t), silentListener(t), silentListener(t), silentListener(t), publisher.address)
	waitForVersion(t, s, 1)
	assert.Assert(t, time.Since(began) < 2500*time.Millisecond, "it took %v", time.Since(began))
}
