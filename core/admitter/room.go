package admitter

import "time"

const (
	// roomLifetime is how long a report of a gate is believed. Bursts begin and end within seconds.
	roomLifetime = 2 * time.Second
	// minReports is the number of targets in a region, or all of them if it has fewer, whose reports are needed to call it
	// short: a request tries as many targets before it waits.
	minReports = 3
	// maxReports bounds the targets with a report.
	maxReports = 4096
)

// report is what a gate last said about its target: how long requests of that position in the order wait there.
type report struct {
	class int
	rank  int
	wait  time.Duration
	at    time.Time
}

// Region names a region's part of a service.
type Region struct {
	Service string
	Region  string
}

// Rooms holds what one entry knows of the room that services have in each region. It is not safe for concurrent use.
type Rooms struct {
	reports map[Region]map[string]report
	count   int
}

// NewRooms returns Rooms without knowledge.
func NewRooms() *Rooms { return &Rooms{reports: make(map[Region]map[string]report)} }

// Record records at now that a request waits, or would have waited, at target for wait.
func (r *Rooms) Record(now time.Time, region Region, target string, request Request, wait time.Duration) {
	if r.count >= maxReports {
		clear(r.reports)
		r.count = 0
	}
	if r.reports[region] == nil {
		r.reports[region] = make(map[string]report)
	}
	if _, known := r.reports[region][target]; !known {
		r.count++
	}
	r.reports[region][target] = report{class: request.class(), rank: request.Rank, wait: wait, at: now}
}

// IsShort reports whether any target of service is known at now to make requests wait.
func (r *Rooms) IsShort(now time.Time, service string) bool {
	for region, reports := range r.reports {
		if region.Service != service {
			continue
		}
		for _, report := range reports {
			if report.wait > 0 && now.Sub(report.at) < roomLifetime {
				return true
			}
		}
	}
	return false
}

// Room is what is known of the room for a request in a region: the shortest of the waits that Targets targets report, the
// oldest of which is of that Age. A region without enough reports is not Known.
type Room struct {
	Known   bool
	Wait    time.Duration
	Targets int
	Age     time.Duration
}

// Look returns the room at now for a request in region, where the service has targets. What a gate reported for a request
// counts for those that go after it, not for those that go before it.
func (r *Rooms) Look(now time.Time, region Region, targets int, request Request) Room {
	var room Room
	for target, report := range r.reports[region] {
		age := now.Sub(report.at)
		if age >= roomLifetime {
			delete(r.reports[region], target)
			r.count--
			continue
		}
		wait := report.wait
		if report.class > request.class() || report.class == request.class() && report.rank > request.Rank {
			wait = 0
		}
		if room.Targets == 0 || wait < room.Wait {
			room.Wait = wait
		}
		room.Targets++
		room.Age = max(room.Age, age)
	}
	room.Known = room.Targets > 0 && room.Targets >= min(minReports, targets)
	return room
}

// Admit is the verdict of an entry that a request may be served, or that nothing is known.
type Admit struct{}

func (Admit) verdict() {}

// JudgeRooms decides at now whether an entry rejects a request before its body moves. rooms are those of the regions that the
// request may go to. It is rejected if no region can serve it before its deadline.
func JudgeRooms(now time.Time, request Request, rooms ...Room) Verdict {
	var wait time.Duration
	for i, room := range rooms {
		if !room.Known || !now.Add(room.Wait).After(request.LastStart()) {
			return Admit{}
		}
		if i == 0 || room.Wait < wait {
			wait = room.Wait
		}
	}
	if len(rooms) == 0 {
		return Admit{}
	}
	return Reject{Wait: wait, RoomAt: now.Add(wait)}
}
