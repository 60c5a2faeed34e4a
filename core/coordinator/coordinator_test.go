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

	// unheard is the home of a node that reaches no control process.
	unheard = -1

	// noticed bounds how long the fleet may take to act on a lost target: its presence is believed for 3 s after a
	// report that was up to 1 s on its way, and a list counts for 4 s, lengthened by a tenth, after its last round.
	noticed = 10 * time.Second
)

var start = time.Unix(1_000_000, 0)

// world is three control processes and six targets of one service with a node each. The oracle knows which targets are
// there and which list each node follows; it knows nothing of leases.
type world struct {
	now      time.Time
	floor    int
	arbiters [controls]*coordinator.Coordinator
	tokens   uint64
	cut      [controls][controls]bool
	messages []message
	alive    [targets]bool
	gray     [targets]bool
	home     [targets]int
	lost     time.Time
	lists    [targets][]ejector.Ejection
	until    [targets]time.Time
	ejected  int
}

type message struct {
	from, to int
	sent     time.Time
	request  *coordinator.Request
	asker    *coordinator.Coordinator
	asked    time.Time
	reply    coordinator.Reply
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
	w.arbiters[i] = coordinator.New(w.now, name(i), peers, detector.NewThreshold(detector.Caroni), w.tokens)
}

// report sends a node's digest to a control process. The answer may be late; the node counts from its question.
func (w *world) report(node, control int, late time.Duration) {
	if !w.alive[node] || control == unheard {
		return
	}
	digest := observer.Digest{Target: fmt.Sprint("target", node), Service: "bookings", Slots: slots, Attempts: 20}
	if w.gray[node] {
		digest.Failed, digest.ConsecutiveFailures = 20, 20
	}
	asked := w.now
	list, deadline := w.arbiters[control].Observe(w.now, []observer.Digest{digest})
	w.now = w.now.Add(late)
	w.lists[node], w.until[node] = list, asked.Add(deadline.Sub(asked))
}

func (w *world) ask(i int) {
	if !w.arbiters[i].ShouldRequest(w.now) {
		return
	}
	for j := range controls {
		if j != i {
			request := w.arbiters[i].Request(w.now, name(j))
			w.messages = append(w.messages, message{from: i, to: j, sent: w.now, request: &request, asker: w.arbiters[i]})
		}
	}
}

// deliver takes one message off the network. Messages over a cut link are dropped.
func (w *world) deliver(at int) {
	m := w.messages[at]
	w.messages = slices.Delete(w.messages, at, at+1)
	switch {
	case w.cut[m.from][m.to]:
	case m.request != nil:
		reply := w.arbiters[m.to].HandleRequest(w.now, *m.request)
		w.messages = append(w.messages, message{from: m.to, to: m.from, asked: m.sent, reply: reply, asker: m.asker})
	case w.arbiters[m.to] != m.asker:
		// The call ended with the process that made it.
	default:
		w.arbiters[m.to].HandleReply(name(m.from), m.asked, m.reply)
	}
}

func (w *world) judge(i int) {
	for _, decision := range w.arbiters[i].RunRound(w.now, func(string, int) int { return w.floor }) {
		if _, ok := decision.Decision.(ejector.Ejected); ok {
			w.ejected++
		}
	}
}

// steps runs the regular schedule: every half second each process asks and judges, and each node reports.
func (w *world) steps(t *rapid.T, count int, check func()) {
	for range count {
		for i := range targets {
			w.report(i, w.home[i], 0)
		}
		for i := range controls {
			w.ask(i)
			for len(w.messages) > 0 && rapid.IntRange(0, 9).Draw(t, "late") > 0 {
				w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(t, "message"))
			}
		}
		for i := range controls {
			w.judge(i)
			check()
		}
		w.now = w.now.Add(500 * time.Millisecond)
		check()
	}
}

// shortfall returns by how many slots ejections of any node take the healthy capacity below the floor.
func (w *world) shortfall() int {
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
		followed := w.alive[node] && w.now.Before(w.until[node])
		if followed && slices.ContainsFunc(w.lists[node], func(e ejector.Ejection) bool { return e.Target == target }) {
			return true
		}
	}
	return false
}

// TestFloorHolds draws races of judges, one-way cuts, late and lost messages, restarts and losses of capacity. The
// capacity that is there and that no node has ejected never stays below the floor, unless it is below without any
// ejection, or a target was lost within the time that it takes to notice.
func TestFloorHolds(t *testing.T) {
	ejected := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, targets*slots).Draw(t, "floor"))
		check := func() {
			if short := w.shortfall(); short > 0 && w.now.Sub(w.lost) > noticed {
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
			"ask": func(t *rapid.T) { w.ask(control.Draw(t, "control")) },
			"retreat": func(t *rapid.T) {
				if i := control.Draw(t, "control"); !w.arbiters[i].Holds(w.now) {
					w.arbiters[i].StepDown(w.now, w.now)
				}
			},
			"judge": func(t *rapid.T) { w.judge(control.Draw(t, "control")) },
			"deliver": func(t *rapid.T) {
				if len(w.messages) > 0 {
					w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(t, "message"))
				}
			},
			"wander": func(t *rapid.T) {
				most := control.Draw(t, "most")
				for i := range targets {
					w.gray[i] = rapid.Bool().Draw(t, "gray")
					if home := rapid.IntRange(unheard, controls+1).Draw(t, "home"); home < controls {
						w.home[i] = home
					} else {
						w.home[i] = most
					}
				}
				w.steps(t, rapid.IntRange(1, 15).Draw(t, "steps"), check)
			},
			"isolate": func(t *rapid.T) {
				alone := control.Draw(t, "alone")
				for i := range controls {
					w.cut[alone][i], w.cut[i][alone] = true, true
				}
			},
			"cut":     func(t *rapid.T) { w.cut[control.Draw(t, "from")][control.Draw(t, "to")] = true },
			"heal":    func(*rapid.T) { w.cut = [controls][controls]bool{} },
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
