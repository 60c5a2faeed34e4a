package gatekeeper_test

import (
	"expvar"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/gatekeeper"
)

// changingTarget is the only target of a VM, whose announcement may change.
type changingTarget struct {
	mu           sync.Mutex
	announcement registrar.Announcement
	gone         bool
}

func (c *changingTarget) Announcement(string) (registrar.Announcement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.announcement, !c.gone
}

func (*changingTarget) RecordLeaving(registrar.Announcement) {}

func (c *changingTarget) change(change func(c *changingTarget)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

// TestTargetThatLeavesGetsARequestThatWaited guards against requests that reach a target long after it has begun to leave: they
// were taken for it before, and then waited for their body or for a slot.
func TestTargetThatLeavesGetsARequestThatWaited(t *testing.T) {
	for change, leave := range map[string]func(c *changingTarget){
		"draining":  func(c *changingTarget) { c.announcement.Leaving = true },
		"gone":      func(c *changingTarget) { c.gone = true },
		"restarted": func(c *changingTarget) { c.announcement.StartedAt++ },
	} {
		for wait, withheld := range map[string]bool{"body": false, "grant": true, "slot": false} {
			t.Run(change+" during the wait for the "+wait, func(t *testing.T) {
				var runs atomic.Int64
				busy, release := make(chan struct{}, 2), make(chan struct{})
				server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
					runs.Add(1)
					busy <- struct{}{}
					<-release
				}))
				defer server.Close()
				target := &changingTarget{announcement: registrar.Announcement{
					Name: "a", Service: "s", Address: server.Listener.Addr().String(), Slots: 1, StartedAt: 1,
				}}
				counts := new(expvar.Map)
				gate := gatekeeper.New(7, gatekeeper.DefaultProtocol{}, target, connector.New(counts), nopWatcher{}, counts,
					slog.New(slog.DiscardHandler), func(string, quarantiner.Crash) {})
				send := func(id string, body io.Reader) chan error {
					ended := make(chan error, 1)
					request := head(id, "w")
					request.Length, request.Withheld = 4, withheld
					go func() {
						answer, err := gate.Run(t.Context(), request, body)
						if err == nil {
							_, err = io.Copy(io.Discard, answer.Body)
							_ = answer.Body.Close()
						}
						ended <- err
					}()
					return ended
				}
				first := make(chan error, 1)
				first <- nil
				if wait == "slot" {
					first = send("first", strings.NewReader("body"))
					<-busy
				}
				before := runs.Load()
				reader, writer := io.Pipe()
				waiting := send("waiting", reader)
				_, err := io.WriteString(writer, "bo")
				assert.NilError(t, err)
				target.change(leave)
				_, err = io.WriteString(writer, "dy")
				assert.NilError(t, err)
				assert.NilError(t, writer.Close())
				close(release)
				err = <-waiting
				assert.Assert(t, err != nil, "the request ran")
				refusal := refuser.From(err)
				assert.Equal(t, refusal.Kind, refuser.TargetUnknown, refusal.Detail)
				assert.Equal(t, refusal.Outcome, refuser.Outcome(refuser.NotRun{}))
				assert.NilError(t, <-first)
				assert.Equal(t, runs.Load(), before)
			})
		}
	}
}
