package configurer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/messenger"
)

// wholeSnapshot holds all of a configuration: Revisions belong to Records one by one, Removed are the objects that are
// gone but can still cause a conflict.
type wholeSnapshot struct {
	Version   uint64            `cbor:"1,keyasint"`
	Records   []Record          `cbor:"2,keyasint"`
	Revisions []uint64          `cbor:"3,keyasint"`
	Removed   []removedSnapshot `cbor:"4,keyasint"`
	Receipts  []receiptSnapshot `cbor:"5,keyasint"`
}

type removedSnapshot struct {
	Kind     string `cbor:"1,keyasint"`
	Name     string `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
}

type receiptSnapshot struct {
	Operation string `cbor:"1,keyasint"`
	Version   uint64 `cbor:"2,keyasint"`
}

// Encode returns all of the configuration, with what it needs to detect conflicts and to answer resent operations.
// Equal configurations have equal forms.
func (c Configuration) Encode() ([]byte, error) {
	whole := wholeSnapshot{Version: c.version, Records: c.Records()}
	present := make(map[object]bool, len(whole.Records))
	for _, record := range whole.Records {
		key := object{record.Kind, record.Name}
		present[key] = true
		whole.Revisions = append(whole.Revisions, c.revisions[key])
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.revisions), compareObjects) {
		if !present[key] {
			whole.Removed = append(whole.Removed, removedSnapshot{key.kind, key.name, c.revisions[key]})
		}
	}
	for _, past := range c.receipts {
		whole.Receipts = append(whole.Receipts, receiptSnapshot{past.operation, past.receipt.Version})
	}
	return messenger.Marshal(whole)
}

// Decode returns the configuration that Encode wrote. It fails if the form is not one that Encode writes.
func Decode(data []byte) (Configuration, error) {
	var whole wholeSnapshot
	if err := messenger.Unmarshal(data, &whole); err != nil {
		return Configuration{}, err
	}
	if len(whole.Revisions) != len(whole.Records) {
		return Configuration{}, errors.Newf("%d revisions for %d records", len(whole.Revisions), len(whole.Records))
	}
	c, err := FromRecords(whole.Version, whole.Records)
	if err != nil {
		return Configuration{}, err
	}
	c.revisions = make(map[object]uint64, len(whole.Records)+len(whole.Removed))
	for i, record := range whole.Records {
		c.revisions[object{record.Kind, record.Name}] = whole.Revisions[i]
	}
	for _, removed := range whole.Removed {
		c.revisions[object{removed.Kind, removed.Name}] = removed.Revision
	}
	for _, past := range whole.Receipts {
		c.receipts = append(c.receipts, operationReceipt{past.Operation, Receipt{past.Version}})
	}
	return c, nil
}

func compareObjects(a, b object) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}
