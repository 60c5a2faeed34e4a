package issuer_test

import (
	"crypto/rand"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/ctl/pkg/issuer"
	"samphiremount.example/ctl/pkg/planner"
)

// TestPrepareReusesKeyFile guards against a second set of keys when a sheet is sent again with the same key file, for
// example because the first answer was lost.
func TestPrepareReusesKeyFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	none := func(string) bool { return false }
	missing := []planner.MissingKeys{{Workspace: "a", Count: 2}, {Workspace: "b", Count: 1}}
	first, err := issuer.Prepare(path, missing, none, rand.Reader)
	assert.NilError(t, err)
	assert.Equal(t, len(first), 3)
	info, err := os.Stat(path)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	repeated, err := issuer.Prepare(path, missing, none, rand.Reader)
	assert.NilError(t, err)
	assert.DeepEqual(t, repeated, first)

	_, err = issuer.Prepare(path, missing[:1], none, rand.Reader)
	assert.ErrorContains(t, err, "holds keys that are neither in force nor needed")
	inForce := func(id string) bool { return id == first[0].ID }
	_, err = issuer.Prepare(path, missing, inForce, rand.Reader)
	assert.ErrorContains(t, err, "holds 2 keys that are not in force, but 3 are needed; name a new file")
	assert.NilError(t, os.Chmod(path, 0o640))
	_, err = issuer.Prepare(path, missing, none, rand.Reader)
	assert.ErrorContains(t, err, "users other than its owner can access it")
}
