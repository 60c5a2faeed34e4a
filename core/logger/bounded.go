package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxQueuedLines bounds the lines that wait for a writer that is slow or stuck.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the output rate. At the target size of the fleet a node handles 209 requests/s with
	// about 8 lines each.
	maxLinesPerSecond = 5000
	// maxBatchBytes is the size of a batch at which no more waiting lines are added to it.
	maxBatchBytes = 64 << 10
	// closeTimeout bounds how long the end of a process is delayed by its last lines.
	closeTimeout = 500 * time.Millisecond
)

// Bounded is a writer that never blocks. It drops lines beyond maxLinesPerSecond, and those that the underlying
// writer does not accept in time. The number of dropped lines is written before the next line.
type Bounded struct {
	lines chan []byte
	group errgroup.Group

	mu          sync.Mutex
	secondStart time.Time
	written     int
	dropped     int
	closed      bool
	closeBy     time.Time
}

// NewBounded returns a Bounded that writes to w.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, maxQueuedLines)}
	b.group.Go(func() error {
		for line := range b.lines {
			if _, err := w.Write(b.batch(line)); err != nil {
				// The next line is the only place where the failure can be reported.
				b.drop()
			}
		}
		return nil
	})
	return b
}

// batch appends the waiting lines to line, up to about maxBatchBytes, so that they need only one write.
func (b *Bounded) batch(line []byte) []byte {
	joined := bytes.NewBuffer(line)
	for joined.Len() < maxBatchBytes {
		select {
		case next, ok := <-b.lines:
			if !ok {
				return joined.Bytes()
			}
			joined.Write(next)
		default:
			return joined.Bytes()
		}
	}
	return joined.Bytes()
}

// Write implements io.Writer. It expects one line and never returns an error.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.secondStart) >= time.Second {
		b.secondStart, b.written = now, 0
	}
	if b.closed || b.written >= maxLinesPerSecond {
		b.dropped++
		return len(line), nil
	}
	out := bytes.Clone(line)
	if b.dropped > 0 {
		out = append(fmt.Appendf(nil, "time=%s level=WARN msg=\"log: lines dropped\" lines=%d\n",
			now.UTC().Format(time.RFC3339Nano), b.dropped), out...)
	}
	select {
	case b.lines <- out:
		b.written++
		b.dropped = 0
	default:
		b.dropped++
	}
	return len(line), nil
}

func (b *Bounded) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped++
}

// CloseBy sets the time at which Close returns at the latest. The zero time is no limit.
func (b *Bounded) CloseBy(end time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeBy = end
}

// Close writes the waiting lines, as far as the underlying writer accepts them within closeTimeout and before the time that
// CloseBy has set.
func (b *Bounded) Close() {
	end := time.Now().Add(closeTimeout)
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	if !b.closeBy.IsZero() && b.closeBy.Before(end) {
		end = b.closeBy
	}
	b.mu.Unlock()
	ended, cancel := context.WithDeadline(context.Background(), end)
	var waiting errgroup.Group
	waiting.Go(func() error {
		defer cancel()
		return b.group.Wait()
	})
	<-ended.Done()
}
