package router_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/router"
	"samphiremount.example/core/tracker"
)

var (
	start = time.Unix(1_000_000, 0)
	here  = router.Locality{Region: "north", Centre: "auckland"}
)

func candidate(name, region, centre string, load int) router.Candidate {
	return router.Candidate{
		Placement: tracker.Placement{
			Target: tracker.Target{Name: name, Slots: 10}, Node: tracker.Node{Region: region, Centre: centre},
		},
		Load: load, Status: router.Serving{},
	}
}

func shares(t *testing.T, candidates ...router.Candidate) map[string]float64 {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	counts := make(map[string]float64)
	for range 10_000 {
		choice, err := router.New(here).Choose(start, random, router.Request{}, candidates)
		assert.NilError(t, err)
		assert.Assert(t, choice.Reason != "")
		counts[choice.Placement.Target.Name] += 1.0 / 10_000
	}
	return counts
}

func TestTiersSpillGradually(t *testing.T) {
	for _, c := range []struct{ near, region, far, wantNear, wantRegion float64 }{
		{0, 0, 0, 1, 0},
		{7, 0, 0, 1, 0},
		{9, 0, 0, 0.5, 0.5},
		{20, 0, 0, 0, 1},
		{9, 9, 0, 0.5, 0},
		{20, 9, 0, 0, 0.5},
		{20, 20, 20, 1, 0},
	} {
		got := shares(
			t, candidate("near", "north", "auckland", int(c.near)),
			candidate("region", "north", "hamilton", int(c.region)), candidate("far", "south", "dunedin", int(c.far)),
		)
		assert.Assert(t, math.Abs(got["near"]-c.wantNear) < 0.03, "%v: %v", c, got)
		assert.Assert(t, math.Abs(got["region"]-c.wantRegion) < 0.03, "%v: %v", c, got)
	}
}

// TestSpilledShareSettles offers a data centre more requests than its capacity. The number that it gets must stay within
// bounds in each second, instead of oscillating.
func TestSpilledShareSettles(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	near, far := candidate("near", "north", "auckland", 0), candidate("far", "north", "hamilton", 0)
	var ends []time.Time
	var names []string
	var counts [30]float64
	for i := range 30 * 130 {
		now := start.Add(time.Duration(i) * time.Second / 130)
		for len(ends) > 0 && !now.Before(ends[0]) {
			if names[0] == "near" {
				near.Load--
			} else {
				far.Load--
			}
			ends, names = ends[1:], names[1:]
		}
		choice, err := router.New(here).Choose(now, random, router.Request{}, []router.Candidate{near, far})
		assert.NilError(t, err)
		if choice.Placement.Target.Name == "near" {
			near.Load++
			counts[i/130]++
		} else {
			far.Load++
		}
		ends, names = append(ends, now.Add(100*time.Millisecond)), append(names, choice.Placement.Target.Name)
	}
	for second, count := range counts[5:] {
		assert.Assert(t, count > 70 && count < 110, "second %d: %v of 130 requests", second, count)
	}
}

func TestColdTargetStartsSlowly(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want float64
	}{{0, 0.1 / 1.1}, {router.SlowStart / 2, 0.55 / 1.55}, {router.SlowStart, 0.5}} {
		cold := candidate("cold", "north", "auckland", 0)
		cold.Status = router.Serving{Since: start.Add(-c.age)}
		got := shares(t, cold, candidate("warm", "north", "auckland", 0))
		assert.Assert(t, math.Abs(got["cold"]-c.want) < 0.03, "age %s: %v", c.age, got)
	}
	var warmups router.Warmups
	warmups.Update(start, []string{"a"})
	warmups.Update(start.Add(time.Hour), []string{"a", "b"})
	assert.Equal(t, warmups.Serving("a"), router.Serving{})
	assert.Equal(t, warmups.Serving("b"), router.Serving{Since: start.Add(time.Hour)})
}

