package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/coordinator"
	"samphiremount.example/core/detector"
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/observer"
)

const (
	controls = 3
	targets  = 6
	slots    = 5

	// unreachable is the home of a node that can reach no control process.
	unreachable = -1

	// detectionTime bounds how long the fleet may take to react to the loss of a target. The target counts as present for
	// 3 s after a report that was in transit for up to 1 s, and a list is valid for 4 s, lengthened by a tenth, after its
	// last round.
	detectionTime = 10 * time.Second
)

var start = time.Unix(1_000_000, 0)

// world simulates three control processes and six targets of one service, with one node for each target. home is the
// control process that a node reports to. The check of the floor uses only which targets are alive and which list each
// node follows; it does not depend on leases.
type world struct {
	now          time.Time
	floor        int
	coordinators [controls]*coordinator.Coordinator
	tokens       uint64
	partitioned  [controls][controls]bool
	messages     []message
	alive        [targets]bool
	gray         [targets]bool
	home         [targets]int
	lost         time.Time
	lists        [targets][]ejector.Ejection
	listDeadline [targets]time.Time
	ejected      int
}

type message struct {
	from, to    int
	sent        time.Time
	request     *coordinator.Request
	requester   *coordinator.Coordinator
	requestedAt time.Time
	reply       coordinator.Reply
}

func newWorld(floor int) *world {
	w := &world{now: start, floor: floor, lost: start.Add(-time.Hour)}
	for i := range controls {
		w.restart(i)
	}
	for i := range targets {
		w.alive[i], w.home[i] = true, i%controls
	}
	return w
}

func name(i int) string { return fmt.Sprint("control", i) }

func (w *world) restart(i int) {
	var peers []string
	for j := range controls {
		if j != i {
			peers = append(peers, name(j))
		}
	}
	w.tokens += 1_000_000
	w.coordinators[i] = coordinator.New(w.now, name(i), peers, detector.NewThreshold(detector.Caroni), w.tokens)
}

// report sends the digest of a node to a control process. The answer arrives after delay. The node measures the validity
// of the list from when it sent the report.
func (w *world) report(node, control int, delay time.Duration) {
	if !w.alive[node] || control == unreachable {
		return
	}
	digest := observer.Digest{Target: fmt.Sprint("target", node), Service: "bookings", Slots: slots, Attempts: 20}
	if w.gray[node] {
		digest.Failed, digest.ConsecutiveFailures = 20, 20
	}
	requestedAt := w.now
	list, deadline := w.coordinators[control].Observe(w.now, []observer.Digest{digest})
	w.now = w.now.Add(delay)
	w.lists[node], w.listDeadline[node] = list, requestedAt.Add(deadline.Sub(requestedAt))
}

func (w *world) sendRequests(i int) {
	if !w.coordinators[i].ShouldRequest(w.now) {
		return
	}
	for j := range controls {
		if j != i {
			request := w.coordinators[i].Request(w.now, name(j))
			w.messages = append(w.messages, message{from: i, to: j, sent: w.now, request: &request, requester: w.coordinators[i]})
		}
	}
}

// deliver delivers one message that is in transit. Messages over a partitioned link are dropped.
func (w *world) deliver(at int) {
	m := w.messages[at]
	w.messages = slices.Delete(w.messages, at, at+1)
	switch {
	case w.partitioned[m.from][m.to]:
	case m.request != nil:
		reply := w.coordinators[m.to].HandleRequest(w.now, *m.request)
		w.messages = append(w.messages, message{from: m.to, to: m.from, requestedAt: m.sent, reply: reply, requester: m.requester})
	case w.coordinators[m.to] != m.requester:
		// The process that sent the request has restarted since.
	default:
		w.coordinators[m.to].HandleReply(name(m.from), m.requestedAt, m.reply)
	}
}

func (w *world) runRound(i int) {
	for _, decision := range w.coordinators[i].RunRound(w.now, func(string, int) int { return w.floor }) {
		if _, ok := decision.Decision.(ejector.Ejected); ok {
			w.ejected++
		}
	}
}

// steps runs the regular schedule: every half second, each node reports and each control process sends requests and runs
// a round. It calls check after each round and each half second.
func (w *world) steps(t *rapid.T, count int, check func()) {
	for range count {
		for i := range targets {
			w.report(i, w.home[i], 0)
		}
		for i := range controls {
			w.sendRequests(i)
			for len(w.messages) > 0 && rapid.IntRange(0, 9).Draw(t, "late") > 0 {
				w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(t, "message"))
			}
		}
		for i := range controls {
			w.runRound(i)
			check()
		}
		w.now = w.now.Add(500 * time.Millisecond)
		check()
	}
}

