// Package simulator plays, in simulated time, a fleet with one service whose targets fail for some seconds at a time. The
// decisions are those of core: entries choose with the router, gates run circuit breakers, and control processes detect
// and eject outliers. Only the network and the targets are models: messages take no time, and a target fails requests by
// chance.
//
// It shows how what nodes do one by one adds up at the size of a whole fleet.
package simulator

import "time"

// Settings describe the fleet, its load and its failures. Nodes is the number of nodes, each of which is an entry; the
// first Targets of them have a target with that many Slots. Controls is the number of control processes that vote on the
// lease on ejections.
type Settings struct {
	Nodes    int
	Controls int
	Targets  int
	Slots    int

	// Rate is in requests per second. Repeatable is the fraction of them that may run more than once.
	Rate       float64
	Repeatable float64
	// Mean is the mean duration of a request, Objective that of its route, and Timeout the time after which it is abandoned.
	Mean      time.Duration
	Objective time.Duration
	Timeout   time.Duration

	// Each target hangs for Spell in each Period, on that fraction of its requests. Errors is the fraction of requests
	// that a target fails at any time.
	Spell  time.Duration
	Period time.Duration
	Hangs  float64
	Errors float64

	// Floor is the fraction of the slots that ejections leave in use.
	Floor  float64
	Length time.Duration
	Seed   uint64
}

// Default returns the settings of a fleet of 83 nodes and 11 control processes, with 50 targets that hang for 3 s of each
// 10 s, each at times of its own.
func Default(seed uint64) Settings {
	return Settings{
		Nodes: 83, Controls: 11, Targets: 50, Slots: 10,
		Rate: 318, Repeatable: 0.38, Mean: 600 * time.Millisecond, Objective: 2 * time.Second, Timeout: 3 * time.Second,
		Spell: 3 * time.Second, Period: 10 * time.Second, Hangs: 0.75, Errors: 0.012,
		Floor: 0.9, Length: 60 * time.Second, Seed: seed,
	}
}

// Window is what happened in two seconds of a run, from Start on. Healthy counts the targets that failed no request then
// or in the two seconds before, and Used those of them that got a request. Ejected counts the targets without requests
// that were ejected or on trial.
type Window struct {
	Start    time.Duration
	Requests int
	Unserved int
	Healthy  int
	Used     int
	Ejected  int
}

// With returns the sum of both windows, with the Start of w.
func (w Window) With(other Window) Window {
	w.Requests += other.Requests
	w.Unserved += other.Unserved
	w.Healthy += other.Healthy
	w.Used += other.Used
	w.Ejected += other.Ejected
	return w
}

// BelowFloor reports whether less than floor of the healthy targets, but at least one, were used, while more than a tenth
// and under half of the requests were not served.
func (w Window) BelowFloor(floor float64) bool {
	unserved := float64(w.Unserved) / float64(max(w.Requests, 1))
	return w.Used > 0 && float64(w.Used) < floor*float64(w.Healthy) && unserved > 0.1 && unserved < 0.5
}
