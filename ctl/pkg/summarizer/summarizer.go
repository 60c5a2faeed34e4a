// Package summarizer condenses the log lines of all processes of a fleet: for each period and service, how many requests
// came, why some were not served, and which targets got none.
package summarizer

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Period is what the logs say of one service from Start on. Unserved counts the requests that callers got a refusal for,
// by kind, and Refused the attempts that gates refused, by kind. Idle holds the targets without an attempt.
type Period struct {
	Start    time.Time
	Service  string
	Requests int
	Unserved map[string]int
	Refused  map[string]int
	Idle     []Idle
}

// Idle is a target that started no request in a period although it had started some before, and that had not left. State
// is "ejected", "trial", or the verdict of its gate. Chosen counts how often entries chose it in that period.
type Idle struct {
	Target    string
	State     string
	Chosen    int
	LastStart time.Time
}

// Summarizer collects log lines, which may come in any order except that those of one process follow each other by
// time. It keeps the services of open requests, and for each target the periods in which it was used and its changes of
// state.
type Summarizer struct {
	length   time.Duration
	services map[string]string
	periods  map[key]*Period
	targets  map[string]*target
}

// key identifies a period of a service.
type key struct {
	start   time.Time
	service string
}

// target is what the logs say of one target.
type target struct {
	service string
	chosen  map[time.Time]int
	starts  map[time.Time]time.Time
	changes []change
}

// change is a change of a target's state, with an empty verdict, ejection or presence for what stays as it was.
type change struct {
	at       time.Time
	verdict  string
	ejection string
	presence string
}

// The values of change.presence.
const (
	present = "present"
	gone    = "gone"
)

// New returns a Summarizer of periods of that length.
func New(length time.Duration) *Summarizer {
	return &Summarizer{
		length: length, services: make(map[string]string), periods: make(map[key]*Period), targets: make(map[string]*target),
	}
}

// line is the part of a log line that counts here.
type line struct {
	at         time.Time
	message    string
	attributes map[string]string
}

// Read adds the lines of r. Lines that are not log lines are skipped.
func (s *Summarizer) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if parsed, ok := parse(scanner.Bytes()); ok {
			s.add(parsed)
		}
	}
	return errors.Wrap(scanner.Err(), "read log")
}

// parse returns the parts of a log line. Words before its first attribute, such as the name of a process, are ignored.
func parse(text []byte) (line, bool) {
	parsed := line{attributes: make(map[string]string)}
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			parsed.attributes[string(decoder.Key())] = string(decoder.Value())
		}
	}
	if decoder.Err() != nil {
		return line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, parsed.attributes["time"])
	parsed.at, parsed.message = at, parsed.attributes["msg"]
	return parsed, err == nil && parsed.message != ""
}

func (s *Summarizer) add(l line) {
	s.addRequest(l)
	s.addAttempt(l)
	if made, ok := changeOf(l); ok {
		t := s.target(l.attributes["target"])
		t.changes = append(t.changes, made)
	}
}

// addRequest counts a request or its refusal.
func (s *Summarizer) addRequest(l line) {
	request, start := l.attributes["request"], l.at.Truncate(s.length)
	switch l.message {
	case "route: request matched":
		s.services[request] = l.attributes["service"]
		s.period(start, l.attributes["service"]).Requests++
	case "route: request answered":
		delete(s.services, request)
	case "route: request refused":
		s.period(start, s.services[request]).Unserved[l.attributes["kind"]]++
		delete(s.services, request)
	}
}

// addAttempt counts an attempt on a target.
func (s *Summarizer) addAttempt(l line) {
	name, start := l.attributes["target"], l.at.Truncate(s.length)
	switch l.message {
	case "route: target chosen":
		t := s.target(name)
		t.service = l.attributes["service"]
		t.chosen[start]++
	case "gate: request started":
		s.target(name).starts[start] = l.at
	case "gate: request refused":
		if t := s.target(name); t.service != "" {
			s.period(start, t.service).Refused[l.attributes["kind"]]++
		}
	}
}

// changeOf returns the change of a target's state that a line tells, or false if it tells none.
func changeOf(l line) (change, bool) {
	switch l.message {
	case "gate: target judged":
		return change{at: l.at, verdict: l.attributes["verdict"]}, true
	case "eject: target ejected", "eject: target on trial", "eject: target returned":
		words := strings.Fields(l.message)
		return change{at: l.at, ejection: words[len(words)-1]}, true
	case "enroll: target announced":
		if l.attributes["leaving"] == "true" {
			return change{at: l.at, presence: gone}, true
		}
		return change{at: l.at, presence: present}, true
	case "enroll: target left", "enroll: target removed":
		return change{at: l.at, presence: gone}, true
	default:
		return change{}, false
	}
}

func (s *Summarizer) period(start time.Time, service string) *Period {
	at := key{start, service}
	if s.periods[at] == nil {
		s.periods[at] = &Period{Start: start, Service: service, Unserved: make(map[string]int), Refused: make(map[string]int)}
	}
	return s.periods[at]
}

func (s *Summarizer) target(name string) *target {
	if s.targets[name] == nil {
		s.targets[name] = &target{chosen: make(map[time.Time]int), starts: make(map[time.Time]time.Time)}
	}
	return s.targets[name]
}

// Periods returns the periods with requests, by time and service. Requests that were refused before they matched a route
// are under the empty service.
func (s *Summarizer) Periods() []Period {
	for _, t := range s.targets {
		slices.SortStableFunc(t.changes, func(a, b change) int { return a.at.Compare(b.at) })
	}
	periods := make([]Period, 0, len(s.periods))
	for _, period := range s.periods {
		period.Idle = s.idle(*period)
		periods = append(periods, *period)
	}
	slices.SortFunc(periods, func(a, b Period) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Service, b.Service))
	})
	return periods
}

// idle returns the targets of the period's service without an attempt in it, by name.
func (s *Summarizer) idle(period Period) []Idle {
	var idle []Idle
	for name, t := range s.targets {
		if t.service != period.Service || !t.starts[period.Start].IsZero() {
			continue
		}
		var last time.Time
		for _, started := range t.starts {
			if started.Before(period.Start) && started.After(last) {
				last = started
			}
		}
		state, isPresent := t.state(period.Start.Add(s.length))
		if !last.IsZero() && isPresent {
			idle = append(idle, Idle{Target: name, State: state, Chosen: t.chosen[period.Start], LastStart: last})
		}
	}
	slices.SortFunc(idle, func(a, b Idle) int { return cmp.Compare(a.Target, b.Target) })
	return idle
}

// state returns the state of the target before a time, and whether it was present.
func (t *target) state(before time.Time) (name string, isPresent bool) {
	verdict, ejection, presence := "sound", "returned", present
	for _, changed := range t.changes {
		if !changed.at.Before(before) {
			break
		}
		verdict, ejection = cmp.Or(changed.verdict, verdict), cmp.Or(changed.ejection, ejection)
		presence = cmp.Or(changed.presence, presence)
	}
	if ejection != "returned" {
		return ejection, presence == present
	}
	return verdict, presence == present
}
