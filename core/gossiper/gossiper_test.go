package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/gossiper"
)

var start = time.Unix(1000, 0)

func noVerdicts(time.Time) []gossiper.Verdict { return nil }

func TestNewestVerdictCountsUntilItExpires(t *testing.T) {
	i := gossiper.New(noVerdicts)
	i.Record(start, gossiper.Verdict{Target: "a", State: gossiper.Suspect, At: start, TrialAt: start.Add(time.Second)})
	assert.Equal(t, i.Lookup(start.Add(2499*time.Millisecond), "a").State, gossiper.Suspect)
	assert.Equal(t, i.Lookup(start.Add(2500*time.Millisecond), "a").State, gossiper.Healthy)
	i.Record(start, gossiper.Verdict{Target: "a", At: start.Add(-time.Millisecond)})
	assert.Equal(t, i.Lookup(start, "a").State, gossiper.Suspect)
	i.Record(start.Add(time.Second), gossiper.Verdict{Target: "a", At: start.Add(time.Millisecond)})
	assert.Equal(t, i.Lookup(start.Add(time.Second), "a").State, gossiper.Healthy)
	i.Record(start, gossiper.Verdict{Target: "b", State: gossiper.Doubtful, At: start})
	assert.Equal(t, i.Lookup(start.Add(299*time.Millisecond), "b").State, gossiper.Doubtful)
	assert.Equal(t, i.Lookup(start.Add(300*time.Millisecond), "b").State, gossiper.Healthy)
}

// TestInvalidVerdictsAreIgnored records verdicts that are old, from the future, of no state or of no target, and more of them than
// an gossiper holds.
func TestInvalidVerdictsAreIgnored(t *testing.T) {
	i := gossiper.New(noVerdicts)
	for _, n := range []gossiper.Verdict{
		{Target: "a", State: gossiper.Suspect, At: start.Add(-3 * time.Second)},
		{Target: "a", State: gossiper.Suspect, At: start.Add(time.Millisecond)},
		{Target: "a", State: 3, At: start},
		{State: gossiper.Suspect, At: start},
	} {
		i.Record(start, n)
		assert.Equal(t, i.Lookup(start, "a"), gossiper.Verdict{Target: "a"}, "%+v", n)
		assert.Equal(t, len(i.Digest(start)), 0)
	}
	for n := range 10_000 {
		i.Record(start, gossiper.Verdict{Target: fmt.Sprint(n), State: gossiper.Suspect, At: start, TrialAt: start.Add(time.Hour)})
	}
	assert.Equal(t, len(i.Digest(start.Add(50*time.Millisecond))), 8)
	assert.Equal(t, i.Lookup(start, "9999").State, gossiper.Healthy)
	assert.Assert(t, !i.Lookup(start, "0").TrialAt.After(start.Add(3*time.Second)))
	later := start.Add(3 * time.Second)
	i.Record(later, gossiper.Verdict{Target: "9999", State: gossiper.Suspect, At: later})
	assert.Equal(t, i.Lookup(later, "9999").State, gossiper.Suspect)
	var none *gossiper.Gossiper
	none.Record(start, gossiper.Verdict{Target: "a", State: gossiper.Suspect, At: start})
	assert.Equal(t, none.Lookup(start, "a").State, gossiper.Healthy)
	assert.Equal(t, len(none.Digest(start)), 0)
}

