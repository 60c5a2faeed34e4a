package acceptor_test

import (
	"bytes"
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/keyer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	"samphiremount.example/core/synchronizer"
	"samphiremount.example/core/tracker"
	"samphiremount.example/node/pkg/acceptor"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/forwarder"
	"samphiremount.example/node/pkg/gatekeeper"
	"samphiremount.example/node/pkg/viewer"
	"samphiremount.example/node/pkg/watcher"
)

// targets are the targets that a test's gate knows.
type targets map[string]registrar.Announcement

func (t targets) Announcement(name string) (registrar.Announcement, bool) {
	announcement, ok := t[name]
	return announcement, ok
}

// freeLimiter admits every request.
type freeLimiter struct{}

func (freeLimiter) Acquire(context.Context, string, time.Time) (string, error) { return "free", nil }

// generous lets every further send be paid, and requests be moved before they reached a target.
func generous() retrier.Policy {
	return retrier.Policy{FreeRetries: 8, Allowance: retrier.Allowance{Slack: 1000, Window: time.Minute}}
}

// fleet is an entry and a gate in one process, with targets that are handlers.
type fleet struct {
	entry *httptest.Server
	key   string
}

// newFleet serves /bookings (not repeatable) and /catalogue (repeatable) by the targets of handlers, for one workspace.
// Of the routes that state an objective, /lookups is repeatable and /orders is not.
func newFleet(t *testing.T, handlers ...http.Handler) *fleet {
	t.Helper()
	return newFleetWith(t, generous, nil, handlers...)
}

// newFleetWith is newFleet with what further sends are paid from.
func newFleetWith(
	t *testing.T, policy func() retrier.Policy, budget acceptor.Budget, handlers ...http.Handler,
) *fleet {
	t.Helper()
	known := targets{}
	var placed []tracker.Target
	for i, handler := range handlers {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		name := string(rune('a' + i))
		known[name] = registrar.Announcement{
			Name: name, Service: "service", Address: server.Listener.Addr().String(), Slots: 4,
		}
		placed = append(placed, tracker.Target{Name: name, Service: "service", Slots: 4})
	}
	log := slog.New(slog.DiscardHandler)
	credentials := messenger.NewCredentials("test", []byte("0123456789abcdef"))
	pool := messenger.NewPool(credentials)
	client := forwarder.NewClient(pool, new(expvar.Map), log)
	counts := new(expvar.Map)
	mux := messenger.Mux{}
	seen := watcher.New(pool, func() []string { return nil }, nil, log)
	spread := func(string, quarantiner.Crash) {}
	gate := gatekeeper.New(1, gatekeeper.OwnProtocol{}, known, connector.New(counts), seen, counts, log, spread)
	forwarder.NewServer(gate, client).Register(mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = messenger.NewServer(credentials, mux, log).Serve(ctx, listener) }()

	view := viewer.New(synchronizer.NewHub())
	key, err := keyer.New(bytes.NewReader(bytes.Repeat([]byte{7}, 64)))
	assert.NilError(t, err)
	configuration, _, err := configurer.Configuration{}.With(configurer.Batch{Operation: "test", Changes: []configurer.Change{
		configurer.PutService{Service: configurer.Service{Name: "service"}},
		configurer.PutWorkspace{Workspace: configurer.Workspace{Name: "kowhai", Rate: 1e5, Burst: 1e5, Weight: 1}},
		configurer.PutRoute{Route: configurer.Route{
			Name: "bookings", Prefix: "/bookings", Service: "service", Timeout: 20 * time.Second,
		}},
		configurer.PutRoute{Route: configurer.Route{
			Name: "catalogue", Prefix: "/catalogue", Service: "service", Repeatable: true, Timeout: 20 * time.Second,
		}},
		configurer.PutRoute{Route: configurer.Route{
			Name: "lookups", Prefix: "/lookups", Service: "service", Repeatable: true, Timeout: 5 * time.Second,
			Objective: 400 * time.Millisecond, MaxAttempts: 2,
		}},
		configurer.PutRoute{Route: configurer.Route{
			Name: "orders", Prefix: "/orders", Service: "service", Timeout: time.Second, Objective: 400 * time.Millisecond, MaxAttempts: 2,
		}},
		configurer.IssueKey{Key: configurer.Key{ID: key.ID, Workspace: "kowhai", Digest: key.Digest()}},
	}})
	assert.NilError(t, err)
	view.Install(configuration)
	// No control process runs here; the contact lies ahead, so that it stays fresh to the end of the test.
	view.RecordContact(-time.Hour)
	view.Merge(tracker.Node{
		Name: "node", Region: "r", Centre: "c", Address: listener.Addr().String(), Incarnation: 1, Sequence: 1, Targets: placed,
	})
	entry := acceptor.New(acceptor.Dependencies{
		Name: "node", Viewer: view, Client: client, Limiter: freeLimiter{}, Retrier: retrier.NewWith(policy), Budget: budget,
		HedgeAfter: 0.5,
		Locality:   router.Locality{Region: "r", Centre: "c"}, Router: router.New(router.Locality{Region: "r", Centre: "c"}),
		Random: rand.New(rand.NewPCG(1, 2)), RouteLog: log, AdmitLog: log, Watcher: seen,
	})
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(server.Close)
	return &fleet{entry: server, key: key.Reveal()}
}

// request builds a keyed request to path.
func (f *fleet) request(t *testing.T, method, path string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, f.entry.URL+path, http.NoBody)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+f.key)
	return request
}
