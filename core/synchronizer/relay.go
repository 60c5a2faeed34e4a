package synchronizer

import (
	"time"

	"samphiremount.example/core/tracker"
)

// relayDelay is how long a record that came from another publisher is held back for a subscriber in another region. The
// subscriber normally has it from the other publisher by then. It is short beside the time in which a change of the
// directory has to reach all nodes, for the case that the subscriber is cut off from that publisher.
const relayDelay = time.Second

// MergeRelayed merges records that another publisher has sent. Subscribers in other regions get these only after relayDelay,
// and only if their directory still differs by then: each change would otherwise cross a region's border once for each pair
// of publishers.
func (h *Hub) MergeRelayed(records ...tracker.Node) []tracker.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	directory, changed := h.directory.With(records...)
	h.directory = directory
	now := time.Now()
	for _, node := range changed {
		delete(h.reported, node.Name)
		for s := range h.subscriptions {
			if h.defers(s) {
				s.deferNode(now, node.Name)
			} else {
				s.addNode(node.Name)
				s.wakeUp()
			}
		}
	}
	return changed
}

// defers reports whether records of other publishers are held back for s. The caller holds the lock.
func (h *Hub) defers(s *subscription) bool {
	return s.remote && h.directory.HasNarrow()
}

// recordDigest records the digest of the subscriber's directory. If it is that of the hub's, the subscriber lacks nothing.
func (h *Hub) recordDigest(s *subscription, digest uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if digest == h.directory.Digests().Sum() {
		clear(s.deferred)
	}
}

// releaseDeferred makes the records due that were held back long enough. The caller holds the lock.
func (s *subscription) releaseDeferred(now time.Time) {
	for name, due := range s.deferred {
		if !now.Before(due) {
			s.addNode(name)
		}
	}
}

// wakeUp makes the publisher look at what s has not been sent.
func (s *subscription) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *subscription) addNode(name string) {
	delete(s.deferred, name)
	s.nodes[name] = struct{}{}
}

func (s *subscription) deferNode(now time.Time, name string) {
	if _, pending := s.nodes[name]; !pending {
		s.deferred[name] = now.Add(relayDelay)
	}
}
