package acceptor_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/node/pkg/forwarder"
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

// unendedBody is a whole body whose end is not received until reads are aborted.
type unendedBody struct {
	io.Reader

	aborted chan struct{}
}

func (b unendedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == nil {
		return n, nil
	}
	<-b.aborted
	return 0, forwarder.ErrTruncated
}

func (b unendedBody) Abort()       { close(b.aborted) }
func (b unendedBody) Close() error { return nil }

// TestNextRequestWaitsForTheEndOfAnAnswer guards against a kept connection whose next request is not read, because the end of
// an answer that the caller has in full is late.
func TestNextRequestWaitsForTheEndOfAnAnswer(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(answerReady))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := unendedBody{strings.NewReader("ready"), make(chan struct{})}
		header := http.Header{"Content-Length": {"5"}}
		assert.Check(t, f.acceptor.Relay(w, r, "a", forwarder.Answer{Status: http.StatusOK, Header: header, Body: body}) == nil)
	}))
	t.Cleanup(server.Close)
	began := time.Now()
	for range 3 {
		request, err := http.NewRequest(http.MethodGet, server.URL, http.NoBody)
		assert.NilError(t, err)
		assert.Equal(t, do(t, request).content, "ready")
	}
	assert.Assert(t, time.Since(began) < 3*time.Second, "%v", time.Since(began))
}
