package storer

import (
	"github.com/cockroachdb/errors"

	"samphiremount.example/core/replicator"
)

const identityName = "identity"

// owner is the name and identity of the process that a data folder belongs to.
type owner struct {
	Name     string              `cbor:"1,keyasint"`
	Identity replicator.Identity `cbor:"2,keyasint"`
}

// loadIdentity returns the identity stored on disk and whether there is one. It returns an error if the data folder
// belongs to a process with another name.
func loadIdentity(disk Disk, name string) (replicator.Identity, bool, error) {
	var stored owner
	found, err := readFile(disk, identityName, &stored)
	if err != nil {
		return "", false, err
	}
	if found && stored.Name != name {
		return "", false, errors.Newf("the data folder belongs to %q, not to %q", stored.Name, name)
	}
	return stored.Identity, found, nil
}
