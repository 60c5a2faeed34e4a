package synchronizer_test

import (
	"io"
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

// farAddress returns an address that forwards to address and back, with that delay in each direction.
func farAddress(t *testing.T, address string, delay time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	forward := func(to io.WriteCloser, from io.Reader) {
		defer func() { _ = to.Close() }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			time.Sleep(delay)
			if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
				return
			}
		}
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				_ = near.Close()
				continue
			}
			go forward(near, far)
			go forward(far, near)
		}
	}()
	return listener.Addr().String()
}

// TestStalePublishersNearbyHideFreshOnesFarAway guards against a subscriber that goes round publishers without contact to
// control, because they answer sooner than a far one that has it.
func TestStalePublishersNearbyHideFreshOnesFarAway(t *testing.T) {
	hub := synchronizer.NewHub()
	fresh := publish(t, hub, "127.0.0.1:0")
	change(t, hub, workspace("one"))
	never := func() time.Duration { return time.Hour }
	first := publishWith(t, synchronizer.NewHub(), "127.0.0.1:0", never)
	second := publishWith(t, synchronizer.NewHub(), "127.0.0.1:0", never)
	far := farAddress(t, fresh.address, 70*time.Millisecond)
	began := time.Now()
	s := subscribe(t, far, first.address, second.address)
	waitForVersion(t, s, 1)
	assert.Assert(t, time.Since(began) < 5*time.Second, "it took %v", time.Since(began))
}