// missingSlots returns by how many slots the usable capacity falls short of the floor, or of the capacity that is alive
// if that is less. A target is usable if it is alive and no node ejects it.
func (w *world) missingSlots() int {
	present, left := 0, 0
	for i := range targets {
		if !w.alive[i] {
			continue
		}
		present += slots
		if !w.ejectedAnywhere(fmt.Sprint("target", i)) {
			left += slots
		}
	}
	return min(w.floor, present) - left
}

func (w *world) ejectedAnywhere(target string) bool {
	for node := range targets {
		followed := w.alive[node] && w.now.Before(w.listDeadline[node])
		if followed && slices.ContainsFunc(w.lists[node], func(e ejector.Ejection) bool { return e.Target == target }) {
			return true
		}
	}
	return false
}

// TestEjectionsKeepTheFloor runs random races between control processes, one-way partitions, late and lost messages, restarts
// and losses of targets. The capacity that is alive and that no node has ejected must not be below the floor, unless it
// would be below without any ejection or a target was lost within the last detectionTime.
func TestEjectionsKeepTheFloor(t *testing.T) {
	ejected := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, targets*slots).Draw(t, "floor"))
		check := func() {
			if short := w.missingSlots(); short > 0 && w.now.Sub(w.lost) > detectionTime {
				t.Fatalf("%d slots below the floor of %d at %s", short, w.floor, w.now.Sub(start))
			}
		}
		w.steps(t, 20, check)
		control, target := rapid.IntRange(0, controls-1), rapid.IntRange(0, targets-1)
		t.Repeat(map[string]func(*rapid.T){
			"":    func(*rapid.T) { check() },
			"run": func(t *rapid.T) { w.steps(t, rapid.IntRange(1, 30).Draw(t, "steps"), check) },
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"report": func(t *rapid.T) {
				w.report(target.Draw(t, "node"), control.Draw(t, "control"), time.Duration(rapid.IntRange(0, 1000).Draw(t, "late"))*time.Millisecond)
			},
			"ask": func(t *rapid.T) { w.sendRequests(control.Draw(t, "control")) },
			"retreat": func(t *rapid.T) {
				if i := control.Draw(t, "control"); !w.coordinators[i].Holds(w.now) {
					w.coordinators[i].StepDown(w.now, w.now)
				}
			},
			"judge": func(t *rapid.T) { w.runRound(control.Draw(t, "control")) },
			"deliver": func(t *rapid.T) {
				if len(w.messages) > 0 {
					w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(t, "message"))
				}
			},
			"wander": func(t *rapid.T) {
				majority := control.Draw(t, "majority")
				for i := range targets {
					w.gray[i] = rapid.Bool().Draw(t, "gray")
					if home := rapid.IntRange(unreachable, controls+1).Draw(t, "home"); home < controls {
						w.home[i] = home
					} else {
						w.home[i] = majority
					}
				}
				w.steps(t, rapid.IntRange(1, 15).Draw(t, "steps"), check)
			},
			"isolate": func(t *rapid.T) {
				alone := control.Draw(t, "alone")
				for i := range controls {
					w.partitioned[alone][i], w.partitioned[i][alone] = true, true
				}
			},
			"cut":     func(t *rapid.T) { w.partitioned[control.Draw(t, "from")][control.Draw(t, "to")] = true },
			"heal":    func(*rapid.T) { w.partitioned = [controls][controls]bool{} },
			"restart": func(t *rapid.T) { w.restart(control.Draw(t, "control")) },
			"gray":    func(t *rapid.T) { i := target.Draw(t, "target"); w.gray[i] = !w.gray[i] },
			"fail":    func(*rapid.T) { w.gray = [targets]bool{true, true, true, true, true, true} },
			"lose": func(t *rapid.T) {
				w.alive[target.Draw(t, "target")] = false
				w.lost = w.now
			},
			"join": func(t *rapid.T) { w.alive[target.Draw(t, "target")] = true },
		})
		ejected += w.ejected
	})
	assert.Assert(t, ejected > 0, "nothing was ever ejected")
	t.Logf("%d ejections", ejected)
}
