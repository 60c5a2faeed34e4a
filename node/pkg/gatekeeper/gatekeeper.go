// Package gatekeeper runs requests on the targets of this VM and is the only way to reach them. It owns the targets'
// slots and connections, and records which requests it started.
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

	"samphiremount.example/core/attributor"
	"samphiremount.example/core/budgeter"
	"samphiremount.example/core/decliner"
	"samphiremount.example/core/estimator"
	"samphiremount.example/core/logger"
	"samphiremount.example/core/observer"
	"samphiremount.example/core/quarantiner"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/tombstoner"
	"samphiremount.example/core/validator"
	"samphiremount.example/node/pkg/connector"
	"samphiremount.example/node/pkg/forwarder"
)

// Targets looks up the targets of this VM by name, and records that a target has stated in an answer that it leaves.
type Targets interface {
	Announcement(name string) (registrar.Announcement, bool)
	RecordLeaving(announcement registrar.Announcement)
}

// Watcher records attempts on targets as evidence of their health.
type Watcher interface {
	Start(target, service string) func(observer.Result)
}

// Gatekeeper runs requests on the targets of this VM.
type Gatekeeper struct {
	started   time.Time
	targets   Targets
	connector *connector.Connector
	watcher   Watcher
	counts    *expvar.Map
	log       *slog.Logger

	mu         sync.Mutex
	states     map[string]*targetState
	tombstoner *tombstoner.Tombstoner
	decliner   *decliner.Decliner

	siteState

	// admission is set by EnableAdmission.
	admission bool
	// paces is set by EnablePaces.
	paces          bool
	callable       Callable
	attributor     *attributor.Attributor
	protocol       Protocol
	runs           budgeter.Runs
	quarantiner    *quarantiner.Quarantiner
	broadcastCrash func(service string, crash quarantiner.Crash)
}

var _ forwarder.Gate = (*Gatekeeper)(nil)

// New returns a Gatekeeper for targets, which it addresses with protocol. It refuses requests that are meant for
// another incarnation of the node, and counts outcomes in counts. It calls broadcastCrash to report a crash to the
// other gates of a service.
func New(
	incarnation uint64, protocol Protocol, targets Targets, connector *connector.Connector, watcher Watcher,
	counts *expvar.Map, log *slog.Logger, broadcastCrash func(service string, crash quarantiner.Crash),
) *Gatekeeper {
	return &Gatekeeper{
		protocol:       protocol,
		started:        time.Now(),
		targets:        targets,
		connector:      connector,
		watcher:        watcher,
		counts:         counts,
		log:            log,
		states:         make(map[string]*targetState),
		siteState:      siteState{cold: make(map[string]*coldState)},
		decliner:       decliner.New(decliner.Capacity),
		tombstoner:     tombstoner.New(incarnation, tombstoner.Capacity),
		quarantiner:    quarantiner.New(),
		broadcastCrash: broadcastCrash,
		attributor:     attributor.New(),
	}
}

// Clock implements forwarder.Gate.
func (g *Gatekeeper) Clock() forwarder.Clock {
	g.mu.Lock()
	defer g.mu.Unlock()
	return forwarder.Clock{Incarnation: g.tombstoner.Incarnation(), Time: g.gateTime()}
}

// RaiseIncarnation replaces the incarnation for which requests must be meant by a later one.
func (g *Gatekeeper) RaiseIncarnation(incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tombstoner.Raise(incarnation)
}

func (g *Gatekeeper) gateTime() tombstoner.GateTime {
	return tombstoner.GateTime(time.Since(g.started).Milliseconds())
}

// Running implements forwarder.Gate.
func (g *Gatekeeper) Running(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tombstoner.Running(id)
}

// Look implements forwarder.Gate.
func (g *Gatekeeper) Look(identity tombstoner.Identity) tombstoner.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tombstoner.Look(g.gateTime(), identity)
}

// PlaceTombstone implements forwarder.Gate.
func (g *Gatekeeper) PlaceTombstone(identity tombstoner.Identity) tombstoner.State {
	g.mu.Lock()
	// The clock is read while the lock is held, so that no wait lies between the reading and the decision.
	state := g.tombstoner.PlaceTombstone(g.gateTime(), identity)
	g.mu.Unlock()
	g.counts.Add("bury_"+tombstoner.Name(state), 1)
	g.log.Info("tombstone asked for", "request", identity.ID, "state", tombstoner.Name(state))
	return state
}

