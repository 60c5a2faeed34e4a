// Package recorder keeps the node's most recent log lines about requests, so that operators can ask what happened to
// a request.
package recorder

import (
	"context"
	"log/slog"
	"sync"

	"samphiremount.example/core/explainer"
)

// attributeRequest is the key of the log attribute that holds the ID of the request.
const attributeRequest = "request"

// Recorder is a ring buffer of the most recent log lines that have a request attribute.
type Recorder struct {
	mu   sync.Mutex
	ring []line
	next int
}

type line struct {
	request string
	record  slog.Record
}

var _ explainer.Source = (*Recorder)(nil)

// New returns a Recorder that keeps at most size lines.
func New(size int) *Recorder {
	return &Recorder{ring: make([]line, 0, size)}
}

// Decisions implements explainer.Source.
func (r *Recorder) Decisions(id string) []explainer.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []explainer.Decision
	for i := range r.ring {
		recorded := r.ring[(r.next+i)%len(r.ring)]
		if recorded.request == id {
			found = append(found, toDecision(recorded.record))
		}
	}
	return found
}

func toDecision(record slog.Record) explainer.Decision {
	found := explainer.Decision{Time: record.Time, Message: record.Message}
	record.Attrs(func(attribute slog.Attr) bool {
		if attribute.Key != attributeRequest {
			detail := explainer.Detail{Name: attribute.Key, Value: attribute.Value.String()}
			found.Details = append(found.Details, detail)
		}
		return true
	})
	return found
}

func (r *Recorder) add(request string, record slog.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, line{request, record})
		return
	}
	if len(r.ring) == 0 {
		return
	}
	r.ring[r.next] = line{request, record}
	r.next = (r.next + 1) % len(r.ring)
}

// Handler returns a log handler that records lines about requests and passes all lines on to handler.
func (r *Recorder) Handler(handler slog.Handler) slog.Handler {
	return recordingHandler{Handler: handler, recorder: r}
}

type recordingHandler struct {
	slog.Handler

	recorder *Recorder
}

// Enabled implements slog.Handler. Lines of level info are recorded even if the log itself omits them.
func (h recordingHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo || h.Handler.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (h recordingHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Attrs(func(attribute slog.Attr) bool {
		if attribute.Key == attributeRequest {
			h.recorder.add(attribute.Value.String(), record.Clone())
			return false
		}
		return true
	})
	if !h.Handler.Enabled(ctx, record.Level) {
		return nil
	}
	return h.Handler.Handle(ctx, record)
}

func (h recordingHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return recordingHandler{Handler: h.Handler.WithAttrs(attributes), recorder: h.recorder}
}

func (h recordingHandler) WithGroup(name string) slog.Handler {
	return recordingHandler{Handler: h.Handler.WithGroup(name), recorder: h.recorder}
}
