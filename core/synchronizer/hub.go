package synchronizer

import (
	"slices"
	"sync"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/tracker"
)

const batchesKept = 1024

// Hub holds the newest configuration and directory and wakes its subscriptions when they change.
type Hub struct {
	mu            sync.Mutex
	configuration configurer.Configuration
	batches       []versionedBatch
	directory     tracker.Directory
	subscriptions map[*subscription]struct{}
}

// versionedBatch is a batch with the version that it makes.
type versionedBatch struct {
	version uint64
	batch   configurer.Batch
}

// subscription remembers what one subscriber has not been sent yet. Nodes that change twice are sent once.
type subscription struct {
	wake    chan struct{}
	pending map[string]struct{}
}

// NewHub returns a Hub with the empty configuration and directory.
func NewHub() *Hub {
	return &Hub{subscriptions: make(map[*subscription]struct{})}
}

// Configuration returns the newest configuration.
func (h *Hub) Configuration() configurer.Configuration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.configuration
}

// Directory returns the newest directory.
func (h *Hub) Directory() tracker.Directory {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.directory
}

// Apply makes the next version from batch and publishes it. Its errors are those of Configuration.With.
func (h *Hub) Apply(batch configurer.Batch) (configurer.Receipt, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, receipt, err := h.configuration.With(batch)
	if err != nil || next.Version() == h.configuration.Version() {
		return receipt, err
	}
	h.configuration = next
	h.batches = append(h.batches, versionedBatch{next.Version(), batch})
	h.batches = h.batches[max(0, len(h.batches)-batchesKept):]
	h.wakeAll()
	return receipt, nil
}

// Install implements Sink. A configuration that came as a snapshot leaves no batches to send on.
func (h *Hub) Install(configuration configurer.Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if configuration.Version() <= h.configuration.Version() {
		return false
	}
	h.configuration = configuration
	h.batches = nil
	h.wakeAll()
	return true
}

// Merge implements Sink.
func (h *Hub) Merge(records ...tracker.Node) []tracker.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	directory, changed := h.directory.With(records...)
	h.directory = directory
	for s := range h.subscriptions {
		for _, node := range changed {
			s.pending[node.Name] = struct{}{}
		}
	}
	if len(changed) > 0 {
		h.wakeAll()
	}
	return changed
}

func (h *Hub) wakeAll() {
	for s := range h.subscriptions {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

func (h *Hub) subscribe() *subscription {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &subscription{wake: make(chan struct{}, 1), pending: make(map[string]struct{})}
	for _, node := range h.directory.Nodes() {
		s.pending[node.Name] = struct{}{}
	}
	s.wake <- struct{}{}
	h.subscriptions[s] = struct{}{}
	return s
}

func (h *Hub) unsubscribe(s *subscription) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.subscriptions, s)
}

// next returns the messages that bring a subscriber at version up to date.
func (h *Hub) next(s *subscription, version uint64) []updateMessage {
	h.mu.Lock()
	defer h.mu.Unlock()
	messages := h.configurationSince(version)
	var nodes []tracker.Node
	for name := range s.pending {
		node, _ := h.directory.Node(name)
		nodes = append(nodes, node)
	}
	clear(s.pending)
	for chunk := range slices.Chunk(nodes, nodesPerMessage) {
		messages = append(messages, updateMessage{Version: h.configuration.Version(), Nodes: chunk})
	}
	return messages
}

func (h *Hub) configurationSince(version uint64) []updateMessage {
	if version >= h.configuration.Version() {
		return nil
	}
	missing := h.batches
	for len(missing) > 0 && missing[0].version <= version {
		missing = missing[1:]
	}
	records := 0
	for _, b := range missing {
		records += len(b.batch.Changes)
	}
	if len(missing) == 0 || missing[0].version != version+1 || records > recordsPerMessage {
		return snapshotMessages(h.configuration)
	}
	messages := make([]updateMessage, 0, len(missing))
	for _, b := range missing {
		messages = append(messages, updateMessage{
			Version: b.version, Operation: b.batch.Operation, Records: configurer.NewRecords(b.batch.Changes),
		})
	}
	return messages
}

func snapshotMessages(configuration configurer.Configuration) []updateMessage {
	var messages []updateMessage
	for chunk := range slices.Chunk(configuration.Records(), recordsPerMessage) {
		messages = append(messages, updateMessage{Version: configuration.Version(), Snapshot: true, Records: chunk})
	}
	return append(messages, updateMessage{Version: configuration.Version(), Snapshot: true, Last: true})
}
