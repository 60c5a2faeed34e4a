package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

// repeater forwards connections to a node, and repeats the bytes that hold a refusal before it forwards each later request.
type repeater struct {
	net.Listener

	to          string
	connections atomic.Int64
	repeated    atomic.Int64
}

func newRepeater(t *testing.T, to string) *repeater {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &repeater{Listener: listener, to: to}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			r.connections.Add(1)
			go r.forward(client)
		}
	}()
	return r
}

func (r *repeater) forward(client net.Conn) {
	defer func() { _ = client.Close() }()
	gate, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer func() { _ = gate.Close() }()
	var mu sync.Mutex
	var refusal []byte
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, err := gate.Read(buffer)
			mu.Lock()
			if bytes.Contains(buffer[:n], []byte("not-run")) {
				refusal = bytes.Clone(buffer[:n])
			}
			_, _ = client.Write(buffer[:n])
			mu.Unlock()
			if err != nil {
				_ = client.Close()
				return
			}
		}
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := client.Read(buffer)
		if err != nil {
			return
		}
		mu.Lock()
		if refusal != nil && bytes.Contains(buffer[:n], []byte("/later")) {
			_, _ = client.Write(refusal)
			r.repeated.Add(1)
		}
		mu.Unlock()
		if _, err := gate.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// TestRepeatedRefusalOfANodeIsNoPromise covers frames of an earlier stream that arrive on a kept connection between nodes.
func TestRepeatedRefusalOfANodeIsNoPromise(t *testing.T) {
	gate := serve(t, newGate(func(_ context.Context, head forwarder.Head, _ io.Reader) (forwarder.Answer, error) {
		if head.AttemptID == "refused" {
			return forwarder.Answer{}, refuser.Refuse(refuser.CapacityShort, "")
		}
		return forwarder.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(head.AttemptID))}, nil
	}))
	repeater, client := newRepeater(t, gate.address()), newClient(t)
	destination := destinationOf(repeater.Addr().String())
	_, err := client.Forward(t.Context(), destination, head("refused"), http.NoBody)
	assert.Equal(t, outcome(t, err), "not-run")
	for _, id := range []string{"a", "b", "c"} {
		request := head(id)
		request.URI = "/later"
		answer, err := client.Forward(t.Context(), destination, request, http.NoBody)
		if err != nil {
			assert.Equal(t, outcome(t, err), "unknown")
			continue
		}
		content, err := io.ReadAll(answer.Body)
		assert.Assert(t, err != nil || string(content) == id, "%q", content)
		assert.NilError(t, answer.Body.Close())
	}
	assert.Assert(t, repeater.repeated.Load() > 0, "no refusal was repeated on %d connections", repeater.connections.Load())
}