// refusedFraction simulates 20 s of entries that each send requests to random targets, of which one in twelve is suspect at any
// time, for 5 s. It returns the fraction of requests that a gate refused. Entries and gates exchange their verdicts
// with requests and answers if gossip is set; otherwise an entry learns from refusals only.
func refusedFraction(nodes, targets int, rate float64, gossip bool) float64 {
	random := rand.New(rand.NewPCG(7, 8))
	name := func(target int) string { return fmt.Sprint("t", target) }
	suspect := func(target int, now time.Time) bool {
		return (int(now.Sub(start)/(5*time.Second))+target)%12 == 0
	}
	verdict := func(target int, now time.Time) gossiper.Verdict {
		verdict := gossiper.Verdict{Target: name(target), At: now}
		if suspect(target, now) {
			verdict.State = gossiper.Suspect
		}
		return verdict
	}
	gossipers := make([]*gossiper.Gossiper, nodes)
	for n := range gossipers {
		gossipers[n] = gossiper.New(func(now time.Time) []gossiper.Verdict {
			if n < targets && (suspect(n, now) || suspect(n, now.Add(-gossiper.Lifetime))) {
				return []gossiper.Verdict{verdict(n, now)}
			}
			return nil
		})
	}
	sent, refused := 0, 0
	const step = time.Millisecond
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		for range poisson(random, rate*step.Seconds()) {
			entry, target := random.IntN(nodes), random.IntN(targets)
			for gossipers[entry].Lookup(now, name(target)).State == gossiper.Suspect {
				target = random.IntN(targets)
			}
			sent++
			if suspect(target, now) {
				refused++
			}
			if !gossip {
				gossipers[entry].Record(now, verdict(target, now))
				continue
			}
			gate := gossipers[target]
			gate.Record(now, gossipers[entry].Digest(now)...)
			gossipers[entry].Record(now, gate.Digest(now)...)
		}
	}
	return float64(refused) / float64(sent)
}

func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for elapsed := random.ExpFloat64(); elapsed < mean; elapsed += random.ExpFloat64() {
		count++
	}
	return count
}

// TestEntriesKnowOfSuspectTargetsBeforeTheySend compares the refused sends of fleets whose entries learn from their own
// refusals only with those whose nodes gossip. The goal is 3 in 100.
func TestEntriesKnowOfSuspectTargetsBeforeTheySend(t *testing.T) {
	for _, c := range []struct {
		nodes, targets int
		rate           float64
	}{{25, 25, 100}, {101, 101, 620}, {336, 336, 1000}} {
		alone, told := refusedFraction(c.nodes, c.targets, c.rate, false), refusedFraction(c.nodes, c.targets, c.rate, true)
		t.Logf("%d nodes, %d targets, %.0f/s: %.3f refused without gossip, %.3f with", c.nodes, c.targets, c.rate, alone, told)
		assert.Assert(t, told < alone/2, "%d nodes: %.3f and %.3f", c.nodes, told, alone)
		// At 336 nodes that send 3 requests a second each the goal is missed.
		assert.Assert(t, told < 0.03 || c.nodes > 300, "%d nodes: %.3f", c.nodes, told)
	}
}

// TestDigestHasTheOwnVerdictAtOnce has a gate whose verdict changes right after a digest. The next digest must have it, however
// many verdicts of others there are, and no expired one.
func TestDigestHasTheOwnVerdictAtOnce(t *testing.T) {
	state := gossiper.Healthy
	g := gossiper.New(func(now time.Time) []gossiper.Verdict {
		return []gossiper.Verdict{{Target: "own", State: state, At: now}}
	})
	for n := range 100 {
		g.Record(start, gossiper.Verdict{Target: fmt.Sprint(n), State: gossiper.Doubtful, At: start})
	}
	assert.Equal(t, g.Digest(start)[0], gossiper.Verdict{Target: "own", At: start})
	state = gossiper.Suspect
	now := start.Add(time.Millisecond)
	digest := g.Digest(now)
	assert.Equal(t, digest[0], gossiper.Verdict{Target: "own", State: gossiper.Suspect, At: now})
	assert.Equal(t, len(digest), 8)
	now = start.Add(300 * time.Millisecond)
	assert.DeepEqual(t, g.Digest(now), []gossiper.Verdict{{Target: "own", State: gossiper.Suspect, At: now}})
}

// BenchmarkDigest measures a digest of a node that knows as many verdicts as it may, at 600 messages a second.
func BenchmarkDigest(b *testing.B) {
	g := gossiper.New(noVerdicts)
	now := start
	for i := 0; b.Loop(); i++ {
		if i%(600*2) == 0 {
			for n := range 4096 {
				g.Record(now, gossiper.Verdict{Target: fmt.Sprint(n), State: gossiper.Suspect, At: now})
			}
		}
		g.Digest(now)
		now = now.Add(time.Second / 600)
	}
}
