package storer

import (
	"encoding/binary"
	"hash/crc32"
	"slices"

	"github.com/cockroachdb/errors"
)

// A record is a header and a payload. The header holds, in little-endian order: the length of the payload (4 bytes), the
// offset up to which the file was synced when the record was written (8), the checksum of the payload (4) and the
// checksum of the preceding 16 bytes (4). Checksums are CRC-32C.
const (
	headerBytes = 20
	sectorBytes = 512
)

// ErrDamaged is returned if a file does not hold what was written and synced. The member must then be replaced as if its
// disk was lost.
var ErrDamaged = errors.New("the data folder is damaged; the member must be replaced as one that lost its disk")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(buf, payload []byte, synced int64) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(synced))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
	return append(buf, payload...)
}

// record is one record as read from a file. synced is the offset up to which the file was synced when the record was
// written, next the offset of the byte after the record.
type record struct {
	payload []byte
	synced  int64
	next    int64
}

// readRecord returns the record at offset, and whether it is complete and matches its checksums.
func readRecord(content []byte, offset int64) (record, bool) {
	rest := content[offset:]
	if len(rest) < headerBytes {
		return record{}, false
	}
	header := rest[:headerBytes]
	if crc32.Checksum(header[:16], castagnoli) != binary.LittleEndian.Uint32(header[16:]) {
		return record{}, false
	}
	length := int64(binary.LittleEndian.Uint32(header))
	if int64(len(rest)-headerBytes) < length {
		return record{}, false
	}
	payload := rest[headerBytes : headerBytes+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[12:]) {
		return record{}, false
	}
	synced := int64(binary.LittleEndian.Uint64(header[4:]))
	return record{payload: payload, synced: synced, next: offset + headerBytes + length}, true
}

// readRecords returns the payloads of the valid records at the start of content and the length of these records. What
// follows them, if anything, is a torn tail: a write that a crash interrupted and that was never synced. If content has
// an invalid record that is not a torn tail, readRecords returns ErrDamaged.
func readRecords(content []byte) (payloads [][]byte, validBytes int64, err error) {
	for validBytes < int64(len(content)) {
		found, ok := readRecord(content, validBytes)
		if !ok {
			return payloads, validBytes, checkTorn(content, validBytes)
		}
		payloads = append(payloads, found.payload)
		validBytes = found.next
	}
	return payloads, validBytes, nil
}

// checkTorn returns ErrDamaged unless the invalid record at offset can be a write that a crash interrupted: no later
// record shows that it was synced, and its end, or a sector of it, never reached the disk.
func checkTorn(content []byte, offset int64) error {
	for later := offset + 1; later+headerBytes <= int64(len(content)); later++ {
		if found, ok := readRecord(content, later); ok && found.synced > offset {
			return errors.Wrapf(ErrDamaged, "the record at byte %d is invalid although it was synced", offset)
		}
	}
	if truncated(content[offset:]) || hasUnwrittenSector(content, offset) {
		return nil
	}
	return errors.Wrapf(ErrDamaged, "the last record, at byte %d, is complete but does not match its checksum", offset)
}

// truncated reports whether rest ends before the end of its first record.
func truncated(rest []byte) bool {
	if len(rest) < headerBytes {
		return true
	}
	header := rest[:headerBytes]
	if crc32.Checksum(header[:16], castagnoli) != binary.LittleEndian.Uint32(header[16:]) {
		return false
	}
	return int64(len(rest)-headerBytes) < int64(binary.LittleEndian.Uint32(header))
}

// hasUnwrittenSector reports whether content has a sector that holds only zeros from offset on. A file has such sectors
// if its length reached the disk before its content.
func hasUnwrittenSector(content []byte, offset int64) bool {
	written := func(b byte) bool { return b != 0 }
	for start := offset; start < int64(len(content)); {
		end := min((start/sectorBytes+1)*sectorBytes, int64(len(content)))
		if !slices.ContainsFunc(content[start:end], written) {
			return true
		}
		start = end
	}
	return false
}
