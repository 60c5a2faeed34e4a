package gatekeeper

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/registrar"
	"samphiremount.example/core/warmer"
)

// maxColdStates is the number of targets from which on those that have left are forgotten. A VM has fewer targets at a time.
const maxColdStates = 64

// coldState is the limit of one target while it is cold. waiting requests have passed the first check and have not started.
// stated is what the target stated last in an answer, and logged whether it was logged as cold.
type coldState struct {
	warmer  warmer.Warmer
	waiting int
	stated  warmer.Statement
	logged  bool
	// startedAt is the start of the target to which stated belongs.
	startedAt int64
}

// checkCold refuses a request at once if its target is cold and will have no token for it. Otherwise waited must be called when
// the request has waited for its start, and may be called again.
func (g *Gatekeeper) checkCold(announcement registrar.Announcement) (waited func(), err error) {
	limit := g.coldLimit(announcement)
	if limit.Rate <= 0 {
		return func() {}, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	state, target := g.coldStateOf(now, announcement)
	if _, retryAt, ok := state.warmer.Admit(now, limit, target, state.waiting); !ok {
		return nil, g.refuseCold(retryAt)
	}
	state.waiting++
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		state.waiting--
	}), nil
}

// takeCold takes a token for a request that starts, and refuses it if its target is cold and has none. It is called right
// before the request is sent: requests that wait for a slot with their tokens could start all at once.
func (g *Gatekeeper) takeCold(announcement registrar.Announcement) error {
	limit := g.coldLimit(announcement)
	if limit.Rate <= 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	state, target := g.coldStateOf(now, announcement)
	next, retryAt, ok := state.warmer.Admit(now, limit, target, 0)
	state.warmer = next
	until := next.ColdUntil(limit, target)
	if cold := now.Before(until); cold != state.logged {
		state.logged = cold
		g.log.Info("coldness of target changed", "target", announcement.Name, "cold", cold, "remaining", max(until.Sub(now), 0),
			"rate", limit.Rate)
	}
	if !ok {
		return g.refuseCold(retryAt)
	}
	return nil
}

func (g *Gatekeeper) refuseCold(retryAt time.Time) error {
	g.counts.Add("cold_limited", 1)
	return &refuser.Refusal{
		Kind: refuser.TargetLimited, Outcome: refuser.NotRun{}, Detail: "the target is cold", RetryAt: retryAt,
	}
}

// coldLimit returns the limit of requests to the target of announcement while it is cold.
func (g *Gatekeeper) coldLimit(announcement registrar.Announcement) warmer.Limit {
	if g.site == nil {
		return warmer.Limit{}
	}
	return g.site.ColdLimit(announcement.Service)
}

// coldStateOf returns the state of the target of announcement, with what is known of the target. The caller holds the lock.
func (g *Gatekeeper) coldStateOf(now time.Time, announcement registrar.Announcement) (*coldState, warmer.Target) {
	target := warmer.Target{Statement: announcement.Cold}
	if announcement.StartedAt != 0 {
		target.StartedAt = time.UnixMilli(announcement.StartedAt)
	}
	state, ok := g.cold[announcement.Name]
	if !ok {
		if len(g.cold) >= maxColdStates {
			maps.DeleteFunc(g.cold, func(name string, _ *coldState) bool {
				_, known := g.targets.Announcement(name)
				return !known
			})
		}
		state = &coldState{startedAt: announcement.StartedAt, warmer: warmer.New(now, target).WithAbsence(g.returnedAt)}
		g.cold[announcement.Name] = state
	}
	if announcement.StartedAt != state.startedAt {
		// What an earlier process of the target stated says nothing of this one.
		state.startedAt, state.stated = announcement.StartedAt, warmer.Statement{}
	}
	target.Statement = target.Statement.Newer(state.stated)
	return state, target
}

// recordCold records what the target states about a cold start in the head of an answer.
func (g *Gatekeeper) recordCold(announcement registrar.Announcement, header http.Header) {
	remaining, ok := g.protocol.Cold(header)
	if !ok || g.coldLimit(announcement).Rate <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	state, _ := g.coldStateOf(now, announcement)
	state.stated = warmer.NewStatement(now, remaining)
}

// recordAbsence records that target could not be connected to. Its process may start again, and then be cold before it announces
// itself.
func (g *Gatekeeper) recordAbsence(ctx context.Context, announcement registrar.Announcement, refusal *refuser.Refusal) {
	if ctx.Err() != nil {
		// The exchange was canceled, which says nothing of the target.
		return
	}
	if refusal.Kind != refuser.TargetUnreachable || g.coldLimit(announcement).Rate <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	state, _ := g.coldStateOf(now, announcement)
	state.warmer = state.warmer.WithAbsence(now)
}
