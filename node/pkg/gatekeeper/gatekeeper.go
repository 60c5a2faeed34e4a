// Package gatekeeper is the only way to the targets of a VM. It owns their slots and connections.
package gatekeeper

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/node/pkg/carrier"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	idlePerTarget   = 16
	maxHeadBytes    = 256 << 10
	keepAlivePeriod = 5 * time.Second
)

// Targets looks targets of this VM up by name.
type Targets interface {
	Announcement(name string) (registrar.Announcement, bool)
}

// Gatekeeper runs requests on the targets of this VM.
type Gatekeeper struct {
	incarnation uint64
	targets     Targets
	log         *slog.Logger
	transport   *http.Transport

	mu       sync.Mutex
	inFlight map[string]int
}

var _ carrier.Gate = (*Gatekeeper)(nil)

// New returns a Gatekeeper for the targets that targets knows. It refuses requests that are meant for another
// incarnation of the node.
func New(incarnation uint64, targets Targets, log *slog.Logger) *Gatekeeper {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &Gatekeeper{
		incarnation: incarnation,
		targets:     targets,
		log:         log,
		inFlight:    make(map[string]int),
		transport: &http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: idleTimeout,
			MaxIdleConnsPerHost: idlePerTarget, MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
}

// Run implements carrier.Gate. A refusal is NotRun only if no byte of the request can have reached the target.
func (g *Gatekeeper) Run(ctx context.Context, head carrier.Head, body io.Reader) (carrier.Answer, error) {
	answer, err := g.run(ctx, head, body)
	if err != nil {
		refusal := refuser.From(err)
		g.log.Info("request refused", "request", head.ID, "target", head.Target, "kind", refusal.Kind,
			"outcome", refusal.Outcome, "detail", refusal.Detail)
		return carrier.Answer{}, refusal
	}
	g.log.Info("request ran", "request", head.ID, "target", head.Target, "status", answer.Status)
	return answer, nil
}

func (g *Gatekeeper) run(ctx context.Context, head carrier.Head, body io.Reader) (carrier.Answer, error) {
	if head.Incarnation != g.incarnation {
		return carrier.Answer{}, refuser.Fail(refuser.OutcomeUnknown, "the node was restarted")
	}
	target, ok := g.targets.Announcement(head.Target)
	if !ok || target.Leaving {
		return carrier.Answer{}, refuser.Refuse(refuser.TargetUnknown, "the target is gone or leaving")
	}
	if !g.acquire(target) {
		return carrier.Answer{}, refuser.Refuse(refuser.CapacityShort, "all slots of the target are taken")
	}
	release := sync.OnceFunc(func() { g.release(target.Name) })
	response, err := g.forward(ctx, target, head, body) //nolint:bodyclose // the answer's Body closes it
	if err != nil {
		release()
		return carrier.Answer{}, err
	}
	response.Header.Set(carrier.HeaderBusy, strconv.Itoa(g.busy(target.Name)))
	return carrier.Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   &slotBody{ReadCloser: response.Body, release: release},
	}, nil
}

func (g *Gatekeeper) acquire(target registrar.Announcement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight[target.Name] >= target.Slots {
		return false
	}
	g.inFlight[target.Name]++
	return true
}

// busy returns the number of slots in use.
func (g *Gatekeeper) busy(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight[name]
}

func (g *Gatekeeper) release(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[name]--
}

// forward sends the request to the target once. The body has no GetBody, so the transport replays nothing.
func (g *Gatekeeper) forward(
	ctx context.Context, target registrar.Announcement, head carrier.Head, body io.Reader,
) (*http.Response, error) {
	uri, err := url.ParseRequestURI(head.URI)
	if err != nil {
		return nil, refuser.Refuse(refuser.RequestInvalid, "the request URI is malformed")
	}
	uri.Scheme, uri.Host = "http", target.Address
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, head.Method, uri.String(), io.NopCloser(body))
	if err != nil {
		return nil, refuser.Refuse(refuser.RequestInvalid, "the request cannot be built")
	}
	request.Header, request.Host, request.ContentLength = head.Header, head.Host, head.Length
	response, err := g.transport.RoundTrip(request)
	switch {
	case err == nil:
		return response, nil
	case !connected.Load():
		return nil, refuser.Refuse(refuser.TargetUnreachable, err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, refuser.Fail(refuser.DeadlinePassed, "the target did not answer in time")
	default:
		return nil, refuser.Fail(refuser.OutcomeUnknown, err.Error())
	}
}

// slotBody gives the slot back when the answer was read or given up.
type slotBody struct {
	io.ReadCloser

	release func()
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	defer b.release()
	return errors.Wrap(b.ReadCloser.Close(), "close answer of target")
}
