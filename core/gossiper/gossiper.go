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
	// maxDigest is the number of verdicts in a message. It covers the targets of a service of 20 that are not healthy at a time.
	maxDigest = 8
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

// Digest returns the newest verdicts that are valid at now, for one message.
func (g *Gossiper) Digest(now time.Time) []Verdict {
	if g == nil {
		return nil
	}
	g.Record(now, g.local(now)...)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.verdicts) == 0 {
		return nil
	}
	g.removeExpired(now)
	digest := make([]Verdict, 0, len(g.verdicts))
	for _, v := range g.verdicts {
		digest = append(digest, v)
	}
	slices.SortFunc(digest, func(a, b Verdict) int { return b.At.Compare(a.At) })
	return digest[:min(maxDigest, len(digest))]
}
