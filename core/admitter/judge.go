package admitter

import "time"

const (
	// waitFraction is the fraction of the time until a request's objective, or after that until its deadline, for which it
	// waits at one target although the wait is expected to be short. The rest is enough for another target to serve it.
	waitFraction = 0.4
	// nestedFraction is the fraction of the time until the last start of a nested call for which it waits at one target. Its
	// run fails without it, and it is the next to get a slot there.
	nestedFraction = 0.5
	// maxWait bounds the wait of a request that is expected to wait for less.
	maxWait = time.Second
	// MaxBar bounds how long an entry avoids a target that sheds load. It is shorter than the pause between two trials there, so
	// that the target gets them also from entries that send few requests.
	MaxBar = time.Second
	// waitMargin is the factor by which an expected wait may be exceeded before the request tries another target.
	waitMargin = 2
)

// Place is the place that a request would take at a target. Free slots are idle, and the waiters ahead of it need Work.
// PaceWait is how long it waits for its turn at a target that sheds load, and Reopens how long until that is expected to accept
// requests, if it accepts none.
type Place struct {
	Slots    int
	Free     int
	Ahead    int
	Work     time.Duration
	PaceWait time.Duration
	Reopens  time.Duration
}

// Wait returns how long a request that needs work is expected to wait in this place. Running requests end at random, so the
// next slot is free after the mean work divided by the slots.
func (p Place) Wait(work time.Duration) time.Duration {
	if p.Free > p.Ahead {
		return p.PaceWait
	}
	return max(p.PaceWait, (p.Work+work)/time.Duration(max(p.Slots, 1)))
}

// Verdict is Queue, Reject or Pass at a gate, and Admit or Reject at an entry.
type Verdict interface{ verdict() }

// Queue lets the request wait at the target until Until. Wait is the expected wait.
type Queue struct {
	Wait  time.Duration
	Until time.Time
}

// Reject states that the request cannot be served here before its deadline. Room is expected at RoomAt.
type Reject struct {
	Wait   time.Duration
	RoomAt time.Time
}

// Pass states that another target may serve the request sooner. This one has room at RoomAt. Paced is set if it sheds load: it is
// to be avoided until then, but for no longer than MaxBar.
type Pass struct {
	Wait   time.Duration
	RoomAt time.Time
	Paced  bool
}

func (Queue) verdict()  {}
func (Reject) verdict() {}
func (Pass) verdict()   {}

// Judge decides whether a request that would take place waits at the target. If immediate is set, it tries other targets before
// it waits for a slot. It does not wait at a target that sheds load if it would be late there and can be on time elsewhere. It
// waits longer than usual where the expected wait is longer, since its attempts elsewhere have found no free slot.
func Judge(now time.Time, request Request, place Place, immediate bool) Verdict {
	wait := place.Wait(request.Work)
	roomAt := now.Add(wait)
	late := request.OnTime(now) && !request.OnTime(roomAt)
	switch {
	case roomAt.After(request.LastStart()):
		return Reject{Wait: wait, RoomAt: roomAt}
	case place.PaceWait > 0 && (immediate || late):
		return Pass{Wait: wait, RoomAt: now.Add(max(wait, place.Reopens)), Paced: true}
	case immediate && (place.Free == 0 || place.Ahead > 0):
		return Pass{Wait: wait, RoomAt: roomAt}
	}
	return Queue{Wait: wait, Until: request.patience(now, wait)}
}

// patience returns the time until which the request waits at a target if it is expected to wait for wait.
func (r Request) patience(now time.Time, wait time.Duration) time.Time {
	end := r.Deadline
	if r.Objective > 0 && r.OnTime(now) {
		end = r.LatestStart.Add(r.Work)
	}
	patience := max(min(time.Duration(waitFraction*float64(end.Sub(now))), maxWait), waitMargin*wait)
	if r.Nested {
		patience = max(patience, time.Duration(nestedFraction*float64(r.LastStart().Sub(now))))
	}
	until := now.Add(patience)
	if until.After(r.LastStart()) {
		return r.LastStart()
	}
	return until
}
