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
	// maxQueuedLines is the number of lines that wait for a writer that is slow or stuck.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds what is written: at the target size a node sees 209 requests/s with some 8 lines each.
	maxLinesPerSecond = 5000
	// maxBatchBytes bounds what lines that wait are joined to in one write.
	maxBatchBytes = 64 << 10
	// closeTimeout bounds how long the end of a process waits for its last lines.
	closeTimeout = 500 * time.Millisecond
)

// Bounded is a writer that never blocks: lines beyond linesPerSecond, and those that its target does not take in time,
// are dropped, and their number is written in their place.
type Bounded struct {
	lines chan []byte
	group errgroup.Group

	mu      sync.Mutex
	second  time.Time
	written int
	dropped int
	closed  bool
}

// NewBounded returns a Bounded that writes to w.
func NewBounded(w io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, maxQueuedLines)}
	b.group.Go(func() error {
		for line := range b.lines {
			if _, err := w.Write(b.join(line)); err != nil {
				// There is nowhere left to tell of it but the next line.
				b.drop()
			}
		}
		return nil
	})
	return b
}

// join adds the lines that wait already, so that they cost one write.
func (b *Bounded) join(line []byte) []byte {
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

// Write implements io.Writer. It takes one line and never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.second) >= time.Second {
		b.second, b.written = now, 0
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

// Close writes what waits, as far as the target takes it within closeLimit.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	ended, cancel := context.WithTimeout(context.Background(), closeTimeout)
	var waiting errgroup.Group
	waiting.Go(func() error {
		defer cancel()
		return b.group.Wait()
	})
	<-ended.Done()
}
