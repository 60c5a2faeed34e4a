package keyer_test

import (
	"crypto/rand"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/keyer"
)

func TestKeyMatchesOnlyItsDigest(t *testing.T) {
	key, err := keyer.New(rand.Reader)
	assert.NilError(t, err)
	other, err := keyer.New(rand.Reader)
	assert.NilError(t, err)
	parsed, err := keyer.Parse(key.Reveal())
	assert.NilError(t, err)
	assert.Equal(t, parsed.ID, key.ID)
	assert.Assert(t, parsed.Matches(key.Digest()))
	assert.Assert(t, !parsed.Matches(other.Digest()))
}

func TestPrintedKeyHidesItsSecret(t *testing.T) {
	key, err := keyer.New(rand.Reader)
	assert.NilError(t, err)
	secret := strings.Split(key.Reveal(), "_")[2]
	var log strings.Builder
	slog.New(slog.NewTextHandler(&log, nil)).Info("key", "key", key)
	for _, text := range []string{log.String(), fmt.Sprint(key), fmt.Sprintf("%v %s", key, key)} {
		assert.Assert(t, !strings.Contains(text, secret), text)
	}
}

func TestParseRejectsMalformedKeys(t *testing.T) {
	key, err := keyer.New(rand.Reader)
	assert.NilError(t, err)
	for _, text := range []string{"", "smk__", "smk_a_b", key.Reveal() + "x", "x" + key.Reveal(), key.Reveal() + "_x"} {
		_, err := keyer.Parse(text)
		assert.Assert(t, err != nil, text)
		if text != "" {
			assert.Assert(t, !strings.Contains(err.Error(), text), "the error contains the key")
		}
	}
}
