package responder_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/registrar"
	"samphiremount.example/standin/pkg/responder"
)

func statusOf(t *testing.T, handler http.Handler, method, path, body string) int {
	t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Code
}

func TestFaults(t *testing.T) {
	crashed := false
	target := responder.New(registrar.Announcement{}, "", 0, responder.Faults{}, func() { crashed = true }, slog.New(slog.DiscardHandler))
	set := func(faults string) {
		assert.Equal(t, statusOf(t, target.ControlHandler(), http.MethodPut, "/faults", faults), http.StatusNoContent)
	}
	work := func() int { return statusOf(t, target.Handler(), http.MethodGet, "/", "poison") }
	health := func() int { return statusOf(t, target.Handler(), http.MethodGet, "/health", "") }

	assert.Equal(t, work(), 200)
	set(`{"fail": 1}`)
	assert.Equal(t, work(), 500)
	assert.Equal(t, health(), 503)
	set(`{"fail": 1, "lie": true}`)
	assert.Equal(t, work(), 500)
	assert.Equal(t, health(), 200)
	set(`{"shed": 1}`)
	assert.Equal(t, work(), 503)
	set(`{"slow": 30}`)
	started := time.Now()
	assert.Equal(t, work(), 200)
	assert.Assert(t, time.Since(started) >= 30*time.Millisecond)
	set(`{"crash": "poison"}`)
	work()
	assert.Assert(t, crashed)
}
