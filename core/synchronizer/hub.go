package synchronizer

import (
	"slices"
	"sync"
	"time"

	"storj.io/drpc"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/tracker"
)

// maxBatches bounds the batches that are kept for subscribers. A subscriber that lacks more gets a snapshot.
const maxBatches = 1024

// Hub holds the newest configuration, directory of nodes and key withdrawals, and wakes its subscriptions when they
// change.
type Hub struct {
	mu            sync.Mutex
	configuration configurer.Configuration
	batches       []versionedBatch
	snapshot      encodedSnapshot
	directory     tracker.Directory
	controls      []tracker.Control
	withdrawn     map[string]struct{}
	subscriptions map[*subscription]struct{}
	// reported holds the names of the nodes whose newest record came from the node itself or was made here.
	reported map[string]struct{}
}

// versionedBatch is a batch with the version that it creates.
type versionedBatch struct {
	version uint64
	batch   configurer.Batch
}

// subscription holds what one subscriber has not been sent yet. A node that changes twice in the meantime is sent once.
type subscription struct {
	wake  chan struct{}
	nodes map[string]struct{}
	// remote is set for a control process in another region, which gets the records of other publishers only if it lacks
	// them at the time in deferred.
	remote    bool
	deferred  map[string]time.Time
	withdrawn map[string]struct{}
	controls  bool
}

// NewHub returns a Hub with the empty configuration and directory.
func NewHub() *Hub {
	return &Hub{
		withdrawn: make(map[string]struct{}), subscriptions: make(map[*subscription]struct{}), reported: make(map[string]struct{}),
	}
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

// Withdrawn returns the identifiers of keys that were withdrawn outside the configuration, sorted.
func (h *Hub) Withdrawn() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	ids := make([]string, 0, len(h.withdrawn))
	for id := range h.withdrawn {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Apply creates the next version from batch and publishes it. It returns the errors of Configuration.With.
func (h *Hub) Apply(batch configurer.Batch) (configurer.Receipt, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, receipt, err := h.configuration.With(batch)
	if err != nil || next.Version() == h.configuration.Version() {
		return receipt, err
	}
	h.configuration = next
	h.batches = append(h.batches, versionedBatch{next.Version(), batch})
	h.batches = h.batches[max(0, len(h.batches)-maxBatches):]
	h.pruneWithdrawn()
	h.wakeAll()
	return receipt, nil
}

// Install implements Sink. It drops the kept batches, which do not lead to the installed configuration, so that
// subscribers get a snapshot.
func (h *Hub) Install(configuration configurer.Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if configuration.Version() <= h.configuration.Version() {
		return false
	}
	h.configuration = configuration
	h.batches = nil
	h.pruneWithdrawn()
	h.wakeAll()
	return true
}

// Merge implements Sink.
func (h *Hub) Merge(records ...tracker.Node) []tracker.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	directory, changed := h.directory.With(records...)
	h.directory = directory
	for _, node := range changed {
		h.reported[node.Name] = struct{}{}
		for s := range h.subscriptions {
			s.addNode(node.Name)
		}
	}
	if len(changed) > 0 {
		h.wakeAll()
	}
	return changed
}

// Withdraw implements Sink. A withdrawal needs no consensus: it is never undone, so it can be merged from any source in
// any order.
func (h *Hub) Withdraw(ids ...string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var added []string
	for _, id := range ids {
		if _, ok := h.withdrawn[id]; ok || h.withdrawnInConfiguration(id) {
			continue
		}
		h.withdrawn[id] = struct{}{}
		for s := range h.subscriptions {
			s.withdrawn[id] = struct{}{}
		}
		added = append(added, id)
	}
	if len(added) > 0 {
		h.wakeAll()
	}
	return added
}

// Controls returns the control processes that are known, with their addresses. Callers must not modify the slice.
func (h *Hub) Controls() []tracker.Control {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.controls
}

// SetControls implements Sink.
func (h *Hub) SetControls(controls []tracker.Control) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Equal(controls, h.controls) {
		return
	}
	h.controls = controls
	for s := range h.subscriptions {
		s.controls = true
	}
	h.wakeAll()
}

// RecordContact implements Sink and does nothing: a control process measures its contact with the leader by the
// replicated log.
func (h *Hub) RecordContact(time.Duration) {}

// pruneWithdrawn drops the withdrawals that the configuration contains too. A process never installs an older
// configuration, so none of these keys can come back into force.
func (h *Hub) pruneWithdrawn() {
	for id := range h.withdrawn {
		if h.withdrawnInConfiguration(id) {
			delete(h.withdrawn, id)
		}
	}
}

func (h *Hub) withdrawnInConfiguration(id string) bool {
	key, ok := h.configuration.Key(id)
	return ok && key.Withdrawn
}

func (h *Hub) wakeAll() {
	for s := range h.subscriptions {
		s.wakeUp()
	}
}

