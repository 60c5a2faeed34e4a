package forwarder

import (
	"sync/atomic"

	"samphiremount.example/core/granter"
)

// requestMemory is what a request takes at its gate beside its body, in bytes: the goroutines of its stream and of its exchange with
// the target, and a buffer for the answer.
const requestMemory = 48 << 10

// memory is what the requests of other nodes may take at a gate. The zero value has no bound.
type memory struct {
	limit int64
	used  atomic.Int64
}

// WithMaxMemory returns s with a bound in bytes on the memory of the requests of other nodes; 0 sets none. Requests beyond it are
// refused before the gate sees them.
func (s *Server) WithMaxMemory(limit int64) *Server {
	s.memory.limit = limit
	return s
}

func (m *memory) take(bytes int64) bool {
	if m.used.Add(bytes) > m.limit && m.limit > 0 {
		m.used.Add(-bytes)
		return false
	}
	return true
}

func (m *memory) give(bytes int64) { m.used.Add(-bytes) }

// memoryOf returns the memory of a request: a gate reads up to granter.MaxReplayBytes of a body before it starts the request, and
// buffers one chunk of a longer one.
func memoryOf(head Head) int64 {
	const longest = granter.MaxReplayBytes + chunkBytes
	if head.Length < 0 {
		return requestMemory + longest
	}
	return requestMemory + min(head.Length, longest)
}
