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

// flood sends requests until it is stopped, and keeps when each served one was sent and answered.
type flood struct {
	stop    chan struct{}
	workers sync.WaitGroup

	mu     sync.Mutex
	served []span
	counts map[string]int
}

type span struct{ sent, answered time.Time }

// floodCommand sends requests with a key to several entries, and checks what was served of them: flood start PATH @FILE
// ADDRESS... or flood check RATE BURST LEAST. At least LEAST requests must have been served since the last check.
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
		ts.Fatalf("usage: flood start PATH @FILE ADDRESS... or flood check RATE BURST LEAST")
	}
}

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

func (f *flood) end() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.workers.Wait()
}

// check ends the flood. A request was admitted between when it was sent and when it was answered. So for each window
// from one sending to one answer, the requests that lie wholly in it must fit burst + rate x window.
func (f *flood) check(ts *testscript.TestScript, rate, burst float64, least int) {
	f.end()
	ts.Logf("outcomes: %v", f.counts)
	for outcome := range f.counts {
		if !slices.Contains([]string{"served", "rate-exceeded", "allowance-short"}, outcome) {
			ts.Fatalf("outcome %s", outcome)
		}
	}
	if len(f.served) < least {
		ts.Fatalf("%d requests were served, %d or more should be", len(f.served), least)
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