// TestUnusableTargetsAreNeverChosen checks random target states. A target that must not get the request is never chosen,
// and the request is refused only if no target is usable.
func TestUnusableTargetsAreNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := router.Request{Repeatable: rapid.Bool().Draw(t, "repeatable")}
		allowed := make(map[string]bool)
		var candidates []router.Candidate
		for i := range rapid.IntRange(0, 6).Draw(t, "targets") {
			c := candidate(fmt.Sprint(i), "north", rapid.SampledFrom([]string{"auckland", "hamilton"}).Draw(t, "centre"),
				rapid.IntRange(0, 30).Draw(t, "load"))
			c.Placement.Target.Leaving = rapid.Bool().Draw(t, "leaving")
			statuses := []router.Status{router.Serving{}, router.Serving{Since: start}, router.Trial{}, router.Trial{Due: true}, router.Ejected{}}
			state := rapid.IntRange(0, 4).Draw(t, "status")
			c.Status = statuses[state]
			tried := rapid.Bool().Draw(t, "tried")
			if tried {
				request.Tried = append(request.Tried, c.Placement.Target.Name)
			}
			allowed[c.Placement.Target.Name] = !tried && !c.Placement.Target.Leaving &&
				(state < 2 || state < 4 && request.Repeatable)
			candidates = append(candidates, c)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		choice, err := router.New(here).Choose(start, random, request, candidates)
		if err == nil {
			assert.Assert(t, allowed[choice.Placement.Target.Name])
			return
		}
		assert.Equal(t, refuser.From(err).Kind, refuser.CapacityShort)
		for name, ok := range allowed {
			assert.Assert(t, !ok, "%s is usable", name)
		}
	})
}

// TestSubsetBound counts the entry nodes that use each target at the design size of the fleet: 860 nodes in 7 data
// centres of 2 regions.
func TestSubsetBound(t *testing.T) {
	for _, targets := range []int{14, 15, 16, 22, 60} {
		var nodes []tracker.Node
		for i := range 860 {
			region := []string{"north", "south"}[i%7/4]
			nodes = append(nodes, tracker.Node{Name: fmt.Sprint("node", i), Region: region, Centre: fmt.Sprint("centre", i%7)})
		}
		var placements []tracker.Placement
		for i := range targets {
			target := tracker.Target{Name: fmt.Sprint("target", i)}
			placements = append(placements, tracker.Placement{Target: target, Node: nodes[i]})
		}
		entries := make(map[string]int)
		for _, node := range nodes {
			locality := router.Locality{Region: node.Region, Centre: node.Centre}
			for _, used := range router.New(locality).Subset(node.Name, router.CountNodes(locality, nodes), placements) {
				entries[used.Target.Name]++
			}
		}
		assert.Equal(t, len(entries), targets)
		for name, count := range entries {
			assert.Assert(t, count <= router.MaxNodesPerTarget, "%s of %d is used by %d nodes", name, targets, count)
		}
	}
}

func TestReasonNamesTheTierShortOfCapacity(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	choice, err := router.New(here).Choose(start, random, router.Request{}, []router.Candidate{
		candidate("near", "north", "auckland", 20), candidate("far", "south", "dunedin", 1),
	})
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(choice.Reason, "since own data centre has 2.00"), choice.Reason)
}

func TestLessLoadedOfTwoIsChosen(t *testing.T) {
	idle := candidate("idle", "north", "auckland", 1)
	reported := candidate("reported", "north", "auckland", 0)
	reported.Report = router.Report{InFlight: 5, At: start}
	got := shares(t, idle, reported)
	assert.Assert(t, math.Abs(got["idle"]-0.75) < 0.03, "%v", got)
	reported.Report.At = start.Add(-time.Minute)
	got = shares(t, idle, reported)
	assert.Assert(t, math.Abs(got["reported"]-0.75) < 0.03, "%v", got)
}

