package granter

import "sync/atomic"

const (
	// PoolStep is the step, in bytes, in which an entry keeps more of a body than MaxReplayBytes.
	PoolStep = 64 << 10
	// maxPooledBytes bounds what all bodies of an entry have from its pool. maxKeptBytes bounds what one of them keeps, so
	// that it takes eight slow callers to leave the others without. Both are chosen to stay small in the memory of a VM.
	maxPooledBytes = 8 << 20
	maxKeptBytes   = 1 << 20
)

// Pool is the memory of an entry for bodies that are longer than MaxReplayBytes. While a body is withheld, the entry reads as
// much of it as it may keep: it notices that a caller has left only where it has read all that the caller sent. The zero
// value is a full pool. It is safe for concurrent use.
type Pool struct {
	used atomic.Int64
}

// Acquire reports whether a body of which kept bytes are kept may keep PoolStep more.
func (p *Pool) Acquire(kept int) bool {
	if kept+PoolStep > maxKeptBytes {
		return false
	}
	if p.used.Add(PoolStep) > maxPooledBytes {
		p.used.Add(-PoolStep)
		return false
	}
	return true
}

// Release returns what steps calls of Acquire have taken.
func (p *Pool) Release(steps int) { p.used.Add(-int64(steps) * PoolStep) }
