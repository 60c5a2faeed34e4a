package observer

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// LateAfter is the time after which an attempt without an answer counts as a failure, although it still runs.
const LateAfter = 2 * time.Second

// Result is the outcome of an attempt. It is Answered, Unreached, Broken or Canceled.
type Result interface {
	result()
}

// Answered is an attempt that the target answered with an HTTP status.
type Answered struct {
	Status int
}

// Unreached is an attempt that found no connection to the target.
type Unreached struct{}

// Broken is an attempt whose connection ended, or whose deadline passed, without an answer.
type Broken struct{}

// Canceled is an attempt whose end is no evidence on the target, for example since the caller canceled it.
type Canceled struct{}

func (Answered) result()  {}
func (Unreached) result() {}
func (Broken) result()    {}
func (Canceled) result()  {}

// Recorder collects the attempts that one node sees. It is not safe for concurrent use.
type Recorder struct {
	lastNumber uint64
	running    map[uint64]attempt
	digests    map[string]Digest
	streaks    map[string]int
}

type attempt struct {
	target  string
	service string
	started time.Time
	late    bool
}

// NewRecorder returns a Recorder without attempts.
func NewRecorder() *Recorder {
	return &Recorder{
		running: make(map[uint64]attempt), digests: make(map[string]Digest), streaks: make(map[string]int),
	}
}

// Start records an attempt at now and returns its number for End.
func (r *Recorder) Start(now time.Time, target, service string) uint64 {
	r.lastNumber++
	r.running[r.lastNumber] = attempt{target: target, service: service, started: now}
	return r.lastNumber
}

// End records how the attempt with that number ended at now. Only the first call for a number counts.
func (r *Recorder) End(now time.Time, number uint64, result Result) {
	ended, ok := r.running[number]
	delete(r.running, number)
	if !ok || ended.late {
		return
	}
	digest := r.digest(ended)
	failures := digest.Failures()
	switch result := result.(type) {
	case Answered:
		digest = withAnswer(digest, result.Status, now.Sub(ended.started))
	case Unreached:
		digest.Attempts++
		digest.Unreached++
	case Broken:
		digest.Attempts++
		digest.Broken++
	case Canceled:
		return
	}
	if digest.Failures() > failures {
		r.streaks[ended.target]++
	} else {
		r.streaks[ended.target] = 0
	}
	r.digests[ended.target] = digest
}

// withAnswer returns digest after an answer with the given HTTP status and latency.
func withAnswer(digest Digest, status int, latency time.Duration) Digest {
	digest.Attempts++
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		digest.Shed++
	case status >= http.StatusInternalServerError:
		digest.Failed++
	default:
		digest.Latency = digest.Latency.WithLatency(latency)
	}
	return digest
}

// Take returns the digests since the last call, sorted by target. It counts attempts as late that have been running for
// LateAfter or longer at now.
func (r *Recorder) Take(now time.Time) []Digest {
	for number, running := range r.running {
		if running.late || now.Sub(running.started) < LateAfter {
			continue
		}
		running.late = true
		r.running[number] = running
		digest := r.digest(running)
		digest.Attempts++
		digest.Late++
		r.digests[running.target] = digest
		r.streaks[running.target]++
	}
	digests := make([]Digest, 0, len(r.digests))
	for _, target := range slices.Sorted(maps.Keys(r.digests)) {
		digest := r.digests[target]
		digest.ConsecutiveFailures = r.streaks[target]
		digests = append(digests, digest)
	}
	clear(r.digests)
	return digests
}

// digest returns the current digest of the target of an attempt.
func (r *Recorder) digest(of attempt) Digest {
	digest := r.digests[of.target]
	digest.Target, digest.Service = of.target, of.service
	return digest
}
