package configurer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

const (
	kindLenders = "lenders"
	// maxLenderSlots bounds the slots of Lenders. A record of that many stays well below MaxRecordBytes.
	maxLenderSlots = 1024
)

// Lenders are the nodes that lend the workspaces' rates and bursts, as the control processes have agreed. Every slot owns a
// fixed part of them, and the number and the places of the slots never change. Epoch grows by one with each change of
// Lenders. An Epoch of 0 means that no lenders were chosen.
type Lenders struct {
	Epoch uint64
	Slots []LenderSlot
}

// LenderSlot is the right to lend one part. Holder is the name of the node that has this right, and Address its address at
// the time of the choice; a slot without a Holder is vacant. Term counts the holders that the slot has had.
type LenderSlot struct {
	Region  string `json:"region"`
	Centre  string `json:"centre"`
	Holder  string `json:"holder,omitempty"`
	Address string `json:"address,omitempty"`
	Term    uint64 `json:"term,omitempty"`
}

// PutLenders replaces the lenders.
type PutLenders struct{ Lenders Lenders }

func (PutLenders) change() {}

// Lenders returns the lenders. Callers must not modify their slots.
func (c Configuration) Lenders() Lenders { return c.lenders.value }

// Unset reports whether operators have not configured anything yet: no batch was applied, or none but choices of lenders and
// evacuations.
func (c Configuration) Unset() bool {
	others := c.lenders.value.Epoch > 0 || c.AnyEvacuated()
	return c.version == 0 || others && c.objects() == c.evacuations.len()
}

// Holds reports whether the node called name holds a slot.
func (l Lenders) Holds(name string) bool {
	for _, slot := range l.Slots {
		if slot.Holder == name {
			return true
		}
	}
	return false
}

// checkLenders refuses a batch with lenders that do not follow those in force.
func (c Configuration) checkLenders(batch Batch) error {
	for _, change := range batch.Changes {
		if put, ok := change.(PutLenders); ok {
			if err := put.Lenders.follows(c.lenders.value); err != nil {
				return invalid(err.Error())
			}
		}
	}
	return nil
}

// follows returns an error if l must not come into force after old. A slot goes from one holder to the next only through a
// change in which it is vacant, so that whoever proposes the next holder has waited until the right of the last has ended.
// The epoch has two leaders that propose a change at once not both succeed.
func (l Lenders) follows(old Lenders) error {
	if l.Epoch != old.Epoch+1 {
		return errors.Newf("epoch %d of the lenders does not follow %d", l.Epoch, old.Epoch)
	}
	if old.Epoch > 0 && len(l.Slots) != len(old.Slots) {
		return errors.Newf("the lenders must keep their %d slots", len(old.Slots))
	}
	for i, slot := range l.Slots {
		before := LenderSlot{Region: slot.Region, Centre: slot.Centre}
		if old.Epoch > 0 {
			before = old.Slots[i]
		}
		vacated, taken := before, slot
		vacated.Holder, vacated.Address = "", ""
		taken.Holder, taken.Address, taken.Term = "", "", slot.Term-1
		if slot != before && slot != vacated && (before != vacated || taken != before) {
			return errors.Newf("slot %d of the lenders must be vacant before it has another holder or term", i)
		}
	}
	return l.check()
}

// check returns an error if l is malformed.
func (l Lenders) check() error {
	if l.Epoch == 0 || len(l.Slots) == 0 || len(l.Slots) > maxLenderSlots {
		return errors.Newf("lenders of epoch %d with %d slots are not allowed", l.Epoch, len(l.Slots))
	}
	for i, slot := range l.Slots {
		if (slot.Holder == "") != (slot.Address == "") || slot.Holder != "" && slot.Term == 0 {
			return errors.Newf("slot %d of the lenders needs a holder with address and term, or none", i)
		}
	}
	return nil
}

func (l Lenders) record() Record {
	text, err := json.Marshal(l)
	if err != nil {
		// Texts and integers can always be encoded.
		panic(err)
	}
	return Record{Verb: verbPut, Kind: kindLenders, Name: kindLenders, Text: string(text)}
}

func (r Record) lenders() (Change, error) {
	var lenders Lenders
	if err := json.Unmarshal([]byte(r.Text), &lenders); err != nil {
		return nil, errors.Wrap(err, "read lenders")
	}
	return PutLenders{lenders}, errors.Wrap(lenders.check(), "read lenders")
}

// lenderRecords returns the record of the lenders, if any were chosen.
func (c Configuration) lenderRecords() []Record {
	if c.lenders.value.Epoch == 0 {
		return nil
	}
	record := c.lenders.value.record()
	record.Revision = c.lenders.revision
	return []Record{record}
}

func (l Lenders) identity() string { return kindLenders }
