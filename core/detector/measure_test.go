package detector_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/detector"
	"samphiremount.example/core/observer"
)

var measure = flag.Bool("measure", false, "print the table of judges")

const (
	fleet    = 15
	perRound = 10
	warm     = 60
	patience = 300
)

var start = time.Unix(1_000_000, 0)

// service makes the digests of a noisy service second by second: 10 requests a second to each target, lognormal cost
// around 20 ms, 0.5% failures; every two minutes a burst of 10 s with double cost and 5% failures everywhere; now and
// then a second in which one target takes five times as long.
type service struct {
	random *rand.Rand
	fault  func(random *rand.Rand, second int) (fail, slow, hang float64)
	since  int
}

func (s service) digests(second int) []observer.Digest {
	digests := make([]observer.Digest, fleet)
	burst := second%120 < 10
	for i := range digests {
		cost, fail := 20.0, 0.005
		if burst {
			cost, fail = 2*cost, 0.05
		}
		if s.random.IntN(300) == 0 {
			cost *= 5
		}
		var slow, hang float64
		if i == 0 && s.fault != nil && second >= s.since {
			var more float64
			more, slow, hang = s.fault(s.random, second-s.since)
			fail, cost = max(fail, more), cost*max(slow, 1)
		}
		digests[i] = s.digest(i, cost, fail, hang)
	}
	return digests
}

func (s service) digest(target int, cost, fail, hang float64) observer.Digest {
	digest := observer.Digest{Target: fmt.Sprint("target", target), Service: "bookings", Slots: 5}
	if hang > 0 {
		digest.Attempts, digest.Late, digest.ConsecutiveFailures = int(hang), int(hang), int(hang)
		return digest
	}
	for range perRound/2 + s.random.IntN(perRound+1) {
		digest.Attempts++
		if s.random.Float64() < fail {
			digest.Failed++
			digest.ConsecutiveFailures++
			continue
		}
		digest.ConsecutiveFailures = 0
		latency := time.Duration(cost * math.Exp(s.random.NormFloat64()) * float64(time.Millisecond))
		digest.Latency = digest.Latency.WithLatency(latency)
	}
	return digest
}

var faults = []struct {
	name  string
	fault func(random *rand.Rand, since int) (fail, slow, hang float64)
}{
	{"slow x5", func(*rand.Rand, int) (float64, float64, float64) { return 0, 5, 0 }},
	{"fails 1 in 10", func(*rand.Rand, int) (float64, float64, float64) { return 0.1, 0, 0 }},
	{"flaps 3 s: half fail", func(_ *rand.Rand, since int) (float64, float64, float64) {
		return []float64{0.5, 0}[since/3%2], 0, 0
	}},
	// Five slots hang until the deadline of 10 s; each counts as late after 2 s.
	{"hangs", func(_ *rand.Rand, since int) (float64, float64, float64) {
		return 0, 0, []float64{0.5, 0.5, 5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5}[since%10]
	}},
	{"lies, 3 in 10 fail", func(*rand.Rand, int) (float64, float64, float64) { return 0.3, 0, 0 }},
}

func methods(lean detector.Lean) map[string]detector.Method {
	return map[string]detector.Method{
		"threshold": detector.NewThreshold(lean), "robust": detector.NewRobust(lean), "sequential": detector.NewSequential(lean),
	}
}

// detect returns the seconds from the start of a fault to the first suspicion of its target, at most patience.
func detect(method detector.Method, s service) float64 {
	judge := detector.New(method)
	for second := range warm + patience {
		var verdicts []detector.Verdict
		judge, verdicts = judge.With(start.Add(time.Duration(second)*time.Second), s.digests(second), nil)
		for _, verdict := range verdicts {
			if !verdict.Suspect() {
				continue
			}
			if verdict.Target == "target0" && second >= s.since {
				return float64(second - s.since + 1)
			}
			judge = judge.Without(verdict.Target)
		}
	}
	return patience
}

// falseEjections returns how many suspicions there are on a healthy service in a number of hours.
func falseEjections(method detector.Method, seed uint64, hours int) int {
	s := service{random: rand.New(rand.NewPCG(seed, 0))}
	judge, count := detector.New(method), 0
	for second := range hours * 3600 {
		var verdicts []detector.Verdict
		judge, verdicts = judge.With(start.Add(time.Duration(second)*time.Second), s.digests(second), nil)
		for _, verdict := range verdicts {
			if verdict.Suspect() {
				count++
				judge = judge.Without(verdict.Target)
			}
		}
	}
	return count
}

func detections(method detector.Method, fault int, runs uint64) (p50, p99 float64, missed int) {
	var times []float64
	for seed := range runs {
		random := rand.New(rand.NewPCG(seed, uint64(fault)))
		s := service{random: random, fault: faults[fault].fault, since: warm + random.IntN(120)}
		times = append(times, detect(method, s))
		if times[len(times)-1] == patience {
			missed++
		}
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100], missed
}

// TestSequentialDetects keeps the judge in use within bounds on a few fixed seeds.
func TestSequentialDetects(t *testing.T) {
	for i, fault := range faults {
		_, p99, missed := detections(detector.NewSequential(detector.Even), i, 10)
		assert.Assert(t, missed == 0 && p99 <= 60, "%s: %v s, %d missed", fault.name, p99, missed)
	}
	assert.Assert(t, falseEjections(detector.NewSequential(detector.Even), 1, 1) <= 1)
}

func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("runs by make measure")
	}
	const runs, hours = 50, 8
	for _, lean := range []struct {
		name string
		lean detector.Lean
	}{{"kowhai", detector.Kowhai}, {"caroni", detector.Caroni}} {
		for _, name := range []string{"threshold", "robust", "sequential"} {
			method := methods(lean.lean)[name]
			line := fmt.Sprintf("| %s | %s |", lean.name, name)
			for i := range faults {
				p50, p99, missed := detections(method, i, runs)
				line += fmt.Sprintf(" %.0f / %.0f", p50, p99)
				if missed > 0 {
					line += fmt.Sprintf(" (%d missed)", missed)
				}
				line += " |"
			}
			count := falseEjections(method, 1, hours)
			fmt.Printf("%s %.3f |\n", line, float64(count)/(hours*fleet))
		}
	}
}
