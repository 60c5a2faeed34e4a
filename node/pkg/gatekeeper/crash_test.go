package gatekeeper_test

import (
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/gatekeeper"
)

// mortal is a target that dies under the body "bad" with all it runs, and comes back by revive.
type mortal struct {
	t       *testing.T
	address string
	server  *httptest.Server
	deaths  atomic.Int64
	dead    chan struct{}
}

func (m *mortal) revive() {
	listener, err := net.Listen("tcp", m.address)
	assert.NilError(m.t, err)
	m.address, m.dead = listener.Addr().String(), make(chan struct{})
	dead := m.dead
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch string(body) {
		case "bad":
			m.deaths.Add(1)
			_ = listener.Close()
			close(dead)
			panic(http.ErrAbortHandler)
		case "slow":
			select {
			case <-dead:
				panic(http.ErrAbortHandler)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	m.server = server
	m.t.Cleanup(server.Close)
}

// TestCrashingContentIsQuarantinedAfterTwoTargets lets a content crash a target on each of two gates that tell each
// other. An innocent request that ran beside it stays welcome.
func TestCrashingContentIsQuarantinedAfterTwoTargets(t *testing.T) {
	var targetsOf []*mortal
	var gates []*gatekeeper.Gatekeeper
	spread := func(_ string, crash quarantiner.Crash) {
		for _, gate := range gates {
			gate.RecordCrash(crash)
		}
	}
	for range 2 {
		target := &mortal{t: t, address: "127.0.0.1:0"}
		target.revive()
		targetsOf = append(targetsOf, target)
		known := targets{"a": registrar.Announcement{Name: "a", Service: "s", Address: target.address, Slots: 4}}
		counts := new(expvar.Map)
		log := slog.New(slog.DiscardHandler)
		gates = append(gates, gatekeeper.New(7, gatekeeper.OwnProtocol{}, known, connector.New(counts), blindWatcher{}, counts, log, spread))
	}
	send := func(gate int, id, body string) error {
		request := head(id, "w")
		request.Length = int64(len(body))
		answer, err := gates[gate].Run(t.Context(), request, strings.NewReader(body))
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		return err
	}
	beside := make(chan error, 1)
	go func() { beside <- send(0, "slow1", "slow") }()
	for !gates[0].Running("slow1") {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, refuser.From(send(0, "bad1", "bad")).Outcome, refuser.Outcome(refuser.Unknown{}))
	assert.Assert(t, <-beside != nil)
	targetsOf[0].revive()
	assert.NilError(t, send(0, "slow2", "slow"))
	assert.Equal(t, refuser.From(send(1, "bad2", "bad")).Outcome, refuser.Outcome(refuser.Unknown{}))
	targetsOf[1].revive()
	for i, id := range []string{"bad3", "bad4"} {
		refusal := refuser.From(send(i, id, "bad"))
		assert.Equal(t, refusal.Kind, refuser.Quarantined)
		assert.Equal(t, refusal.Outcome, refuser.Outcome(refuser.NotRun{}))
		assert.NilError(t, send(i, id+"s", "slow"))
	}
	assert.Equal(t, targetsOf[0].deaths.Load()+targetsOf[1].deaths.Load(), int64(2))
}

func TestAbortedConnectionOfALivingTargetIsNoCrash(t *testing.T) {
	var runs atomic.Int64
	gate := newGate(t, func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}, 2)
	for i := range 4 {
		assert.Assert(t, run(t.Context(), gate, head("a"+string(rune('0'+i)), "w")) != nil)
	}
	assert.Equal(t, runs.Load(), int64(4))
}
