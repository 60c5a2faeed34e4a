package storer

import (
	"github.com/cockroachdb/errors"

	"samphiremount.example/core/replicator"
)

const identityName = "identity"

// owner says to whom a data folder belongs.
type owner struct {
	Name     string              `cbor:"1,keyasint"`
	Identity replicator.Identity `cbor:"2,keyasint"`
}

// loadIdentity returns the identity of the folder, if it has one. It refuses a folder of another process.
func loadIdentity(disk Disk, name string) (replicator.Identity, bool, error) {
	var held owner
	found, err := readFile(disk, identityName, &held)
	if err != nil {
		return "", false, err
	}
	if found && held.Name != name {
		return "", false, errors.Newf("the data folder belongs to %q, not to %q", held.Name, name)
	}
	return held.Identity, found, nil
}
