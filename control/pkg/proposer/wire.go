package proposer

import (
	"github.com/cockroachdb/errors"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/replicator"
	"samphiremount.example/core/synchronizer"
)

// batchEntry is the data of a log entry.
type batchEntry struct {
	Operation string              `cbor:"1,keyasint"`
	Base      uint64              `cbor:"2,keyasint,omitempty"`
	Records   []configurer.Record `cbor:"3,keyasint"`
	Number    uint64              `cbor:"4,keyasint,omitempty"`
	Expected  uint64              `cbor:"5,keyasint,omitempty"`
}

func encodeBatch(batch configurer.Batch) ([]byte, error) {
	return messenger.Marshal(batchEntry{
		Operation: batch.Operation, Base: batch.BaseVersion, Records: configurer.NewRecords(batch.Changes),
		Number: batch.Numbering.Number, Expected: batch.Numbering.Expected,
	})
}

func decodeBatch(data []byte) (configurer.Batch, error) {
	var entry batchEntry
	if err := messenger.Unmarshal(data, &entry); err != nil {
		return configurer.Batch{}, err
	}
	changes, err := configurer.Changes(entry.Records)
	return configurer.Batch{
		Operation: entry.Operation, BaseVersion: entry.Base, Changes: changes,
		Numbering: configurer.Numbering{Number: entry.Number, Expected: entry.Expected},
	}, err
}

// install puts the configuration of snapshot in force. The snapshot that bootstraps a cluster has no configuration.
func install(hub *synchronizer.Hub, snapshot replicator.Snapshot) error {
	if len(snapshot.Data) == 0 {
		return nil
	}
	configuration, err := configurer.Decode(snapshot.Data)
	if err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	hub.Install(configuration)
	return nil
}
