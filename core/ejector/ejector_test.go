package ejector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/detector"
	"samphiremount.example/core/ejector"
)

// TestEnforceFloor checks random lists of ejections against independent random sets of present targets. The capacity
// that is left must reach the floor, or all that is present if that is less.
func TestEnforceFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(0, 40).Draw(t, "floor")
		var ejections []ejector.Ejection
		var present []ejector.Capacity
		total := 0
		for i := range 8 {
			if rapid.Bool().Draw(t, "ejected") {
				score := float64(rapid.IntRange(1, 9).Draw(t, "score"))
				ejections = append(ejections, ejector.Ejection{Target: fmt.Sprint(i), Score: score})
			}
			if rapid.Bool().Draw(t, "present") {
				slots := rapid.IntRange(1, 9).Draw(t, "slots")
				present = append(present, ejector.Capacity{Target: fmt.Sprint(i), Slots: slots})
				total += slots
			}
		}
		followed := ejector.EnforceFloor(ejections, present, floor)
		remaining := 0
		for _, capacity := range present {
			if _, out := followed[capacity.Target]; !out {
				remaining += capacity.Slots
			}
		}
		assert.Assert(t, remaining >= min(floor, total), "%d left of %d", remaining, total)
	})
}

func TestLeastBadReturnsFirst(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	present := []ejector.Capacity{{"a", 5}, {"b", 5}, {"c", 5}}
	verdicts := []detector.Verdict{{Target: "a", Score: 3}, {Target: "b", Score: 2}, {Target: "c", Score: 0.5}}
	e, decisions := ejector.Ejector{}.With(now, ejector.Round{Present: present, Floor: 5, Verdicts: verdicts})
	assert.DeepEqual(t, decisions, []ejector.Decision{ejector.Ejected{Target: "a"}, ejector.Ejected{Target: "b"}})
	e, decisions = e.With(now, ejector.Round{Present: present[:2], Floor: 5})
	assert.DeepEqual(t, decisions, []ejector.Decision{ejector.Returned{Target: "b", Reason: "capacity fell to the floor"}})

	// Target a passes its trial with one bad request of ten.
	now = now.Add(10 * time.Second)
	e, decisions = e.With(now, ejector.Round{Present: present[:2], Floor: 5})
	assert.DeepEqual(t, decisions, []ejector.Decision{ejector.TrialStarted{Target: "a"}})
	trial := []detector.Verdict{{Target: "a", Attempts: 10, Bad: 1}}
	e, decisions = e.With(now, ejector.Round{Present: present[:2], Floor: 5, Verdicts: trial})
	assert.DeepEqual(t, decisions, []ejector.Decision{ejector.Returned{Target: "a", Reason: "requests of its trial were good"}})
	assert.Equal(t, len(e.Ejections()), 0)
}

// passesTrial reports whether a target that fails that fraction of its requests passes its trial, with two attempts in
// each round. Its peers fail the fraction peerRate.
func passesTrial(random *rand.Rand, rate, peerRate float64) bool {
	now, present := time.Unix(1_000_000, 0), []ejector.Capacity{{"a", 5}, {"b", 5}}
	verdicts := []detector.Verdict{{Target: "a", Score: 1}}
	e, _ := ejector.Ejector{}.With(now, ejector.Round{Present: present, Floor: 5, Verdicts: verdicts})
	for {
		now = now.Add(500 * time.Millisecond)
		var decisions []ejector.Decision
		verdict := detector.Verdict{Target: "a", Attempts: 2, PeerRate: peerRate}
		for range verdict.Attempts {
			if random.Float64() < rate {
				verdict.Bad++
			}
		}
		e, decisions = e.With(now, ejector.Round{Present: present, Floor: 5, Verdicts: []detector.Verdict{verdict}})
		for _, decision := range decisions {
			switch decision.(type) {
			case ejector.Returned:
				return true
			case ejector.Ejected:
				return false
			}
		}
	}
}

// TestTargetAsGoodAsItsPeersStaysEjected guards against a target that returns to no use in a service of which many
// requests fail.
func TestTargetAsGoodAsItsPeersStaysEjected(t *testing.T) {
	for _, test := range []struct {
		rate, peerRate float64
		minPassed      int
		maxPassed      int
	}{{0.15, 0.15, 900, 1000}, {0, 0, 1000, 1000}, {0.6, 0.15, 0, 100}, {0.6, 0, 0, 10}, {0.9, 0.6, 1000, 1000}} {
		random, passed := rand.New(rand.NewPCG(1, 2)), 0
		for range 1000 {
			if passesTrial(random, test.rate, test.peerRate) {
				passed++
			}
		}
		assert.Assert(t, passed >= test.minPassed && passed <= test.maxPassed, "%+v: %d passed", test, passed)
	}
}
