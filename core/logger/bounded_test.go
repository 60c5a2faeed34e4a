package logger_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/logger"
)

// lockableWriter is a writer that blocks while its mutex is locked.
type lockableWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *lockableWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func TestStuckWriterDoesNotBlock(t *testing.T) {
	target := &lockableWriter{}
	target.mu.Lock()
	bounded := logger.NewBounded(target)
	started := time.Now()
	for i := range 20_000 {
		n, err := fmt.Fprintf(bounded, "line %d\n", i)
		assert.NilError(t, err)
		assert.Assert(t, n > 0)
	}
	bounded.Close()
	assert.Assert(t, time.Since(started) < 5*time.Second)
	target.mu.Unlock()
}

func TestStuckWriterDelaysExit(t *testing.T) {
	target := &lockableWriter{}
	target.mu.Lock()
	defer target.mu.Unlock()
	bounded := logger.NewBounded(target)
	_, _ = io.WriteString(bounded, "line\n")
	end := time.Now().Add(50 * time.Millisecond)
	bounded.CloseBy(end)
	bounded.Close()
	assert.Assert(t, time.Since(end) < 300*time.Millisecond, "closed %s late", time.Since(end))
}

func TestDroppedLinesAreCounted(t *testing.T) {
	target := &lockableWriter{}
	bounded := logger.NewBounded(target)
	for i := range 20_000 {
		_, _ = fmt.Fprintf(bounded, "line %d\n", i)
	}
	time.Sleep(1100 * time.Millisecond)
	_, _ = io.WriteString(bounded, "after\n")
	bounded.Close()
	lines := strings.Split(strings.TrimSpace(target.written.String()), "\n")
	assert.Equal(t, lines[len(lines)-1], "after")
	assert.Assert(t, len(lines) < 10_000, "%d lines", len(lines))
	const report = "lines dropped\" lines="
	// A writer that lags makes the log drop lines several times, and each report counts those since the last one.
	written, dropped := 0, 0
	for _, line := range lines[:len(lines)-1] {
		_, counted, found := strings.Cut(line, report)
		if !found {
			written++
			continue
		}
		var count int
		_, err := fmt.Sscan(counted, &count)
		assert.NilError(t, err)
		dropped += count
	}
	assert.Assert(t, dropped > 10_000, "%d lines", dropped)
	assert.Equal(t, written+dropped, 20_000)
}

func TestErrorsAreWrittenInOneLine(t *testing.T) {
	var out bytes.Buffer
	log := logger.New(&out, slog.LevelInfo)
	log.Part("part").Info("it failed", "reason", errors.Wrap(errors.New("cause"), "step"))
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(out.String(), `msg="part: it failed" reason="step: cause"`), out.String())
}

// TestLongValuesAreCut guards against lines that hold whatever a caller or a target has sent.
func TestLongValuesAreCut(t *testing.T) {
	var out bytes.Buffer
	long := strings.Repeat("x", 1<<20)
	log := logger.New(&out, slog.LevelInfo).Part("gate")
	log.Info("request refused", "request", "r", "detail", long, "reason", errors.New(long), "status", 7)
	line := out.String()
	assert.Assert(t, len(line) < 4<<10, "%d bytes", len(line))
	assert.Assert(t, strings.Contains(line, `msg="gate: request refused" request=r detail="xxx`), "%.200s", line)
	assert.Assert(t, strings.HasSuffix(line, "status=7\n"))
	assert.Equal(t, strings.Count(line, "(1048576 bytes)"), 2)
}