// Run implements forwarder.Gate. The outcome of a refusal is NotRun only if no byte of the request can have reached the
// target.
func (g *Gatekeeper) Run(ctx context.Context, head forwarder.Head, body io.Reader) (forwarder.Answer, error) {
	answer, err := g.run(ctx, head, body)
	g.endRun(head, err == nil && answer.Status < http.StatusInternalServerError)
	if err != nil {
		refusal := refuser.From(err)
		g.counts.Add("refused_"+refusal.Outcome.String(), 1)
		g.log.Info("request refused", "request", head.AttemptID, "target", head.Target, "kind", refusal.Kind,
			"outcome", refusal.Outcome, "by", endedBy(ctx), "detail", refusal.Detail)
		return forwarder.Answer{}, refusal
	}
	g.log.Info("request ran", "request", head.AttemptID, "target", head.Target, "status", answer.Status)
	return answer, nil
}

func (g *Gatekeeper) run(ctx context.Context, head forwarder.Head, body io.Reader) (forwarder.Answer, error) {
	target, waited, err := g.checkTarget(head.Target)
	if err != nil {
		return forwarder.Answer{}, err
	}
	defer waited()
	request, err := g.newRequest(target, head)
	if err != nil {
		return forwarder.Answer{}, err
	}
	content, alone, err := g.admitWithContent(ctx, target, head, body)
	waited()
	if err != nil {
		return forwarder.Answer{}, err
	}
	exchangeContext, abort := context.WithCancel(ctx)
	release := sync.OnceFunc(func() {
		abort()
		g.release(target.Name, alone)
	})
	if err := g.start(ctx, target, head); err != nil {
		release()
		return forwarder.Answer{}, err
	}
	defer g.countRun(head)()
	g.protocol.Prepare(request.Header, head, target, time.Until(head.Deadline))
	recordResult, content := g.trackStreamed(target, head, content)
	setBody(request, head, content.body)
	response, err := g.connector.Exchange(exchangeContext, target.Address, request, g.reuse(head)) //nolint:bodyclose // slotBody closes it
	if err != nil {
		refusal := toRefusal(ctx, err)
		g.recordAbsence(ctx, target, refusal)
		if g.detectCrash(ctx, head, target, content, alone, err) {
			// A crash counts against the content of the request, not against the health of the target.
			recordResult(observer.Canceled{})
		} else {
			recordResult(observerResult(ctx, refusal))
		}
		release()
		g.registerFinish(head.AttemptID, refusal.Outcome != refuser.NotRun{})
		return forwarder.Answer{}, refusal
	}
	if refusal := g.checkResponse(target, head, response, abort); refusal != nil {
		recordResult(g.declineResult(target.Name, refusal, response.StatusCode))
		_ = response.Body.Close()
		release()
		g.registerFinish(head.AttemptID, refusal.Outcome != refuser.NotRun{})
		return forwarder.Answer{}, refusal
	}
	recordResult(observer.Answered{Status: response.StatusCode})
	g.acceptAnswer(response.Header, target.Name, head.Objective)
	answeredAt := time.Now()
	return forwarder.Answer{
		Status: response.StatusCode, Header: response.Header,
		Body: &slotBody{ReadCloser: response.Body, response: response.Response, release: func(end bodyEnd) {
			if alone && end == bodyComplete {
				g.clearSuspicion(content)
			}
			g.recordBodyEnd(ctx, target, head, response.ContentLength, answeredAt, end)
			release()
			g.registerFinish(head.AttemptID, true)
		}},
	}, nil
}

// takesRequests reports whether the start of the target that made announcement is neither gone nor leaving now.
func (g *Gatekeeper) takesRequests(announcement registrar.Announcement) bool {
	current, ok := g.targets.Announcement(announcement.Name)
	return ok && !current.Leaving && current.StartedAt == announcement.StartedAt
}

// endedBy returns who ended a request that the gate did not answer: the entry, its deadline, or else the gate or target.
func endedBy(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "deadline"
	case ctx.Err() != nil:
		return "entry"
	default:
		return "gate"
	}
}

// setLoadHeaders sets the headers that tell the entry the target's load and how long requests with the objective take
// there. It drops those that the target set itself.
func (g *Gatekeeper) setLoadHeaders(header http.Header, target string, objective time.Duration) {
	header.Set(forwarder.HeaderBusy, strconv.Itoa(g.load(target)))
	header.Del(forwarder.HeaderHigh)
	header.Del(forwarder.HeaderMean)
	header.Del(forwarder.HeaderLimit)
	header.Del(forwarder.HeaderLeaving)
	if g.protocol.Leaving(header) {
		header.Set(forwarder.HeaderLeaving, "1")
	}
	if limit := g.protocol.Limit(header); limit.Named {
		header.Set(forwarder.HeaderLimit, strconv.FormatFloat(limit.Rate, 'f', -1, 64))
	}
	if estimate := g.estimate(target, objective); estimate.Known() {
		header.Set(forwarder.HeaderHigh, strconv.FormatInt(estimate.High().Milliseconds(), 10))
		header.Set(forwarder.HeaderMean, strconv.FormatInt(estimate.Mean().Milliseconds(), 10))
	}
}

