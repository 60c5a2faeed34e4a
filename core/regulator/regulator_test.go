package regulator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/regulator"
)

var start = time.Unix(1000, 0)

// TestArrivalsStayWithinTheLimit draws requests, answers, reports and restarts of the gate, and checks that in each 4 s a
// target gets no more than half above its limit plus 5 requests.
func TestArrivalsStayWithinTheLimit(t *testing.T) {
	const window, delay = 4 * time.Second, time.Second
	rapid.Check(t, func(t *rapid.T) {
		limit := regulator.Limit{Rate: rapid.SampledFrom([]float64{0, 0.5, 1, 7.5, 60}).Draw(t, "rate"), Named: true}
		r := regulator.Regulator{}.WithAnswer(start, limit)
		var arrivals []time.Time
		for now, step := start, 0; step < 400; step++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "interval")) * time.Millisecond)
			switch rapid.IntRange(0, 20).Draw(t, "action") {
			case 0:
				r = regulator.Regulator{}
			case 1:
				r = r.WithAnswer(now, limit)
			default:
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					var ok bool
					if r, _, ok = r.WithReport(now, limit).Admit(now); !ok {
						continue
					}
					if rapid.IntRange(0, 9).Draw(t, "sent") == 0 {
						r = r.WithReturn()
						continue
					}
					// A request that got its token may wait for a slot.
					arrivals = append(arrivals, now.Add(time.Duration(rapid.Int64Range(0, int64(delay)).Draw(t, "wait"))))
				}
			}
		}
		for _, from := range arrivals {
			count := 0
			for _, at := range arrivals {
				if !at.Before(from) && at.Before(from.Add(window)) {
					count++
				}
			}
			assert.Assert(t, float64(count) <= 1.5*limit.Rate*window.Seconds()+5, "%d arrivals at a limit of %v", count, limit.Rate)
		}
	})
}

func TestLimitIsUsedAndLifted(t *testing.T) {
	r := regulator.Regulator{}.WithAnswer(start, regulator.Limit{Rate: 10, Named: true})
	admitted := func(from, until time.Time) (count int) {
		for now := from; now.Before(until); now = now.Add(time.Millisecond) {
			var ok bool
			if r, _, ok = r.Admit(now); ok {
				count++
			}
		}
		return count
	}
	assert.Equal(t, admitted(start, start.Add(10*time.Second)), 99)
	_, retryAt, ok := r.Admit(start.Add(10 * time.Second))
	assert.Assert(t, !ok || retryAt.IsZero())
	r = r.WithAnswer(start.Add(10*time.Second), regulator.Limit{})
	assert.Equal(t, admitted(start.Add(10*time.Second), start.Add(11*time.Second)), 1000)
}

// TestReportDoesNotReplaceAnAnswer has a report that is older than the target's last answer to the gate.
func TestReportDoesNotReplaceAnAnswer(t *testing.T) {
	r := regulator.Regulator{}.WithAnswer(start, regulator.Limit{}).WithReport(start, regulator.Limit{Rate: 1, Named: true})
	for range 100 {
		var ok bool
		r, _, ok = r.Admit(start)
		assert.Assert(t, ok)
	}
}
