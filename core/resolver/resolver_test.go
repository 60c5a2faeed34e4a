package resolver_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/resolver"
	"samphiremount.example/core/tracker"
)

type source []tracker.Control

func (s source) Controls() []tracker.Control { return s }

var known = source{
	{Name: "far", Region: "south", Centre: "dunedin", Address: "10.0.0.3:1"},
	{Name: "region", Region: "north", Centre: "hamilton", Address: "10.0.0.2:1"},
	{Name: "near", Region: "north", Centre: "auckland", Address: "10.0.0.1:1"},
}

func TestSeedsComeLastOnceControlIsKnown(t *testing.T) {
	locality := resolver.Locality{Name: "node", Region: "north", Centre: "auckland"}
	seeds := []string{"10.0.0.9:1", "10.0.0.2:1"}
	assert.DeepEqual(t, resolver.New(locality, seeds, source(nil)).Addresses(), seeds)
	assert.DeepEqual(t, resolver.New(locality, seeds, known).Addresses(),
		[]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.9:1"})
}

func TestOtherAddressesExcludeOwnProcess(t *testing.T) {
	locality := resolver.Locality{Name: "near", Region: "north", Centre: "auckland"}
	assert.DeepEqual(t, resolver.New(locality, nil, known).OtherAddresses(), []string{"10.0.0.2:1", "10.0.0.3:1"})
}

func TestOwnerIsSameForAllProcesses(t *testing.T) {
	reversed := source{known[2], known[1], known[0]}
	owners := make(map[string]bool)
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		first, ok := resolver.New(resolver.Locality{Name: "x"}, nil, known).Owner(name)
		assert.Assert(t, ok)
		second, _ := resolver.New(resolver.Locality{Name: "y", Region: "south"}, nil, reversed).Owner(name)
		assert.Equal(t, first, second)
		owners[first] = true
	}
	assert.Assert(t, len(owners) > 1)
	_, ok := resolver.New(resolver.Locality{}, []string{"10.0.0.9:1"}, source(nil)).Owner("a")
	assert.Assert(t, !ok)
}

// TestOneFallbackBetweenRoundsOfControl guards against a process trying all peers, each of which took 1 s, while
// control had a leader again.
func TestOneFallbackBetweenRoundsOfControl(t *testing.T) {
	last := func(n int) int { return n - 1 }
	control := []string{"a:1", "b:1"}
	assert.DeepEqual(t, resolver.WithFallback(control, []string{"n1:1", "n2:1", "n3:1"}, last), []string{"a:1", "b:1", "n3:1"})
	assert.DeepEqual(t, resolver.WithFallback(control, []string{"n1:1", "a:1"}, last), []string{"a:1", "b:1", "n1:1"})
	assert.DeepEqual(t, resolver.WithFallback(control, []string{"b:1"}, last), control)
	assert.DeepEqual(t, control, []string{"a:1", "b:1"})
}