// RetryFraction returns the fraction of the runs now in progress here that repeat an earlier run, or 0 if none is.
func (g *Gatekeeper) RetryFraction() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs.RepeatFraction()
}

// countRun counts the run until the returned function is called. First runs of requests that are not repeatable are left
// out, so that they do not hide the repeats among the others.
func (g *Gatekeeper) countRun(head forwarder.Head) func() {
	if !head.Repeatable && head.Repeat == 0 {
		return func() {}
	}
	update := func(change func(budgeter.Runs, float64) budgeter.Runs) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.runs = change(g.runs, head.Repeat)
	}
	update(budgeter.Runs.WithStart)
	return func() { update(budgeter.Runs.WithEnd) }
}

// checkResponse returns a refusal if the target did not run the request, or if the answer may belong to another request.
// In the latter case the body stays unread, because the connection must not be reused. abort ends the exchange.
func (g *Gatekeeper) checkResponse(
	target registrar.Announcement, head forwarder.Head, response connector.Answer, abort func(),
) *refuser.Refusal {
	switch verdict := g.protocol.Classify(response.Header, response.StatusCode, head, response.Reused).(type) {
	case Declined:
		if response.Reused && g.mayHaveDeclined(head) {
			return g.mismatch()
		}
		timer := time.AfterFunc(maxDrainTime, abort)
		wellFormed := drain(response.Body)
		timer.Stop()
		if !wellFormed {
			return refuser.From(refuser.Fail(refuser.OutcomeUnknown, validator.ErrMalformed.Error()))
		}
		g.recordStatements(target, response.Header)
		g.recordDecline(head)
		return refuser.From(refuser.Refuse(verdict.Kind, "the target did not run it"))
	case Mismatched:
		return g.mismatch()
	case Ran:
		g.recordStatements(target, response.Header)
	}
	return nil
}

func (g *Gatekeeper) mismatch() *refuser.Refusal {
	g.counts.Add("crossed_answers", 1)
	return refuser.From(refuser.Fail(refuser.OutcomeUnknown, "the answer may belong to another request"))
}

// registerStart records the identity of the request as started. It returns a refusal if the identity has a tombstone,
// is a duplicate, belongs to another incarnation or cannot be recorded, or if its latest start has passed.
func (g *Gatekeeper) registerStart(ctx context.Context, head forwarder.Head) error {
	if ctx.Err() != nil {
		return refuser.Refuse(refuser.DeadlinePassed, "the request was given up before it started")
	}
	g.mu.Lock()
	verdict := g.tombstoner.Start(g.gateTime(), head.Identity())
	g.mu.Unlock()
	if verdict == tombstoner.Go {
		g.log.Info("request started", "request", head.AttemptID, "workspace", head.Workspace, "target", head.Target,
			"service", head.Service, "repeat", head.Repeat)
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

func (g *Gatekeeper) registerFinish(id string, ran bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tombstoner.Finish(g.gateTime(), id, ran)
}

// load returns the number of the target's slots in use plus the number of requests that wait for one.
func (g *Gatekeeper) load(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state, ok := g.states[name]; ok {
		return state.inFlight + len(state.waiting)
	}
	return 0
}

// estimate returns how long requests with the objective are expected to take at the target called name.
func (g *Gatekeeper) estimate(name string, objective time.Duration) estimator.Estimate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state, ok := g.states[name]; ok && objective > 0 {
		return state.estimates[objective]
	}
	return estimator.Estimate{}
}

// toRefusal converts the error of an exchange with a target to a refusal.
func toRefusal(ctx context.Context, err error) *refuser.Refusal {
	var failure *connector.Failure
	sent := !errors.As(err, &failure) || failure.Sent
	refusal := &refuser.Refusal{Kind: refuser.TargetUnreachable, Outcome: refuser.NotRun{}, Detail: logger.Shorten(err.Error())}
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

// observerResult returns what a failed exchange shows about the health of its target.
func observerResult(ctx context.Context, refusal *refuser.Refusal) observer.Result {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || refusal.Kind == refuser.BodyCut:
		return observer.Canceled{}
	case refusal.Kind == refuser.TargetUnreachable:
		return observer.Unreached{}
	default:
		return observer.Broken{}
	}
}