// subscribe returns a subscription that lacks all records, except for those of buckets of which it states the digest in known.
func (h *Hub) subscribe(remote bool, known []uint64) *subscription {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &subscription{
		wake: make(chan struct{}, 1), nodes: make(map[string]struct{}), withdrawn: make(map[string]struct{}),
		remote: remote, deferred: make(map[string]time.Time), controls: len(h.controls) > 0,
	}
	now, digests := time.Now(), h.directory.Digests()
	for _, node := range h.directory.Nodes() {
		if bucket := tracker.BucketOf(node.Name); bucket < len(known) && known[bucket] == digests[bucket] {
			continue
		}
		if _, ok := h.reported[node.Name]; ok || !h.defers(s) {
			s.addNode(node.Name)
		} else {
			s.deferNode(now, node.Name)
		}
	}
	for id := range h.withdrawn {
		s.withdrawn[id] = struct{}{}
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

// messagesSince returns the messages that bring a subscriber at version up to date, and the version after them.
// Withdrawals come first because they are the most urgent.
func (h *Hub) messagesSince(s *subscription, version uint64) ([]drpc.Message, uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.releaseDeferred(time.Now())
	var messages []drpc.Message
	for chunk := range slices.Chunk(drain(s.withdrawn), maxKeysPerMessage) {
		messages = append(messages, &updateMessage{Withdrawn: chunk})
	}
	configuration, err := h.configurationSince(version)
	if err != nil {
		return nil, version, err
	}
	messages = append(messages, configuration...)
	if s.controls {
		messages = append(messages, &updateMessage{Controls: h.controls})
		s.controls = false
	}
	for chunk := range slices.Chunk(drain(s.nodes), maxNodesPerMessage) {
		update := updateMessage{}
		for _, name := range chunk {
			node, _ := h.directory.Node(name)
			update.Nodes = append(update.Nodes, node)
		}
		messages = append(messages, &update)
	}
	return messages, max(version, h.configuration.Version()), nil
}

func drain(pending map[string]struct{}) []string {
	names := make([]string, 0, len(pending))
	for name := range pending {
		names = append(names, name)
	}
	clear(pending)
	return names
}

func (h *Hub) configurationSince(version uint64) ([]drpc.Message, error) {
	if version >= h.configuration.Version() {
		return nil, nil
	}
	missing := h.batches
	for len(missing) > 0 && missing[0].version <= version {
		missing = missing[1:]
	}
	records := 0
	for _, b := range missing {
		records += len(b.batch.Changes)
	}
	if len(missing) == 0 || missing[0].version != version+1 || records > maxRecordsPerMessage {
		return h.snapshot.messagesFor(h.configuration)
	}
	messages := make([]drpc.Message, 0, len(missing))
	for _, b := range missing {
		update := updateMessage{
			Version: b.version, Operation: b.batch.Operation, Number: b.batch.Numbering.Number,
			Records: configurer.NewRecords(withoutDocuments(b.batch.Changes)),
		}
		if len(update.Records) > 0 && firstMessage(update.Records) < len(update.Records) {
			return h.snapshot.messagesFor(h.configuration)
		}
		messages = append(messages, &update)
	}
	return messages, nil
}

// firstMessage returns how many of records go into one message: at least one.
func firstMessage(records []configurer.Record) int {
	bytes := 0
	for i, record := range records {
		if i >= maxRecordsPerMessage || bytes > maxRecordBytesPerMessage {
			return i
		}
		bytes += record.Size()
	}
	return len(records)
}

// withoutDocuments returns changes without those of documents, which nodes do not hold.
func withoutDocuments(changes []configurer.Change) []configurer.Change {
	return slices.DeleteFunc(slices.Clone(changes), func(change configurer.Change) bool {
		switch change.(type) {
		case configurer.PutDocument, configurer.RemoveDocument:
			return true
		default:
			return false
		}
	})
}

// encodedSnapshot caches the encoded messages of the last snapshot, so that many subscribers that reconnect at once
// cost one encoding.
type encodedSnapshot struct {
	version  uint64
	messages []drpc.Message
}

func (e *encodedSnapshot) messagesFor(configuration configurer.Configuration) ([]drpc.Message, error) {
	if e.version == configuration.Version() {
		return e.messages, nil
	}
	updates := []updateMessage{}
	for records := configuration.WithoutDocuments().Records(); len(records) > 0; {
		n := firstMessage(records)
		updates = append(updates, updateMessage{Version: configuration.Version(), Snapshot: true, Records: records[:n]})
		records = records[n:]
	}
	updates = append(updates, updateMessage{
		Version: configuration.Version(), Number: configuration.Number(), Snapshot: true, Last: true,
	})
	messages := make([]drpc.Message, 0, len(updates))
	for _, update := range updates {
		encoded, err := messenger.Marshal(&update)
		if err != nil {
			return nil, err
		}
		messages = append(messages, messenger.Encoded(encoded))
	}
	*e = encodedSnapshot{configuration.Version(), messages}
	return messages, nil
}
