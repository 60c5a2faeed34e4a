// Package logger builds the structured logs of every program, with a fixed prefix for each part.
package logger

import (
	"context"
	"io"
	"log/slog"
)

// Logger hands out one slog.Logger for each part of a program.
type Logger struct {
	handler slog.Handler
}

// New returns a Logger that writes lines of text of at least level to w.
func New(w io.Writer, level slog.Level) Logger {
	return Logger{handler: slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: flattenError})}
}

// flattenError writes an error as its message. The library would add where it was made, over many lines.
func flattenError(_ []string, attribute slog.Attr) slog.Attr {
	if err, ok := attribute.Value.Any().(error); ok {
		attribute.Value = slog.StringValue(err.Error())
	}
	return attribute
}

// Wrap returns a Logger whose lines pass the handler that wrap puts around its own.
func (l Logger) Wrap(wrap func(slog.Handler) slog.Handler) Logger {
	return Logger{handler: wrap(l.handler)}
}

// Part returns the logger of one part. Each of its messages starts with "part: ".
func (l Logger) Part(part string) *slog.Logger {
	return slog.New(prefixHandler{Handler: l.handler, prefix: part + ": "})
}

type prefixHandler struct {
	slog.Handler

	prefix string
}

func (h prefixHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = h.prefix + record.Message
	return h.Handler.Handle(ctx, record)
}

func (h prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

func (h prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}
