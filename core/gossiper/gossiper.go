// Package gossiper spreads the verdicts of gates on their targets. It holds those that a node knows, and chooses which of them
// are piggybacked on a message that the node sends anyway.
//
// It is designed for targets that fail for some seconds. Without it each entry learns of such a target only when its gate
// refuses a request: with hundreds of entries that send a few requests a second each, most of them learn of it too late. The
// number of verdicts in a message is bounded, so the traffic does not grow with entries times targets.
package gossiper

import (
	"slices"
	"sync"
	"time"
)

// State is the state of a target in the opinion of its gate.
type State uint8

// The states, with their values on the wire.
const (
	Healthy State = iota
	Doubtful
	Suspect
)

const (
	// maxDigest is the number of verdicts in a message, of some 40 bytes each: fewer than the head of a request takes.
	maxDigest = 8
	// digestInterval is how long a choice of the newest verdicts is used. The choice looks at all verdicts, whose number grows
	// with the targets of the fleet, while messages are sent at the rate of the requests.
	digestInterval = 50 * time.Millisecond
	// Lifetime and doubtfulLifetime are how long a verdict is valid. Gray failures last for seconds, while the next request
	// that is served settles a doubt.
	Lifetime         = 2500 * time.Millisecond
	doubtfulLifetime = 300 * time.Millisecond
	// maxTargets bounds the targets with a verdict.
	maxTargets = 4096
)

// Verdict is the state of Target at the time At. TrialAt is when a suspect target may get its next trial.
type Verdict struct {
	Target  string
	State   State
	At      time.Time
	TrialAt time.Time
}

// expired reports whether the verdict is no longer valid at now.
func (v Verdict) expired(now time.Time) bool {
	lifetime := Lifetime
	if v.State == Doubtful {
		lifetime = doubtfulLifetime
	}
	return now.Sub(v.At) >= lifetime
}

// Gossiper holds the newest verdict on each target. It is safe for concurrent use. A nil Gossiper takes every target for
// healthy.
type Gossiper struct {
	local func(now time.Time) []Verdict

	mu       sync.Mutex
	verdicts map[string]Verdict
	// newest are the newest verdicts as of chosenAt.
	newest   []Verdict
	chosenAt time.Time
}

// New returns a Gossiper without verdicts. It calls local for those of the node's own gate.
func New(local func(now time.Time) []Verdict) *Gossiper {
	return &Gossiper{local: local, verdicts: make(map[string]Verdict)}
}

// Record adds verdicts that were received at now. It ignores those that are older than the known one, expired, from the future
// or in an unknown state.
func (g *Gossiper) Record(now time.Time, verdicts ...Verdict) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range verdicts {
		if v.Target == "" || v.State > Suspect || v.At.After(now) || v.expired(now) || !v.At.After(g.verdicts[v.Target].At) {
			continue
		}
		if _, known := g.verdicts[v.Target]; !known && len(g.verdicts) >= maxTargets {
			g.removeExpired(now)
			if len(g.verdicts) >= maxTargets {
				continue
			}
		}
		// Bounds a wrong value, with which the target would never be tried.
		if latest := now.Add(Lifetime); v.TrialAt.After(latest) {
			v.TrialAt = latest
		}
		g.verdicts[v.Target] = v
	}
}

func (g *Gossiper) removeExpired(now time.Time) {
	for target, v := range g.verdicts {
		if v.expired(now) {
			delete(g.verdicts, target)
		}
	}
}

// Lookup returns the verdict on target that is valid at now. Without one the target is healthy.
func (g *Gossiper) Lookup(now time.Time, target string) Verdict {
	if g == nil {
		return Verdict{Target: target}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v, ok := g.verdicts[target]
	if !ok || v.expired(now) {
		return Verdict{Target: target}
	}
	return v
}

// Digest returns verdicts that are valid at now for one message: those of the node's own gate, and the newest others as of the
// last digestInterval.
func (g *Gossiper) Digest(now time.Time) []Verdict {
	if g == nil {
		return nil
	}
	digest := g.local(now)
	g.Record(now, digest...)
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.chosenAt) >= digestInterval || now.Before(g.chosenAt) {
		g.chooseNewest(now)
	}
	own := len(digest)
	for _, v := range g.newest {
		isOwn := slices.ContainsFunc(digest[:own], func(o Verdict) bool { return o.Target == v.Target })
		if len(digest) < maxDigest && !isOwn && !v.expired(now) {
			digest = append(digest, v)
		}
	}
	return digest[:min(maxDigest, len(digest))]
}

// chooseNewest chooses the newest verdicts for the digests that follow. The caller holds the lock.
func (g *Gossiper) chooseNewest(now time.Time) {
	g.removeExpired(now)
	g.newest = g.newest[:0]
	for _, v := range g.verdicts {
		g.newest = append(g.newest, v)
	}
	slices.SortFunc(g.newest, func(a, b Verdict) int { return b.At.Compare(a.At) })
	g.newest = g.newest[:min(maxDigest, len(g.newest))]
	g.chosenAt = now
}
