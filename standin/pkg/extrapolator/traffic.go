package extrapolator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/registrar"
	"samphiremount.example/standin/pkg/loader"
)

const (
	trafficDuration  = 5 * time.Second
	announceDuration = 3 * time.Second
)

var (
	trafficRates  = []int{100, 200, 400, 800}
	announceRates = []int{20, 50, 100, 200}
)

// Traffic measures the use of resources by a running entry node and a running gate node, from another process. Loader
// sends requests for Path with Key to the entry. AnnounceAddress is the listener of the gate for announcements.
type Traffic struct {
	EntryPID        int
	GatePID         int
	Loader          *loader.Loader
	Key             string
	Path            string
	AnnounceAddress string
}

// Measure returns five series. Four are by the rate of requests: the CPU time of the entry and of the gate, the bytes
// that the entry sends, and the latency that the fleet adds to a request. The fifth is the CPU time of the gate by the
// rate of announcements.
func (t Traffic) Measure(ctx context.Context) ([]Series, error) {
	ratePerNode := float64(designRequestRate) / designNodes
	entry := Series{Name: "entry: processor time each second", Unit: "µs", SizeUnit: "requests/s", DesignSize: ratePerNode}
	gate := Series{Name: "gate: processor time each second", Unit: "µs", SizeUnit: "requests/s", DesignSize: ratePerNode}
	sent := Series{Name: "entry: bytes sent each second, logs included", Unit: "bytes", SizeUnit: "requests/s", DesignSize: ratePerNode}
	latency := Series{Name: "added to a request for 99 in 100, one pair of nodes", Unit: "µs", SizeUnit: "requests/s", DesignSize: ratePerNode}
	for _, rate := range trafficRates {
		var result loader.Result
		entrySpent, gateSpent, seconds, err := t.measureUsage(func() error {
			var err error
			result, err = t.Loader.Run(ctx, t.step(rate))
			return errors.Wrap(err, "load")
		})
		if err != nil {
			return nil, err
		}
		if !result.OK() {
			return nil, errors.Newf("unexpected outcomes at %d requests/s: %v", rate, result.Counts)
		}
		achieved := float64(result.Step.Count) / seconds
		entry.add(achieved, microseconds(entrySpent.cpu)/seconds)
		gate.add(achieved, microseconds(gateSpent.cpu)/seconds)
		sent.add(achieved, entrySpent.sent/seconds)
		latency.add(achieved, float64(result.Overhead.ValueAtQuantile(99)))
	}
	announcements, err := t.measureAnnouncements(ctx)
	return []Series{entry, gate, sent, latency, announcements}, err
}

// measureUsage returns the usage of the entry and of the gate while work runs, and the duration of work in seconds.
func (t Traffic) measureUsage(work func() error) (entry, gate usage, seconds float64, err error) {
	var before, after [2]usage
	read := func(usages *[2]usage) {
		for i, pid := range []int{t.EntryPID, t.GatePID} {
			var readErr error
			usages[i], readErr = readUsage(pid)
			err = errors.CombineErrors(err, readErr)
		}
	}
	read(&before)
	started := time.Now()
	err = errors.CombineErrors(err, work())
	seconds = time.Since(started).Seconds()
	read(&after)
	return after[0].since(before[0]), after[1].since(before[1]), seconds, err
}

// measureAnnouncements measures the gate while it receives the same announcement repeatedly, as from targets that keep
// their registration from expiring.
func (t Traffic) measureAnnouncements(ctx context.Context) (Series, error) {
	series := Series{
		Name: "gate: processor time each second while targets repeat their announcements", Unit: "µs",
		SizeUnit: "announcements/s", DesignSize: 2 * targetsPerNode,
	}
	body, err := json.Marshal(registrar.Announcement{
		Name: "announced", Service: "announced", Address: "127.0.0.1:1", Slots: 1,
	})
	if err != nil {
		return series, errors.Wrap(err, "encode announcement")
	}
	for _, rate := range announceRates {
		_, spent, seconds, err := t.measureUsage(func() error {
			for range rate * int(announceDuration.Seconds()) {
				response, err := post(ctx, "http://"+t.AnnounceAddress+"/targets", "", body)
				if err != nil {
					return err
				}
				_ = response.Body.Close()
				if err := sleep(ctx, time.Second/time.Duration(rate)); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return series, err
		}
		series.add(float64(rate)*announceDuration.Seconds()/seconds, microseconds(spent.cpu)/seconds)
	}
	return series, nil
}

func (t Traffic) step(rate int) loader.Step {
	return loader.Step{
		Name: "slopes", Method: http.MethodGet, Path: t.Path, Key: t.Key, BodyBytes: 0,
		Count: rate * int(trafficDuration.Seconds()), Period: time.Second / time.Duration(rate), Expect: []string{"served"},
	}
}
