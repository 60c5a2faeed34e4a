package summarizer_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/ctl/pkg/summarizer"
)

const log = `
time=2026-01-01T00:00:00.100Z level=INFO msg="route: request matched" request=1 service=bookings
time=2026-01-01T00:00:00.200Z level=INFO msg="route: target chosen" request=1 service=bookings target=a
time=2026-01-01T00:00:00.300Z level=INFO msg="gate: request started" request=1 target=a
time=2026-01-01T00:00:00.400Z level=INFO msg="gate: request refused" request=1 target=a kind=deadline-passed
time=2026-01-01T00:00:00.500Z level=INFO msg="route: request refused" request=1 kind=deadline-passed outcome=unknown
  0.6 control-1 time=2026-01-01T00:00:00.600Z level=INFO msg="eject: target ejected" service=bookings target=a reason="5 of 5 bad"
the process says something else
time=2026-01-01T00:00:00.700Z level=INFO msg="gate: target judged" target=a verdict=suspect
time=2026-01-01T00:00:01.100Z level=INFO msg="route: request matched" request=2 service=bookings
time=2026-01-01T00:00:01.200Z level=INFO msg="route: target chosen" request=2 service=bookings target=b
time=2026-01-01T00:00:01.300Z level=INFO msg="gate: request started" request=2 target=b
time=2026-01-01T00:00:01.400Z level=INFO msg="route: request answered" request=2
time=2026-01-01T00:00:02.100Z level=INFO msg="eject: target returned" service=bookings target=a reason="requests of its trial were good"
time=2026-01-01T00:00:02.200Z level=INFO msg="route: request refused" request=3 kind=rate-exceeded outcome=not-run
time=2026-01-01T00:00:02.300Z level=INFO msg="route: request matched" request=4 service=bookings
time=2026-01-01T00:00:03.100Z level=INFO msg="enroll: target announced" target=b service=bookings leaving=true
time=2026-01-01T00:00:03.200Z level=INFO msg="route: request matched" request=5 service=bookings`

func TestPeriodsTellWhyTargetsAreIdle(t *testing.T) {
	summary := summarizer.New(time.Second)
	assert.NilError(t, summary.Read(strings.NewReader(log)))
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	lastA, lastB := start.Add(300*time.Millisecond), start.Add(1300*time.Millisecond)
	none := map[string]int{}
	assert.DeepEqual(t, summary.Periods(), []summarizer.Period{
		{
			Start: start, Service: "bookings", Requests: 1,
			Unserved: map[string]int{"deadline-passed": 1}, Refused: map[string]int{"deadline-passed": 1},
		},
		{
			Start: start.Add(time.Second), Service: "bookings", Requests: 1, Unserved: none, Refused: none,
			Idle: []summarizer.Idle{{Target: "a", State: "ejected", LastStart: lastA}},
		},
		{Start: start.Add(2 * time.Second), Unserved: map[string]int{"rate-exceeded": 1}, Refused: none},
		{
			Start: start.Add(2 * time.Second), Service: "bookings", Requests: 1, Unserved: none, Refused: none,
			Idle: []summarizer.Idle{{Target: "a", State: "suspect", LastStart: lastA}, {Target: "b", State: "sound", LastStart: lastB}},
		},
		{
			Start: start.Add(3 * time.Second), Service: "bookings", Requests: 1, Unserved: none, Refused: none,
			Idle: []summarizer.Idle{{Target: "a", State: "suspect", LastStart: lastA}},
		},
	})
}
