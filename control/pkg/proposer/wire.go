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
}

func encodeBatch(batch configurer.Batch) ([]byte, error) {
	return messenger.Marshal(batchEntry{batch.Operation, batch.Base, configurer.NewRecords(batch.Changes)})
}

func decodeBatch(data []byte) (configurer.Batch, error) {
	var entry batchEntry
	if err := messenger.Unmarshal(data, &entry); err != nil {
		return configurer.Batch{}, err
	}
	changes, err := configurer.Changes(entry.Records)
	return configurer.Batch{Operation: entry.Operation, Base: entry.Base, Changes: changes}, err
}

// install puts the configuration of snapshot in force, unless the snapshot only founds the cluster.
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
