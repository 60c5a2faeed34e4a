package forwarder_test

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/gossiper"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

// exchangeVerdicts sends a request from a node with entryGossip to gate, on a node with gateGossip.
func exchangeVerdicts(t *testing.T, gate forwarder.Gate, entryGossip, gateGossip *gossiper.Gossiper) {
	t.Helper()
	credentials := messenger.NewCredentials("test", []byte("0123456789abcdef"))
	log := slog.New(slog.DiscardHandler)
	mux := messenger.Mux{}
	forwarder.NewServer(gate, forwarder.NewClient(messenger.NewPool(credentials), new(expvar.Map), gateGossip, log)).Register(mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = messenger.NewServer(credentials, mux, log).Serve(ctx, listener) }()
	client := forwarder.NewClient(messenger.NewPool(credentials), new(expvar.Map), entryGossip, log)
	answer, err := client.Forward(t.Context(), destinationOf(listener.Addr().String()), head("a"), http.NoBody)
	if err == nil {
		assert.NilError(t, answer.Body.Close())
	}
}

// TestVerdictsSpreadWithRequestsAndAnswers has a node that learns of a target from a request, and its entry of another target from
// the answer, or from the refusal.
func TestVerdictsSpreadWithRequestsAndAnswers(t *testing.T) {
	suspect := func(target string) func(now time.Time) []gossiper.Verdict {
		return func(now time.Time) []gossiper.Verdict {
			return []gossiper.Verdict{{Target: target, State: gossiper.Suspect, At: now, TrialAt: now.Add(time.Second)}}
		}
	}
	for name, run := range map[string]func(context.Context, forwarder.Head, io.Reader) (forwarder.Answer, error){
		"answer": answered(http.NoBody),
		"refusal": func(context.Context, forwarder.Head, io.Reader) (forwarder.Answer, error) {
			return forwarder.Answer{}, refuser.Refuse(refuser.TargetSuspect, "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			entryGossip, gateGossip := gossiper.New(suspect("entry's")), gossiper.New(suspect("gate's"))
			exchangeVerdicts(t, newGate(run), entryGossip, gateGossip)
			now := time.Now()
			learned, sent := entryGossip.Lookup(now, "gate's"), gateGossip.Lookup(now, "entry's")
			assert.Equal(t, learned.State, gossiper.Suspect)
			assert.Equal(t, sent.State, gossiper.Suspect)
			assert.Assert(t, learned.TrialAt.After(now.Add(800*time.Millisecond)) && !learned.At.After(now))
		})
	}
}

// TestInvalidVerdictsInAMessageAreIgnored sends heads with a verdict that no node sends, beside a valid one.
func TestInvalidVerdictsInAMessageAreIgnored(t *testing.T) {
	var sent []gossiper.Verdict
	entryGossip := gossiper.New(func(now time.Time) []gossiper.Verdict {
		sent = []gossiper.Verdict{
			{Target: strings.Repeat("x", 300), State: gossiper.Suspect, At: now},
			{Target: "true", State: gossiper.Suspect, At: now},
		}
		return sent
	})
	gateGossip := gossiper.New(func(time.Time) []gossiper.Verdict { return nil })
	exchangeVerdicts(t, newGate(answered(http.NoBody)), entryGossip, gateGossip)
	now := time.Now()
	assert.Equal(t, gateGossip.Lookup(now, "true").State, gossiper.Suspect)
	assert.Equal(t, gateGossip.Lookup(now, sent[0].Target).State, gossiper.Healthy)
}