// TestTrialGetsOnlyRequestsThatAreDue checks which requests go to a target on trial that is alone in the nearest tier: the
// first attempts of repeatable requests while it is due, none before, and any repeatable one if there is no other target.
func TestTrialGetsOnlyRequestsThatAreDue(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	far := candidate("far", "south", "dunedin", 0)
	for _, test := range []struct {
		due     bool
		request router.Request
		others  []router.Candidate
		trial   bool
	}{
		{true, router.Request{Repeatable: true}, []router.Candidate{far}, true},
		{true, router.Request{}, []router.Candidate{far}, false},
		{true, router.Request{Repeatable: true, Tried: []string{"other"}}, []router.Candidate{far}, false},
		{false, router.Request{Repeatable: true}, []router.Candidate{far}, false},
		{false, router.Request{Repeatable: true}, nil, true},
	} {
		trial := candidate("trial", "north", "auckland", 0)
		trial.Status = router.Trial{Due: test.due}
		for range 1000 {
			choice, err := router.New(here).Choose(start, random, test.request, append(test.others, trial))
			assert.NilError(t, err)
			assert.Equal(t, choice.Trial, test.trial, "%+v", test)
			assert.Equal(t, choice.Placement.Target.Name == "trial", test.trial, "%+v", test)
		}
	}
}

// region is a simulated region of four data centres with that many targets each, whose requests take half a second on average.
type region struct {
	random  *rand.Rand
	targets []router.Candidate
	ends    []time.Time
	chosen  []int
}

const (
	regionCentres  = 4
	regionSlots    = 10
	regionDuration = 500 * time.Millisecond
)

func newRegion(targets int) *region {
	r := &region{random: rand.New(rand.NewPCG(4, 4))}
	for i := range regionCentres * targets {
		r.targets = append(r.targets, candidate(fmt.Sprint(i), "north", fmt.Sprint("centre", i%regionCentres), 0))
	}
	return r
}

// endUntil ends the requests that are due at now.
func (r *region) endUntil(now time.Time) {
	for i := len(r.ends) - 1; i >= 0; i-- {
		if !now.Before(r.ends[i]) {
			r.targets[r.chosen[i]].Load--
			r.ends, r.chosen = slices.Delete(r.ends, i, i+1), slices.Delete(r.chosen, i, i+1)
		}
	}
}

// send sends a request of centre, and reports whether it left its data centre.
func (r *region) send(t *testing.T, now time.Time, centre int) (left bool) {
	t.Helper()
	locality := router.Locality{Region: "north", Centre: fmt.Sprint("centre", centre)}
	choice, err := router.New(locality).WithRegionalTier().Choose(now, r.random, router.Request{}, r.targets)
	assert.NilError(t, err)
	chosen, err := strconv.Atoi(choice.Placement.Target.Name)
	assert.NilError(t, err)
	r.targets[chosen].Load++
	r.ends = append(r.ends, now.Add(time.Duration(r.random.ExpFloat64()*float64(regionDuration))))
	r.chosen = append(r.chosen, chosen)
	return chosen%regionCentres != centre
}

// leavingShare offers each data centre the fraction load of its slots, and the first one hotLoad, for 5 s. It returns the
// fraction of the requests of the first one that left it.
func (r *region) leavingShare(t *testing.T, load, hotLoad float64) float64 {
	t.Helper()
	const step = time.Millisecond
	sent, left := 0, 0
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(step) {
		r.endUntil(now)
		for centre := range regionCentres {
			offered := load
			if centre == 0 {
				offered = hotLoad
			}
			rate := offered * float64(len(r.targets)/regionCentres*regionSlots) / regionDuration.Seconds()
			for expected := rate * step.Seconds(); r.random.Float64() < expected; expected-- {
				leaves := r.send(t, now, centre)
				if centre != 0 {
					continue
				}
				if sent++; leaves {
					left++
				}
			}
		}
	}
	return float64(left) / float64(sent)
}

// TestRequestsStayInTheirDataCentre offers each of four data centres of one region half of their slots, and then one of them 1.5
// times as much as it can serve. Three in four requests must stay in their data centre while that has room, and the others
// must take what it has no room for.
func TestRequestsStayInTheirDataCentre(t *testing.T) {
	for _, targets := range []int{2, 12} {
		calm, hot := newRegion(targets).leavingShare(t, 0.5, 0.5), newRegion(targets).leavingShare(t, 0.4, 1.5)
		t.Logf("%d targets a centre: %.3f leave at half of the load, %.3f of a centre with 1.5 times its load", targets, calm, hot)
		assert.Assert(t, calm < 0.25, "%d targets: %.3f", targets, calm)
		assert.Assert(t, hot > 0.2, "%d targets: %.3f", targets, hot)
	}
}
