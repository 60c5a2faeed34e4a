package proposer

import "samphiremount.example/core/replicator"

// Bounds of the log. It is replaced by a snapshot after entriesPerSnapshot entries, or when its entries are larger than
// both minSnapshotLogBytes and minLogToSnapshotRatio times the last snapshot. keepEntries and keepBytes bound the newest
// entries that are kept for members that lag a little.
const (
	entriesPerSnapshot    = 4096
	minSnapshotLogBytes   = 8 << 20
	minLogToSnapshotRatio = 2
	keepEntries           = 1024
	keepBytes             = 4 << 20
)

// compactor decides when the log is replaced by a snapshot. busy is set while a snapshot is encoded. entries and bytes
// count what was applied since the last snapshot, whose size is snapshotBytes.
type compactor struct {
	busy          bool
	entries       int
	bytes         int
	snapshotBytes int
}

func (c *compactor) addEntry(bytes int) {
	c.entries++
	c.bytes += bytes
}

func (c *compactor) reset(bytes int) {
	c.entries, c.bytes, c.snapshotBytes = 0, 0, bytes
}

func (c *compactor) due() bool {
	tooLarge := c.bytes > max(minSnapshotLogBytes, minLogToSnapshotRatio*c.snapshotBytes)
	return !c.busy && (c.entries >= entriesPerSnapshot || tooLarge)
}

// compact starts to encode a snapshot in another goroutine if one is due. The configuration is immutable, so the loop can
// continue while it is encoded.
func (l *loop) compact() {
	if !l.compactor.due() {
		return
	}
	configuration, index := l.hub.Configuration(), l.applied
	l.compactor.busy = true
	l.compactor.entries, l.compactor.bytes = 0, 0
	l.group.Go(func() error {
		data, err := configuration.Encode()
		if err != nil {
			return err
		}
		l.inputs <- replicator.Compact{Index: index, KeepEntries: keepEntries, KeepBytes: keepBytes, Data: data}
		return nil
	})
}

// finished records that the encoding of a snapshot has ended, if input is its result.
func (c *compactor) finished(input replicator.Input) {
	if compact, ok := input.(replicator.Compact); ok {
		c.busy = false
		c.snapshotBytes = len(compact.Data)
		metrics.Add("snapshots", 1)
	}
}
