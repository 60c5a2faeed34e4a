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

// crashingTarget is a target that crashes, with all requests it runs, on the body "bad". Its method restart starts it
// again.
type crashingTarget struct {
	t       *testing.T
	address string
	server  *httptest.Server
	crashes atomic.Int64
	crashed chan struct{}
}

func (c *crashingTarget) restart() {
	listener, err := net.Listen("tcp", c.address)
	assert.NilError(c.t, err)
	c.address, c.crashed = listener.Addr().String(), make(chan struct{})
	crashed := c.crashed
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch string(body) {
		case "bad":
			c.crashes.Add(1)
			_ = listener.Close()
			close(crashed)
			panic(http.ErrAbortHandler)
		case "slow":
			select {
			case <-crashed:
				panic(http.ErrAbortHandler)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	c.server = server
	c.t.Cleanup(server.Close)
}

// TestCrashingContentIsQuarantinedAfterTwoTargets lets one content crash a target at each of two gates that report
// crashes to each other. Both gates must then refuse that content, but not the content of a request that ran beside it.
func TestCrashingContentIsQuarantinedAfterTwoTargets(t *testing.T) {
	var crashing []*crashingTarget
	var gates []*gatekeeper.Gatekeeper
	broadcast := func(_ string, crash quarantiner.Crash) {
		for _, gate := range gates {
			gate.RecordCrash(crash)
		}
	}
	for range 2 {
		target := &crashingTarget{t: t, address: "127.0.0.1:0"}
		target.restart()
		crashing = append(crashing, target)
		known := targets{"a": registrar.Announcement{Name: "a", Service: "s", Address: target.address, Slots: 4}}
		counts := new(expvar.Map)
		log := slog.New(slog.DiscardHandler)
		gates = append(gates, gatekeeper.New(7, gatekeeper.DefaultProtocol{}, known, connector.New(counts), nopWatcher{}, counts, log, broadcast))
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
	concurrent := make(chan error, 1)
	go func() { concurrent <- send(0, "slow1", "slow") }()
	for !gates[0].Running("slow1") {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, refuser.From(send(0, "bad1", "bad")).Outcome, refuser.Outcome(refuser.Unknown{}))
	assert.Assert(t, <-concurrent != nil)
	crashing[0].restart()
	assert.NilError(t, send(0, "slow2", "slow"))
	assert.Equal(t, refuser.From(send(1, "bad2", "bad")).Outcome, refuser.Outcome(refuser.Unknown{}))
	crashing[1].restart()
	for i, id := range []string{"bad3", "bad4"} {
		refusal := refuser.From(send(i, id, "bad"))
		assert.Equal(t, refusal.Kind, refuser.Quarantined)
		assert.Equal(t, refusal.Outcome, refuser.Outcome(refuser.NotRun{}))
		assert.NilError(t, send(i, id+"s", "slow"))
	}
	assert.Equal(t, crashing[0].crashes.Load()+crashing[1].crashes.Load(), int64(2))
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
