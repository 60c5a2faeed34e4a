// Package gatekeeper is the only way to the targets of a VM. It owns their slots and connections, and it knows which
// requests it started.
package gatekeeper

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/breaker"
	"samphiremount.example/core/estimator"
	"samphiremount.example/core/observer"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/tombstoner"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/forwarder"
)

// maxDeclined bounds the bytes that are read of an answer which is not passed on.
const maxDeclined = 4 << 10

// Targets looks targets of this VM up by name.
type Targets interface {
	Announcement(name string) (registrar.Announcement, bool)
}

// Watcher records attempts on targets as evidence of their health.
type Watcher interface {
	Start(target, service string) func(observer.Result)
}

// Gatekeeper runs requests on the targets of this VM.
type Gatekeeper struct {
	incarnation uint64
	started     time.Time
	targets     Targets
	connector   *connector.Connector
	watcher     Watcher
	counts      *expvar.Map
	log         *slog.Logger

	mu         sync.Mutex
	lines      map[string]*line
	tombstoner *tombstoner.Tombstoner

	protocol    Protocol
	repeatable  int
	repeats     int
	quarantiner *quarantiner.Quarantiner
	spread      func(service string, crash quarantiner.Crash)
}

var _ forwarder.Gate = (*Gatekeeper)(nil)

// New returns a Gatekeeper for the targets that targets knows and protocol speaks to. It refuses requests that are meant for another
// incarnation of the node, and counts in counts. It calls spread to tell the other gates of a service of a crash.
func New(
	incarnation uint64, protocol Protocol, targets Targets, connector *connector.Connector, watcher Watcher,
	counts *expvar.Map, log *slog.Logger, spread func(service string, crash quarantiner.Crash),
) *Gatekeeper {
	return &Gatekeeper{
		protocol:    protocol,
		incarnation: incarnation,
		started:     time.Now(),
		targets:     targets,
		connector:   connector,
		watcher:     watcher,
		counts:      counts,
		log:         log,
		lines:       make(map[string]*line),
		tombstoner:  tombstoner.New(incarnation, tombstoner.Capacity),
		quarantiner: quarantiner.New(),
		spread:      spread,
	}
}

// Clock implements carrier.Gate.
func (g *Gatekeeper) Clock() forwarder.Clock {
	return forwarder.Clock{Incarnation: g.incarnation, Time: g.reading()}
}

func (g *Gatekeeper) reading() tombstoner.GateTime {
	return tombstoner.GateTime(time.Since(g.started).Milliseconds())
}

// Running implements carrier.Gate.
func (g *Gatekeeper) Running(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tombstoner.Running(id)
}

// PlaceTombstone implements carrier.Gate.
func (g *Gatekeeper) PlaceTombstone(identity tombstoner.Identity) tombstoner.State {
	g.mu.Lock()
	// The clock is read after the wait for the lock: nothing may come between it and the decision.
	state := g.tombstoner.PlaceTombstone(g.reading(), identity)
	g.mu.Unlock()
	g.counts.Add("bury_"+tombstoner.Name(state), 1)
	g.log.Info("tombstone asked for", "request", identity.ID, "state", tombstoner.Name(state))
	return state
}

// Run implements carrier.Gate. A refusal is NotRun only if no byte of the request can have reached the target.
func (g *Gatekeeper) Run(ctx context.Context, head forwarder.Head, body io.Reader) (forwarder.Answer, error) {
	answer, err := g.run(ctx, head, body)
	if err != nil {
		refusal := refuser.From(err)
		g.counts.Add("refused_"+refusal.Outcome.String(), 1)
		g.log.Info("request refused", "request", head.ID, "target", head.Target, "kind", refusal.Kind,
			"outcome", refusal.Outcome, "detail", refusal.Detail)
		return forwarder.Answer{}, refusal
	}
	g.log.Info("request ran", "request", head.ID, "target", head.Target, "status", answer.Status)
	return answer, nil
}

