package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"github.com/rs/xid"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/standin/pkg/responder"
)

const (
	requestTimeout    = 30 * time.Second
	maxConnections    = 64
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	maxResponseBytes  = 1 << 20
	outcomeServed     = "served"
	outcomeWrong      = "wrong"

	outcomeConnectionRefused = "connection-refused"
)

// Result holds the outcomes and latencies of a step. Counts holds the number of requests by outcome. Unexpected
// describes the requests whose outcome was wrong or is not in Step.Expect.
//
// The histograms hold latencies in microseconds: Proxied those of the requests that the fleet served, Direct those of
// the equal requests that were sent directly to a target, and Overhead the difference of each pair. They are empty if
// nothing was sent directly.
type Result struct {
	Step       Step
	Counts     map[string]int
	Direct     *hdrhistogram.Histogram
	Proxied    *hdrhistogram.Histogram
	Overhead   *hdrhistogram.Histogram
	Unexpected []string
}

// OK reports whether every outcome is one that the step expects and every expected outcome occurred.
func (r Result) OK() bool {
	for outcome := range r.Counts {
		if !slices.Contains(r.Step.Expect, outcome) {
			return false
		}
	}
	for _, outcome := range r.Step.Expect {
		if r.Counts[outcome] == 0 {
			return false
		}
	}
	return true
}

// Loader sends requests to the entries of a fleet, and the same requests directly to targets for comparison. Both
// entries and targets are IP addresses with ports.
type Loader struct {
	entries []string
	targets []string
	client  http.Client
}

// New returns a Loader. Without targets it sends nothing directly.
func New(entries, targets []string) *Loader {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections}
	return &Loader{entries: entries, targets: targets, client: http.Client{Timeout: requestTimeout, Transport: transport}}
}

// Run sends the requests of step, one per step.Period, to the entries in round-robin order. If step expects only served
// requests, each is preceded by an equal request that is sent directly to a target. At most maxConnections pairs are in
// progress at a time; further ones are sent late. Run fails only if ctx ends.
func (l *Loader) Run(ctx context.Context, step Step) (Result, error) {
	result := Result{
		Step: step, Counts: make(map[string]int), Direct: newHistogram(), Proxied: newHistogram(), Overhead: newHistogram(),
	}
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConnections)
	ticker := time.NewTicker(step.Period)
	defer ticker.Stop()
	for index := range step.Count {
		group.Go(func() error {
			direct := l.measureDirect(ctx, step, index)
			started := time.Now()
			outcome, detail := l.sendToFleet(ctx, index, step)
			proxied := time.Since(started)
			mu.Lock()
			defer mu.Unlock()
			result.add(outcome, detail, direct, proxied)
			return nil
		})
		select {
		case <-ctx.Done():
			return result, errors.Wrap(ctx.Err(), "load")
		case <-ticker.C:
		}
	}
	return result, errors.Wrap(group.Wait(), "load")
}

// measureDirect sends a request directly to a target and returns its latency. It returns 0 if l has no targets or step
// does not expect all requests to be served.
func (l *Loader) measureDirect(ctx context.Context, step Step, index int) time.Duration {
	if len(l.targets) == 0 || !slices.Equal(step.Expect, []string{outcomeServed}) {
		return 0
	}
	started := time.Now()
	_, _ = l.send(ctx, l.targets[index%len(l.targets)], step)
	return time.Since(started)
}

// add records one request. It leaves the histograms as they are if direct is 0 or the request was not served.
func (r *Result) add(outcome, detail string, direct, proxied time.Duration) {
	r.Counts[outcome]++
	if outcome == outcomeWrong || !slices.Contains(r.Step.Expect, outcome) {
		r.Unexpected = append(r.Unexpected, outcome+": "+detail)
	}
	if direct == 0 || outcome != outcomeServed {
		return
	}
	_ = r.Direct.RecordValue(direct.Microseconds())
	_ = r.Proxied.RecordValue(proxied.Microseconds())
	_ = r.Overhead.RecordValue(max((proxied - direct).Microseconds(), 0))
}

type refusal struct {
	Error string `json:"error"`
}

// sendToFleet sends a request to the entry at index, modulo the number of entries. If the entry refuses the connection, as
// a stopped node does, sendToFleet tries the next entry, as a caller does.
func (l *Loader) sendToFleet(ctx context.Context, index int, step Step) (outcome, detail string) {
	for i := range l.entries {
		outcome, detail = l.send(ctx, l.entries[(index+i)%len(l.entries)], step)
		if outcome != outcomeConnectionRefused {
			break
		}
	}
	return outcome, detail
}

// send sends one request to address and returns its outcome with details. The outcome is served only if the response is
// complete, echoes the nonce and the body size of this request, and, if it passed the fleet (which adds a request ID),
// shows that the fleet removed the key.
func (l *Loader) send(ctx context.Context, address string, step Step) (outcome, detail string) {
	nonce := xid.New().String()
	body := bytes.NewReader(make([]byte, step.BodyBytes))
	request, err := http.NewRequestWithContext(ctx, step.Method, "http://"+address+step.Path, body)
	if err != nil {
		return outcomeWrong, err.Error()
	}
	request.Header.Set("Nonce", nonce)
	if step.Key != "" {
		request.Header.Set("Authorization", "Bearer "+step.Key)
	}
	response, err := l.client.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return outcomeConnectionRefused, err.Error()
	}
	if err != nil {
		return "no-answer", err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "answer-cut", err.Error()
	}
	if response.StatusCode != http.StatusOK {
		var refusal refusal
		_ = json.Unmarshal(content, &refusal)
		return refusal.Error, strings.TrimSpace(string(content))
	}
	var echo responder.Echo
	if err := json.Unmarshal(content, &echo); err != nil {
		return outcomeWrong, err.Error()
	}
	if echo.Nonce != nonce || echo.Bytes != int64(step.BodyBytes) || echo.KeyLeaked && echo.RequestID != "" {
		return outcomeWrong, string(content)
	}
	return outcomeServed, ""
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(0, maxLatencyMicros, significantDigits)
}
