package logger

import (
	"fmt"
	"log/slog"
)

// maxValueBytes bounds the text of a value in a line. Errors quote what callers and targets have sent, and lines about
// requests are kept in memory.
const maxValueBytes = 1 << 10

// Shorten returns text, or its beginning and its length in bytes if it is too long for a value in a line.
func Shorten(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	// The result must not share the memory of text.
	return fmt.Sprintf("%s... (%d bytes)", text[:maxValueBytes], len(text))
}

// shorten returns record with texts and errors shortened.
func shorten(record slog.Record) slog.Record {
	long := false
	record.Attrs(func(attribute slog.Attr) bool {
		text, ok := textOf(attribute.Value)
		long = ok && len(text) > maxValueBytes
		return !long
	})
	if !long {
		return record
	}
	shortened := slog.NewRecord(record.Time, record.Level, record.Message, record.PC)
	record.Attrs(func(attribute slog.Attr) bool {
		if text, ok := textOf(attribute.Value); ok {
			attribute.Value = slog.StringValue(Shorten(text))
		}
		shortened.AddAttrs(attribute)
		return true
	})
	return shortened
}

// textOf returns the text of a value that holds a text or an error.
func textOf(value slog.Value) (string, bool) {
	switch value.Kind() {
	case slog.KindString:
		return value.String(), true
	case slog.KindAny:
		if err, ok := value.Any().(error); ok {
			return err.Error(), true
		}
	default:
	}
	return "", false
}