func (g *Gatekeeper) run(ctx context.Context, head forwarder.Head, body io.Reader) (forwarder.Answer, error) {
	target, ok := g.targets.Announcement(head.Target)
	if !ok || target.Leaving {
		return forwarder.Answer{}, refuser.Refuse(refuser.TargetUnknown, "the target is gone or leaving")
	}
	content, err := readContent(head, body)
	if err != nil {
		return forwarder.Answer{}, err
	}
	request, err := g.newRequest(target, head, content.body)
	if err != nil {
		return forwarder.Answer{}, err
	}
	alone, err := g.admit(ctx, target, head, content)
	if err != nil {
		return forwarder.Answer{}, err
	}
	release := sync.OnceFunc(func() { g.release(target.Name, alone) })
	if err := g.start(ctx, head); err != nil {
		release()
		return forwarder.Answer{}, err
	}
	defer g.repeat(head)()
	g.protocol.Prepare(request.Header, head, target, time.Until(head.Deadline))
	ended := g.watch(target, head)
	response, err := g.connector.Exchange(ctx, target.Address, request, head.Repeatable) //nolint:bodyclose // slotBody closes it
	if err != nil {
		refusal := explain(ctx, err)
		if g.examine(ctx, head, target, content, alone, err) {
			// A crash speaks against the request, not against the target.
			ended(observer.Canceled{})
		} else {
			ended(result(ctx, refusal))
		}
		release()
		g.finish(head.ID, refusal.Outcome != refuser.NotRun{})
		return forwarder.Answer{}, refusal
	}
	if refusal := g.declined(head, response); refusal != nil {
		ended(observer.Answered{Status: http.StatusServiceUnavailable})
		_ = response.Body.Close()
		release()
		g.finish(head.ID, refusal.Outcome != refuser.NotRun{})
		return forwarder.Answer{}, refusal
	}
	ended(observer.Answered{Status: response.StatusCode})
	g.report(response.Header, target.Name, head.MaxExpectedLatency)
	return forwarder.Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Body: &slotBody{ReadCloser: response.Body, response: response, release: func(whole bool) {
			if alone && whole {
				g.acquit(content)
			}
			release()
			g.finish(head.ID, true)
		}},
	}, nil
}

// report tells the entry how busy the target is and how long requests with the objective take there.
func (g *Gatekeeper) report(header http.Header, target string, objective time.Duration) {
	header.Set(forwarder.HeaderBusy, strconv.Itoa(g.busy(target)))
	if estimate := g.estimate(target, objective); estimate.Known() {
		header.Set(forwarder.HeaderHigh, strconv.FormatInt(estimate.High().Milliseconds(), 10))
		header.Set(forwarder.HeaderMean, strconv.FormatInt(estimate.Mean().Milliseconds(), 10))
	}
}

// RetryFraction returns how many of the requests that run here and may be repeated were sent to another target before, as a
// part of them.
func (g *Gatekeeper) RetryFraction() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.repeats) / float64(max(g.repeatable, 1))
}

// repeat counts a request that may be repeated, until the function that it returns is called.
func (g *Gatekeeper) repeat(head forwarder.Head) func() {
	repeat := 0
	if head.HealthyOnly {
		repeat = 1
	}
	if !head.Repeatable {
		return func() {}
	}
	count := func(sign int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.repeatable += sign
		g.repeats += sign * repeat
	}
	count(1)
	return func() { count(-1) }
}

// declined returns a refusal in place of an answer of a target that did not run the request, or of one that belongs to
// another request. The connection of the latter must not be used again, so its body stays unread.
func (g *Gatekeeper) declined(head forwarder.Head, response *http.Response) *refuser.Refusal {
	switch verdict := g.protocol.Classify(response.Header, response.StatusCode, head).(type) {
	case Declined:
		drain(response.Body)
		return refuser.From(refuser.Refuse(verdict.Kind, "the target did not run it"))
	case Mismatched:
		g.counts.Add("crossed_answers", 1)
		return refuser.From(refuser.Fail(refuser.OutcomeUnknown, "the target answered another request"))
	case Ran:
	}
	return nil
}

// drain reads a short body to its end, so that its connection can be used again.
func drain(body io.Reader) {
	if _, err := io.CopyN(io.Discard, body, maxDeclined); err != nil && !errors.Is(err, io.EOF) {
		return
	}
}

