package registrar_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/registrar"
	"samphiremount.example/core/tracker"
)

// restarts is a node with one target, and two control processes that hold the node's record. All of them restart, and what
// they remember is lost.
type restarts struct {
	node     tracker.Node
	set      registrar.Registrar
	controls [2]tracker.Directory

	// target is the state of the target now, sent holds its announcements that may still arrive.
	target registrar.Announcement
	sent   []registrar.Announcement
	// acknowledged is the departure that the target was told is in force, if there is one.
	acknowledged *tracker.Departure
}

func newRestarts() *restarts {
	r := &restarts{target: announced("a", 1, 0)}
	r.restartNode()
	return r
}

func (r *restarts) restartNode() {
	r.set = registrar.New(0)
	r.node = tracker.Node{Name: "n", Incarnation: r.node.Incarnation + 1, Inherits: true}
}

// announce has the target send its next announcement.
func (r *restarts) announce() registrar.Announcement {
	r.target.Sequence++
	r.sent = append(r.sent, r.target)
	return r.target
}

// report delivers the node's record to the control process number i, whose record of the node comes back.
func (r *restarts) report(i int) {
	r.node.Sequence++
	r.node.Targets, r.node.Departures = r.set.Targets(), r.set.Departures()
	r.controls[i], _ = r.controls[i].With(r.node)
	held, _ := r.controls[i].Node("n")
	r.set, _ = r.set.WithDepartures(start, held.Departures)
}

// synchronize delivers the record of each control process to the other.
func (r *restarts) synchronize() {
	for i := range r.controls {
		r.controls[i], _ = r.controls[i].With(r.controls[1-i].Nodes()...)
	}
}

// depart has the target leave, or begin to leave, and waits until the control process number i has it.
func (r *restarts) depart(i int, left bool) {
	if left {
		r.set, _ = r.set.WithDeparture(start, "a")
	} else {
		r.target.Leaving = true
		r.set, _ = r.set.With(start, r.announce())
	}
	r.report(i)
	if departure, ok := r.set.Departure("a"); ok && departure.StartedAt == r.target.StartedAt {
		r.acknowledged = &departure
	}
}

func (r *restarts) holds(departures []tracker.Departure) bool {
	return slices.ContainsFunc(departures, func(d tracker.Departure) bool { return d.Includes(*r.acknowledged) })
}

// remembered reports whether any process holds the acknowledged departure.
func (r *restarts) remembered() bool {
	return r.holds(r.set.Departures()) || slices.ContainsFunc(r.controls[:], func(d tracker.Directory) bool {
		held, _ := d.Node("n")
		return r.holds(held.Departures)
	})
}

// check fails if a process that holds the acknowledged departure offers the target for requests, as it was before.
func (r *restarts) check(t *rapid.T) {
	if r.acknowledged == nil {
		return
	}
	for _, d := range r.controls {
		held, _ := d.Node("n")
		if !r.holds(held.Departures) {
			continue
		}
		for _, placement := range d.Placements("s") {
			target := placement.Target
			assert.Assert(t, !r.acknowledged.Outdates(target.StartedAt, target.Sequence), "%v is offered after %v", target, *r.acknowledged)
		}
	}
}

// TestAcknowledgedDepartureIsLostByARestart guards against requests for a target that was told that it gets none: nodes and
// control processes restart in any order, and its announcements arrive late and more than once. As long as one process
// remembers the departure, all others learn it.
func TestAcknowledgedDepartureIsLostByARestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRestarts()
		control := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"": r.check,
			"announce": func(*rapid.T) {
				if r.acknowledged == nil || !r.acknowledged.Left {
					r.set, _ = r.set.With(start, r.announce())
				}
			},
			"delay": func(*rapid.T) {
				if r.acknowledged == nil {
					r.announce()
				}
			},
			"deliver": func(t *rapid.T) {
				if len(r.sent) > 0 {
					r.set, _ = r.set.With(start, rapid.SampledFrom(r.sent).Draw(t, "announcement"))
				}
			},
			"drain": func(t *rapid.T) {
				if r.acknowledged == nil {
					r.depart(control.Draw(t, "control"), false)
				}
			},
			"leave":           func(t *rapid.T) { r.depart(control.Draw(t, "control"), true) },
			"report":          func(t *rapid.T) { r.report(control.Draw(t, "control")) },
			"synchronize":     func(*rapid.T) { r.synchronize() },
			"restart node":    func(*rapid.T) { r.restartNode() },
			"restart control": func(t *rapid.T) { r.controls[control.Draw(t, "control")] = tracker.Directory{} },
			"start again": func(*rapid.T) {
				r.target = announced("a", r.target.StartedAt+1, 0)
				r.acknowledged = nil
			},
			"settle": func(t *rapid.T) {
				if r.acknowledged == nil || !r.remembered() {
					return
				}
				for range 2 {
					r.report(0)
					r.report(1)
					r.synchronize()
				}
				for _, d := range r.controls {
					held, _ := d.Node("n")
					assert.Assert(t, r.holds(held.Departures))
				}
				r.check(t)
			},
		})
	})
}
