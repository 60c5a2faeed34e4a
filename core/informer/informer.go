// Package informer holds what a node knows of the verdicts that gates reached on their targets, and chooses what of it the
// node tells others with the messages that it sends anyway.
//
// It is made for targets that fail for some seconds, of which each entry would otherwise learn by a refusal of its own: with
// hundreds of entries that send a few requests a second each, most of them would not learn of it before it is over. The news
// in a message are bounded, so what is told does not grow with entries times targets.
package informer

import (
	"slices"
	"sync"
	"time"
)

// State is the verdict of a gate on its target.
type State uint8

// The states, with the values that they have in messages.
const (
	Healthy State = iota
	Doubtful
	Suspect
)

const (
	// maxTold is the number of news in a message. It covers the targets of a service of 20 that are not healthy at a time.
	maxTold = 8
	// Lifetime and doubtfulLifetime are how long a verdict is believed. Gray failures last for seconds, while the next request
	// that is served settles a doubt.
	Lifetime         = 2500 * time.Millisecond
	doubtfulLifetime = 300 * time.Millisecond
	// maxTargets bounds the targets of which anything is remembered.
	maxTargets = 4096
)

// News is the verdict of a gate on Target as of At. TrialAt is when a suspect target gets its next trial.
type News struct {
	Target  string
	State   State
	At      time.Time
	TrialAt time.Time
}

// expired reports whether the news are too old to be believed or told at now.
func (n News) expired(now time.Time) bool {
	lifetime := Lifetime
	if n.State == Doubtful {
		lifetime = doubtfulLifetime
	}
	return now.Sub(n.At) >= lifetime
}

// Informer holds the newest news of each target. It is safe for concurrent use. A nil Informer knows nothing.
type Informer struct {
	own func(now time.Time) []News

	mu   sync.Mutex
	news map[string]News
}

// New returns an Informer that knows nothing. It calls own for the verdicts of the node's own gate whenever it tells news.
func New(own func(now time.Time) []News) *Informer {
	return &Informer{own: own, news: make(map[string]News)}
}

// Record adds news that were known at now. It ignores those that are older than what is known, too old to be believed, from
// the future, or in no known state.
func (i *Informer) Record(now time.Time, news ...News) {
	if i == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, n := range news {
		if n.Target == "" || n.State > Suspect || n.At.After(now) || n.expired(now) || !n.At.After(i.news[n.Target].At) {
			continue
		}
		if _, known := i.news[n.Target]; !known && len(i.news) >= maxTargets {
			i.forgetExpired(now)
			if len(i.news) >= maxTargets {
				continue
			}
		}
		// A gate's clock may be off, and a trial that is far away would never be tried.
		n.TrialAt = minTime(n.TrialAt, now.Add(Lifetime))
		i.news[n.Target] = n
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (i *Informer) forgetExpired(now time.Time) {
	for target, n := range i.news {
		if n.expired(now) {
			delete(i.news, target)
		}
	}
}

// Look returns the news of target that are believed at now. Without any, the target is taken for healthy.
func (i *Informer) Look(now time.Time, target string) News {
	if i == nil {
		return News{Target: target}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	n, ok := i.news[target]
	if !ok || n.expired(now) {
		return News{Target: target}
	}
	return n
}

// Tell returns the newest news that are believed at now, for one message.
func (i *Informer) Tell(now time.Time) []News {
	if i == nil {
		return nil
	}
	i.Record(now, i.own(now)...)
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.news) == 0 {
		return nil
	}
	i.forgetExpired(now)
	told := make([]News, 0, len(i.news))
	for _, n := range i.news {
		told = append(told, n)
	}
	slices.SortFunc(told, func(a, b News) int { return b.At.Compare(a.At) })
	return told[:min(maxTold, len(told))]
}
