package scenarios_test

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const floodInterval = 5 * time.Millisecond

// flood sends requests until it is stopped. It records when each served request was sent and answered, and counts all
// outcomes.
type flood struct {
	stop    chan struct{}
	workers sync.WaitGroup

	mu     sync.Mutex
	served []span
	counts map[string]int
}

// span is the time between sending a request and the end of its response.
type span struct{ sent, answered time.Time }

// floodCommand starts to send requests with a key, the last line of FILE, to several entries at once:
// flood start PATH @FILE ADDRESS... Later it stops them and checks that the served requests kept to the limit:
// flood check RATE BURST MIN. At least MIN requests must have been served.
func floodCommand(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	switch args[0] {
	case "start":
		f.flood = &flood{stop: make(chan struct{}), counts: make(map[string]int)}
		ts.Defer(f.flood.end)
		lines := strings.Split(strings.TrimSpace(ts.ReadFile(strings.TrimPrefix(args[2], "@"))), "\n")
		for _, address := range args[3:] {
			f.flood.startWorker(ts, address, args[1], "Bearer "+lines[len(lines)-1])
		}
	case "check":
		var numbers []float64
		for _, text := range args[1:] {
			number, err := strconv.ParseFloat(text, 64)
			ts.Check(err)
			numbers = append(numbers, number)
		}
		f.flood.check(ts, numbers[0], numbers[1], int(numbers[2]))
	default:
		ts.Fatalf("usage: flood start PATH @FILE ADDRESS... or flood check RATE BURST MIN")
	}
}

// startWorker sends a request to address each floodInterval, or as soon as the previous one is answered if that is later.
func (f *flood) startWorker(ts *testscript.TestScript, address, path, key string) {
	f.workers.Go(func() {
		ticker := time.NewTicker(floodInterval)
		defer ticker.Stop()
		for {
			select {
			case <-f.stop:
				return
			case <-ticker.C:
			}
			sent := time.Now()
			outcome, _ := ask(ts, "GET", address, path, []string{"Authorization=" + key})
			f.record(outcome, span{sent, time.Now()})
		}
	})
}

func (f *flood) record(outcome string, s span) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[outcome]++
	if outcome == "served" {
		f.served = append(f.served, s)
	}
}

// end stops the workers and waits for them. It may be called more than once.
func (f *flood) end() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.workers.Wait()
}

// check ends the flood and checks the served requests. Each was admitted some time between its sending and its answer. So
// in each window from the sending of one request to the answer of another, the number of requests that lie wholly in the
// window may be at most burst + rate x window. Any outcome other than "served" and the two refusals of the rate limiter
// fails the scenario.
func (f *flood) check(ts *testscript.TestScript, rate, burst float64, minServed int) {
	f.end()
	ts.Logf("outcomes: %v", f.counts)
	for outcome := range f.counts {
		if !slices.Contains([]string{"served", "rate-exceeded", "allowance-short"}, outcome) {
			ts.Fatalf("unexpected outcome %s", outcome)
		}
	}
	if len(f.served) < minServed {
		ts.Fatalf("%d requests were served, want at least %d", len(f.served), minServed)
	}
	slices.SortFunc(f.served, func(a, b span) int { return a.answered.Compare(b.answered) })
	for _, first := range f.served {
		inside := 0.0
		for _, last := range f.served {
			if last.sent.Before(first.sent) {
				continue
			}
			inside++
			if window := last.answered.Sub(first.sent); inside > burst+rate*window.Seconds() {
				ts.Fatalf("%g requests were admitted within %s", inside, window)
			}
		}
	}
}
