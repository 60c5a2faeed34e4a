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

	"samphiremount.example/core/informer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/forwarder"
)

// exchangeNews sends a request from a node with entryNews to gate, on a node with gateNews.
func exchangeNews(t *testing.T, gate forwarder.Gate, entryNews, gateNews *informer.Informer) {
	t.Helper()
	credentials := messenger.NewCredentials("test", []byte("0123456789abcdef"))
	log := slog.New(slog.DiscardHandler)
	mux := messenger.Mux{}
	forwarder.NewServer(gate, forwarder.NewClient(messenger.NewPool(credentials), new(expvar.Map), gateNews, log)).Register(mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = messenger.NewServer(credentials, mux, log).Serve(ctx, listener) }()
	client := forwarder.NewClient(messenger.NewPool(credentials), new(expvar.Map), entryNews, log)
	answer, err := client.Forward(t.Context(), destinationOf(listener.Addr().String()), head("a"), http.NoBody)
	if err == nil {
		assert.NilError(t, answer.Body.Close())
	}
}

// TestNewsTravelWithRequestsAndAnswers has a node that learns of a target from a request, and its entry of another target from
// the answer, or from the refusal.
func TestNewsTravelWithRequestsAndAnswers(t *testing.T) {
	suspect := func(target string) func(now time.Time) []informer.News {
		return func(now time.Time) []informer.News {
			return []informer.News{{Target: target, State: informer.Suspect, At: now, TrialAt: now.Add(time.Second)}}
		}
	}
	for name, run := range map[string]func(context.Context, forwarder.Head, io.Reader) (forwarder.Answer, error){
		"answer": answered(http.NoBody),
		"refusal": func(context.Context, forwarder.Head, io.Reader) (forwarder.Answer, error) {
			return forwarder.Answer{}, refuser.Refuse(refuser.TargetSuspect, "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			entryNews, gateNews := informer.New(suspect("entry's")), informer.New(suspect("gate's"))
			exchangeNews(t, newGate(run), entryNews, gateNews)
			now := time.Now()
			learned, told := entryNews.Look(now, "gate's"), gateNews.Look(now, "entry's")
			assert.Equal(t, learned.State, informer.Suspect)
			assert.Equal(t, told.State, informer.Suspect)
			assert.Assert(t, learned.TrialAt.After(now.Add(800*time.Millisecond)) && !learned.At.After(now))
		})
	}
}

// TestFalseNewsInAMessageChangeNothing sends heads with news that no node tells, beside one that does.
func TestFalseNewsInAMessageChangeNothing(t *testing.T) {
	var told []informer.News
	entryNews := informer.New(func(now time.Time) []informer.News {
		told = []informer.News{
			{Target: strings.Repeat("x", 300), State: informer.Suspect, At: now},
			{Target: "true", State: informer.Suspect, At: now},
		}
		return told
	})
	gateNews := informer.New(func(time.Time) []informer.News { return nil })
	exchangeNews(t, newGate(answered(http.NoBody)), entryNews, gateNews)
	now := time.Now()
	assert.Equal(t, gateNews.Look(now, "true").State, informer.Suspect)
	assert.Equal(t, gateNews.Look(now, told[0].Target).State, informer.Healthy)
}
