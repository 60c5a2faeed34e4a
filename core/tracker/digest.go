package tracker

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digestBuckets is the number of digests of a directory. With 16 of them, a reader that lacks one of 80 records is sent five.
const digestBuckets = 16

// Digests holds, for each bucket of names, the sum of the hashes of its records. Two directories with the same digests hold the
// same records, except for a collision.
type Digests [digestBuckets]uint64

// BucketOf returns the bucket of the node called name.
func BucketOf(name string) int { return int(xxhash.Sum64String(name) % digestBuckets) }

// Sum returns one digest of all records.
func (d Digests) Sum() uint64 {
	var sum uint64
	for _, digest := range d {
		sum += digest
	}
	return sum
}

// digest returns a hash of what tells two records of one node apart: a record's content depends only on its incarnation,
// sequence and Gone, except for the departures that it inherits.
func (n Node) digest() uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, n.Name...)
	buf = append(buf, 0, flag(n.Gone))
	buf = binary.LittleEndian.AppendUint64(buf, n.Incarnation)
	buf = binary.LittleEndian.AppendUint64(buf, n.Sequence)
	for _, d := range n.Departures {
		buf = append(buf, d.Target...)
		buf = append(buf, 0, flag(d.Left))
		buf = binary.LittleEndian.AppendUint64(buf, uint64(d.StartedAt))
		buf = binary.LittleEndian.AppendUint64(buf, d.Sequence)
	}
	return xxhash.Sum64(buf)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// countNarrow returns 1 if the link of the node's VM is narrow.
func (n Node) countNarrow() int { return int(flag(n.Narrow)) }
