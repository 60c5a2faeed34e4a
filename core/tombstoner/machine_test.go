package tombstoner_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"samphiremount.example/core/refuser"
	"samphiremount.example/core/tombstoner"
)

// attempt is one attempt of a request, sent to a gate under its own identity.
type attempt struct {
	request  int
	gate     int
	identity tombstoner.Identity
	// replayed marks a copy of a message that was delivered before. An entry reads replies only from the stream of the
	// original message.
	replayed bool
}

// gate is a gate with the attempts that run on its target. Its clock restarts with each incarnation.
type gate struct {
	incarnation uint64
	clock       tombstoner.GateTime
	tombstoner  *tombstoner.Tombstoner
	running     []attempt
}

// world holds two gates, requests that are not repeatable, and a network that loses, delays, duplicates and reorders
// messages. The messages in transit are in heads (heads of requests) and in tombstones (requests for a tombstone). The
// maps are keyed by request: waiting holds the attempt whose result the entry waits for, answered the outcome that the
// caller got, and runs how often the request was run.
type world struct {
	gates      []gate
	heads      []attempt
	tombstones []attempt
	waiting    map[int]attempt
	answered   map[int]string
	runs       map[int]int
	attempts   int
}

// send has the entry of request send a new attempt to a gate.
func (w *world) send(t *rapid.T, request int) {
	gateIndex := rapid.IntRange(0, len(w.gates)-1).Draw(t, "gate")
	g := &w.gates[gateIndex]
	w.attempts++
	// The entry's estimate of the gate's clock may be wrong in either direction, and the incarnation it knows out of
	// date.
	startBefore := g.clock + tombstoner.GateTime(rapid.IntRange(-2_000, 9_000).Draw(t, "window"))
	incarnation := g.incarnation - uint64(rapid.IntRange(0, 9).Draw(t, "stale")/9)
	identity := tombstoner.Identity{ID: fmt.Sprint(w.attempts), Incarnation: incarnation, StartBefore: startBefore}
	a := attempt{request: request, gate: gateIndex, identity: identity}
	w.waiting[request] = a
	w.heads = append(w.heads, a)
}

// conclude reports the outcome of an attempt to the entry that waits for it. After NotRun, the entry answers the caller
// or sends another attempt.
func (w *world) conclude(t *rapid.T, a attempt, outcome refuser.Outcome) {
	if a.replayed || w.waiting[a.request].identity != a.identity || w.answered[a.request] != "" {
		return
	}
	delete(w.waiting, a.request)
	switch outcome.(type) {
	case refuser.NotRun:
		if rapid.Bool().Draw(t, "retry") {
			w.send(t, a.request)
			return
		}
		w.answered[a.request] = "not-run"
	case refuser.Ran, refuser.Unknown:
		w.answered[a.request] = outcome.String()
	}
}

// take removes a message from the network, or copies it to deliver it once more later.
func take(t *rapid.T, messages *[]attempt) (attempt, bool) {
	if len(*messages) == 0 {
		return attempt{}, false
	}
	i := rapid.IntRange(0, len(*messages)-1).Draw(t, "message")
	a := (*messages)[i]
	if rapid.IntRange(0, 3).Draw(t, "duplicate") == 0 {
		(*messages)[i].replayed = true
		return a, true
	}
	*messages = slices.Delete(*messages, i, i+1)
	return a, true
}

// reply reports whether the network delivers a reply.
func reply(t *rapid.T) bool { return rapid.IntRange(0, 2).Draw(t, "reply") > 0 }

// deliver has a gate receive the head of a request, unless it is lost.
func (w *world) deliver(t *rapid.T) {
	a, ok := take(t, &w.heads)
	if !ok || rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		return
	}
	g := &w.gates[a.gate]
	switch verdict := g.tombstoner.Start(g.clock, a.identity); verdict {
	case tombstoner.Go:
		if rapid.IntRange(0, 4).Draw(t, "unreachable") == 0 {
			g.tombstoner.Finish(g.clock, a.identity.ID, false)
			if reply(t) {
				w.conclude(t, a, refuser.NotRun{})
			}
			return
		}
		w.runs[a.request]++
		g.running = append(g.running, a)
	default:
		if reply(t) {
			w.conclude(t, a, verdict.Outcome())
		}
	}
}

func (w *world) finish(t *rapid.T) {
	g := &w.gates[rapid.IntRange(0, len(w.gates)-1).Draw(t, "gate")]
	if len(g.running) == 0 {
		return
	}
	a := g.running[0]
	g.running = g.running[1:]
	g.tombstoner.Finish(g.clock, a.identity.ID, true)
	if reply(t) {
		w.conclude(t, a, refuser.Ran{})
	}
}

func (w *world) placeTombstone(t *rapid.T) {
	a, ok := take(t, &w.tombstones)
	if !ok {
		return
	}
	g := &w.gates[a.gate]
	state := g.tombstoner.PlaceTombstone(g.clock, a.identity)
	if reply(t) {
		w.conclude(t, a, tombstoner.Outcome(state))
	}
}

func (w *world) restart(t *rapid.T) {
	g := &w.gates[rapid.IntRange(0, len(w.gates)-1).Draw(t, "gate")]
	g.incarnation++
	*g = gate{incarnation: g.incarnation, tombstoner: tombstoner.New(g.incarnation, 6)}
}

// raise has a gate continue as a later incarnation, with what runs there.
func (w *world) raise(t *rapid.T) {
	g := &w.gates[rapid.IntRange(0, len(w.gates)-1).Draw(t, "gate")]
	g.incarnation++
	g.tombstoner.Raise(g.incarnation)
}

func (w *world) check(t *rapid.T) {
	for request, runs := range w.runs {
		if runs > 1 {
			t.Fatalf("request %d ran %d times", request, runs)
		}
		if runs > 0 && w.answered[request] == "not-run" {
			t.Fatalf("request %d was answered with not-run and ran", request)
		}
	}
}

// TestNotRunIsTrueAndNothingRunsTwice runs the tombstoners of two gates through random histories and checks two
// guarantees after each step: a request that was answered with not-run did not run, and no request ran twice.
func TestNotRunIsTrueAndNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{waiting: map[int]attempt{}, answered: map[int]string{}, runs: map[int]int{}}
		for range 2 {
			w.gates = append(w.gates, gate{incarnation: 1, tombstoner: tombstoner.New(1, 6)})
		}
		requests := 0
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) { requests++; w.send(t, requests) },
			"arrive":  w.deliver,
			"finish":  w.finish,
			"silence": func(t *rapid.T) {
				if requests == 0 {
					return
				}
				if a, ok := w.waiting[rapid.IntRange(1, requests).Draw(t, "request")]; ok {
					w.tombstones = append(w.tombstones, a)
				}
			},
			"bury":    w.placeTombstone,
			"restart": w.restart,
			"raise":   w.raise,
			"time": func(t *rapid.T) {
				g := &w.gates[rapid.IntRange(0, len(w.gates)-1).Draw(t, "gate")]
				g.clock += tombstoner.GateTime(rapid.IntRange(1, 12_000).Draw(t, "passed"))
			},
			"": w.check,
		})
	})
}
