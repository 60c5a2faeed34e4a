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

var measure = flag.Bool("measure", false, "print the table of detection methods")

const (
	targetCount      = 15
	requestsPerRound = 10
	warmupSeconds    = 60
	maxSeconds       = 300
)

var start = time.Unix(1_000_000, 0)

// service generates the digests of a noisy service, one round per second. Each target gets about 10 requests per second,
// with lognormal latencies around 20 ms and 0.5% failures. Every two minutes, a burst of 10 s doubles the latencies and
// raises the failures to 5% at all targets. At random, a target is five times as slow for one second. The first
// target also has the fault, starting at the second since.
type service struct {
	random *rand.Rand
	fault  func(random *rand.Rand, second int) (fail, slow, hang float64)
	since  int
}

func (s service) digests(second int) []observer.Digest {
	digests := make([]observer.Digest, targetCount)
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
	for range requestsPerRound/2 + s.random.IntN(requestsPerRound+1) {
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
	// Five slots hang until the deadline of 10 s. Each attempt counts as late after 2 s.
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

// detect returns the seconds from the start of a fault until its target is a suspect, at most maxSeconds.
func detect(method detector.Method, s service) float64 {
	d := detector.New(method)
	for second := range warmupSeconds + maxSeconds {
		var verdicts []detector.Verdict
		d, verdicts = d.With(start.Add(time.Duration(second)*time.Second), s.digests(second), nil)
		for _, verdict := range verdicts {
			if !verdict.Suspect() {
				continue
			}
			if verdict.Target == "target0" && second >= s.since {
				return float64(second - s.since + 1)
			}
			d = d.Without(verdict.Target)
		}
	}
	return maxSeconds
}

// falseEjections returns how many times a target of a healthy service is a suspect in a number of hours.
func falseEjections(method detector.Method, seed uint64, hours int) int {
	s := service{random: rand.New(rand.NewPCG(seed, 0))}
	d, count := detector.New(method), 0
	for second := range hours * 3600 {
		var verdicts []detector.Verdict
		d, verdicts = d.With(start.Add(time.Duration(second)*time.Second), s.digests(second), nil)
		for _, verdict := range verdicts {
			if verdict.Suspect() {
				count++
				d = d.Without(verdict.Target)
			}
		}
	}
	return count
}

// detections returns the median and the 99th percentile of the seconds to detect a fault, and the number of runs that
// did not detect it.
func detections(method detector.Method, fault int, runs uint64) (p50, p99 float64, missed int) {
	var times []float64
	for seed := range runs {
		random := rand.New(rand.NewPCG(seed, uint64(fault)))
		s := service{random: random, fault: faults[fault].fault, since: warmupSeconds + random.IntN(120)}
		times = append(times, detect(method, s))
		if times[len(times)-1] == maxSeconds {
			missed++
		}
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100], missed
}

// TestSequentialDetects checks the method in use with a few fixed seeds: it must detect each fault within 60 s, with at
// most one false ejection in an hour.
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
			fmt.Printf("%s %.3f |\n", line, float64(count)/(hours*targetCount))
		}
	}
}
