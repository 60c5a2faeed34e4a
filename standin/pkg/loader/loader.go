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

// Result is what came of a step. Direct and Through hold microseconds.
type Result struct {
	Step       Step
	Counts     map[string]int
	Direct     *hdrhistogram.Histogram
	Proxied    *hdrhistogram.Histogram
	Overhead   *hdrhistogram.Histogram
	Unexpected []string
}

// OK reports whether every request got an outcome that the step allows and every allowed outcome came.
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

// Loader sends requests to entries, and the same requests straight to targets for comparison.
type Loader struct {
	entries []string
	targets []string
	client  http.Client
}

// New returns a Loader. Without direct addresses nothing is compared.
func New(entries, direct []string) *Loader {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections}
	return &Loader{entries: entries, targets: direct, client: http.Client{Timeout: requestTimeout, Transport: transport}}
}

// Run sends the requests of step at its pace, each in its turn to the next entry. Where the step expects nothing but
// served requests, each is paired with one that goes straight to a target.
func (l *Loader) Run(ctx context.Context, step Step) (Result, error) {
	result := Result{
		Step: step, Counts: make(map[string]int), Direct: newHistogram(), Proxied: newHistogram(), Overhead: newHistogram(),
	}
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConnections)
	ticker := time.NewTicker(step.Period)
	defer ticker.Stop()
	for turn := range step.Count {
		group.Go(func() error {
			direct := l.measureDirect(ctx, step, turn)
			started := time.Now()
			outcome, detail := l.sendToFleet(ctx, turn, step)
			through := time.Since(started)
			mu.Lock()
			defer mu.Unlock()
			result.add(outcome, detail, direct, through)
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

func (l *Loader) measureDirect(ctx context.Context, step Step, turn int) time.Duration {
	if len(l.targets) == 0 || !slices.Equal(step.Expect, []string{outcomeServed}) {
		return 0
	}
	started := time.Now()
	_, _ = l.send(ctx, l.targets[turn%len(l.targets)], step)
	return time.Since(started)
}

func (r *Result) add(outcome, detail string, direct, through time.Duration) {
	r.Counts[outcome]++
	if outcome == outcomeWrong || !slices.Contains(r.Step.Expect, outcome) {
		r.Unexpected = append(r.Unexpected, outcome+": "+detail)
	}
	if direct == 0 || outcome != outcomeServed {
		return
	}
	_ = r.Direct.RecordValue(direct.Microseconds())
	_ = r.Proxied.RecordValue(through.Microseconds())
	_ = r.Overhead.RecordValue(max((through - direct).Microseconds(), 0))
}

type refusal struct {
	Error string `json:"error"`
}

// sendToFleet sends a request to the entry whose turn it is, or to the next one that takes a connection. A stopped node
// refuses connections, and a caller moves on then.
func (l *Loader) sendToFleet(ctx context.Context, turn int, step Step) (outcome, detail string) {
	for i := range l.entries {
		outcome, detail = l.send(ctx, l.entries[(turn+i)%len(l.entries)], step)
		if outcome != outcomeConnectionRefused {
			break
		}
	}
	return outcome, detail
}

// send returns the outcome of one request: served only if the whole answer came back and belongs to this request.
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
