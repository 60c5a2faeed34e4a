package acceptor_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnswerCutBeforeItsFirstByteIsAFailure guards against a connection that is closed without an answer. The target
// breaks off after the head of its answer, and nothing was sent to the caller yet.
func TestAnswerCutBeforeItsFirstByteIsAFailure(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Stamp", "of-the-target")
		if r.URL.Query().Get("as") == "length" {
			w.Header().Set("Content-Length", "4")
		}
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	for _, path := range []string{"/bookings?as=length", "/bookings?as=chunked", "/catalogue?as=length", "/catalogue?as=chunked"} {
		reply := do(t, f.request(t, http.MethodPost, path))
		assert.Equal(t, reply.status, http.StatusBadGateway, path)
		assert.Equal(t, reply.header.Get("Samphire-Outcome"), "ran", path)
		assert.Equal(t, reply.header.Get("Stamp"), "", path)
		var refusal struct{ Error, Outcome string }
		assert.NilError(t, json.Unmarshal([]byte(reply.content), &refusal))
		assert.Equal(t, refusal.Error, "answer-cut", path)
	}
}

// TestSlowAnswerIsStreamed has a target that sends the second half of its answer only once the caller has the first.
func TestSlowAnswerIsStreamed(t *testing.T) {
	received := make(chan struct{})
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-received:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "second")
	}))
	response, err := http.DefaultClient.Do(f.request(t, http.MethodGet, "/catalogue"))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	content := make([]byte, len("first"))
	_, err = io.ReadFull(response.Body, content)
	assert.NilError(t, err)
	close(received)
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(content)+string(rest), "firstsecond")
}
