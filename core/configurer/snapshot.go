package configurer

import "samphiremount.example/core/messenger"

// Snapshot is a whole configuration in a form that can be stored and sent. Processes with equal snapshots come to the
// same result for every later batch.
type Snapshot struct {
	Version     uint64             `cbor:"1,keyasint"`
	LastRemoval uint64             `cbor:"2,keyasint"`
	Records     []Record           `cbor:"3,keyasint"`
	Receipts    []OperationReceipt `cbor:"4,keyasint"`
	Number      uint64             `cbor:"5,keyasint,omitempty"`
}

// Snapshot returns the snapshot of the configuration.
func (c Configuration) Snapshot() Snapshot {
	return Snapshot{Version: c.version, Number: c.number, LastRemoval: c.lastRemoval, Records: c.Records(), Receipts: c.receipts}
}

// FromSnapshot returns the configuration that snapshot describes. It fails if a record is malformed or breaks a rule.
func FromSnapshot(snapshot Snapshot) (Configuration, error) {
	draft := newDraft(Configuration{}, snapshot.Version)
	changes := make([]Change, 0, len(snapshot.Records))
	for _, record := range snapshot.Records {
		change, err := record.Change()
		if err != nil {
			return Configuration{}, err
		}
		draft.revision = record.Revision
		if err := draft.apply(change); err != nil {
			return Configuration{}, err
		}
		changes = append(changes, change)
	}
	configuration := draft.build(snapshot.Version)
	if err := configuration.check(changes); err != nil {
		return Configuration{}, err
	}
	configuration.number = snapshot.Number
	configuration.lastRemoval = snapshot.LastRemoval
	configuration.receipts = snapshot.Receipts
	return configuration, nil
}

// Encode returns the snapshot in CBOR. Equal configurations have equal encodings.
func (c Configuration) Encode() ([]byte, error) {
	return messenger.Marshal(c.Snapshot())
}

// Decode returns the configuration that Encode encoded. It fails if data is not a valid encoding.
func Decode(data []byte) (Configuration, error) {
	var snapshot Snapshot
	if err := messenger.Unmarshal(data, &snapshot); err != nil {
		return Configuration{}, err
	}
	return FromSnapshot(snapshot)
}