// start makes the request's identity known as started, unless it is buried, known already or too late.
func (g *Gatekeeper) start(ctx context.Context, head forwarder.Head) error {
	if ctx.Err() != nil {
		return refuser.Refuse(refuser.DeadlinePassed, "the request was given up before it started")
	}
	g.mu.Lock()
	verdict := g.tombstoner.Start(g.reading(), head.Identity())
	g.mu.Unlock()
	if verdict == tombstoner.Go {
		g.log.Info("request started", "request", head.ID, "workspace", head.Workspace, "target", head.Target)
		return nil
	}
	g.counts.Add("denied_"+string(verdict), 1)
	kind := refuser.OutcomeUnknown
	switch verdict {
	case tombstoner.Late, tombstoner.Tombstone:
		kind = refuser.NodeUnreachable
	case tombstoner.Full, tombstoner.TooFarAhead:
		kind = refuser.CapacityShort
	case tombstoner.Go, tombstoner.WrongIncarnation, tombstoner.Duplicate:
	}
	return &refuser.Refusal{Kind: kind, Outcome: verdict.Outcome(), Detail: "identity: " + string(verdict)}
}

func (g *Gatekeeper) finish(id string, ran bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tombstoner.Finish(g.reading(), id, ran)
}

// busy returns the number of slots in use and of requests that wait for one.
func (g *Gatekeeper) busy(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.lines[name]; ok {
		return l.inFlight + len(l.waiting)
	}
	return 0
}

// estimate returns how long requests with the objective take at the target called name.
func (g *Gatekeeper) estimate(name string, objective time.Duration) estimator.Estimate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.lines[name]; ok && objective > 0 {
		return l.estimates[objective]
	}
	return estimator.Estimate{}
}

// watch records an attempt on target, and returns the function that records how it ended.
func (g *Gatekeeper) watch(target registrar.Announcement, head forwarder.Head) func(observer.Result) {
	ended := g.watcher.Start(target.Name, target.Service)
	if head.MaxExpectedLatency == 0 {
		return ended
	}
	began := time.Now()
	g.note(target.Name, func(now time.Time, l *line) { l.start(now, head) })
	return func(result observer.Result) {
		ended(result)
		g.note(target.Name, func(now time.Time, l *line) {
			suspicion := suspicion(result)
			l.suspector.End(now, head.ID, suspicion)
			if _, served := suspicion.(breaker.Served); served {
				l.observe(head.MaxExpectedLatency, now.Sub(began))
			}
		})
	}
}

// suspicion is what a result says of the target's present state.
func suspicion(result observer.Result) breaker.Result {
	switch result := result.(type) {
	case observer.Answered:
		if result.Status >= http.StatusInternalServerError {
			return breaker.Failed{}
		}
		return breaker.Served{}
	case observer.Canceled:
		return breaker.Canceled{}
	default:
		return breaker.Failed{}
	}
}

// explain turns the error of an exchange with a target into a refusal.
func explain(ctx context.Context, err error) *refuser.Refusal {
	var failure *connector.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	refusal := &refuser.Refusal{Kind: refuser.TargetUnreachable, Outcome: refuser.NotRun{}, Detail: err.Error()}
	if sent {
		refusal.Kind, refusal.Outcome = refuser.OutcomeUnknown, refuser.Unknown{}
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Kind, refusal.Detail = refuser.DeadlinePassed, "the target did not answer in time"
	case errors.Is(err, forwarder.ErrTruncated), errors.Is(err, forwarder.ErrCorrupted):
		refusal.Kind = refuser.BodyCut
	}
	return refusal
}

// result is what a failed exchange says of its target.
func result(ctx context.Context, refusal *refuser.Refusal) observer.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || refusal.Kind == refuser.BodyCut:
		return observer.Canceled{}
	case refusal.Kind == refuser.TargetUnreachable:
		return observer.Unreached{}
	default:
		return observer.Broken{}
	}
}

// slotBody gives the slot back when the answer was read or given up.
type slotBody struct {
	io.ReadCloser

	response *http.Response
	release  func(whole bool)
	whole    bool
}

// Read implements io.Reader.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.whole = b.whole || errors.Is(err, io.EOF)
	return n, err //nolint:wrapcheck // io.EOF must stay as it is
}

// Trailer implements carrier.Trailed.
func (b *slotBody) Trailer() http.Header {
	return b.response.Trailer
}

// Close implements io.Closer.
func (b *slotBody) Close() error {
	defer func() { b.release(b.whole) }()
	return errors.Wrap(b.ReadCloser.Close(), "close answer of target")
}
