// Package logger creates the structured loggers of all programs. The messages of each component start with its name.
package logger

import (
	"context"
	"io"
	"log/slog"
)

// Logger creates a slog.Logger for each component of a program.
type Logger struct {
	handler slog.Handler
}

// New returns a Logger that writes text lines of the given level or above to w.
func New(w io.Writer, level slog.Level) Logger {
	return Logger{handler: slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: flattenError})}
}

// flattenError replaces an error by its message. Otherwise slog would add the stack trace of the error, over many
// lines.
func flattenError(_ []string, attribute slog.Attr) slog.Attr {
	if err, ok := attribute.Value.Any().(error); ok {
		attribute.Value = slog.StringValue(err.Error())
	}
	return attribute
}

// Wrap returns a Logger that uses the handler which wrap returns for the handler of l.
func (l Logger) Wrap(wrap func(slog.Handler) slog.Handler) Logger {
	return Logger{handler: wrap(l.handler)}
}

// Part returns the logger of a component. Each of its messages starts with the name of the component and a colon.
func (l Logger) Part(component string) *slog.Logger {
	return slog.New(prefixHandler{Handler: l.handler, prefix: component + ": "})
}

type prefixHandler struct {
	slog.Handler

	prefix string
}

func (h prefixHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = h.prefix + record.Message
	return h.Handler.Handle(ctx, shorten(record))
}

func (h prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

func (h prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
