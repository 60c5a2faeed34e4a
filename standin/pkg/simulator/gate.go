package simulator

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"samphiremount.example/core/breaker"
	"samphiremount.example/core/observer"
)

// gate is a gate with its target. spellStart is when the target's first spell starts, at most a period after the start
// of the run.
type gate struct {
	name       string
	breaker    *breaker.Breaker
	recorder   *observer.Recorder
	spellStart time.Time
	running    int
	starts     []time.Time
	failures   []time.Time
}

// attempt is a request that runs on a target.
type attempt struct {
	request *request
	gate    *gate
	id      string
	number  uint64
	end     time.Time
	failure failure
}

// failure is the way in which a target fails an attempt, if it does.
type failure int

const (
	none failure = iota
	failed
	hung
)

// inSpell reports whether the target is in a spell at now.
func (s *simulation) inSpell(g *gate) bool {
	since := s.now.Sub(g.spellStart)
	return since >= 0 && since%s.settings.Period < s.settings.Spell
}

// admits reports whether the gate admits a request, like a gate without a queue. It refuses requests that its breaker
// holds back with suspect set.
func (s *simulation) admits(g *gate, healthyOnly, allowSuspect bool) (admitted, suspect bool) {
	switch verdict := g.breaker.Verdict(s.now).(type) {
	case breaker.Doubtful:
		suspect = healthyOnly
	case breaker.Suspect:
		suspect = healthyOnly || !verdict.TrialAllowed
	case breaker.Healthy:
	}
	suspect = suspect && !allowSuspect
	return !suspect && g.running < s.settings.Slots, suspect
}

// start starts an attempt of the request on the target of g.
func (s *simulation) start(r *request, g *gate) {
	s.lastID++
	a := &attempt{request: r, gate: g, id: fmt.Sprint(s.lastID), end: s.now.Add(s.duration())}
	switch {
	case s.inSpell(g) && s.random.Float64() < s.settings.Hangs:
		a.failure, a.end = hung, r.deadline
	case s.random.Float64() < s.settings.Errors:
		a.failure = failed
	}
	if a.end.After(r.deadline) {
		a.end = r.deadline
	}
	a.number = g.recorder.Start(s.now, g.name, service)
	g.breaker.Start(s.now, a.id, breaker.Expectation{
		Mean: s.settings.Mean, SlowAt: s.now.Add(s.settings.Objective / 2), OverdueAt: s.now.Add(s.settings.Objective),
	})
	g.running++
	g.starts = append(g.starts, s.now)
	r.attempts = append(r.attempts, a)
	s.running = append(s.running, a)
}

// duration returns the random duration of a request: lognormal, with the mean of the settings.
func (s *simulation) duration() time.Duration {
	const sigma = 0.6
	return time.Duration(float64(s.settings.Mean) * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2))
}

// end ends an attempt that is due, and answers its request unless another attempt may still do so.
func (s *simulation) end(a *attempt) {
	switch a.failure {
	case hung:
		a.gate.failures = append(a.gate.failures, s.now)
		s.record(a, observer.Broken{}, breaker.Failed{})
	case failed:
		a.gate.failures = append(a.gate.failures, s.now)
		s.record(a, observer.Answered{Status: http.StatusInternalServerError}, breaker.Failed{})
	case none:
		s.record(a, observer.Answered{Status: http.StatusOK}, breaker.Served{})
	}
	a.request.resolve(s, a)
}

// cancel ends an attempt whose request was answered by another one.
func (s *simulation) cancel(a *attempt) {
	if a.failure == hung {
		a.gate.failures = append(a.gate.failures, s.now)
	}
	s.record(a, observer.Canceled{}, breaker.Canceled{})
}

func (s *simulation) record(a *attempt, observed observer.Result, result breaker.Result) {
	a.gate.recorder.End(s.now, a.number, observed)
	a.gate.breaker.End(s.now, a.id, result)
	a.gate.running--
	a.end = time.Time{}
}
