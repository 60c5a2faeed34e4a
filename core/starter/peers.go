package starter

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Peers are the addresses of processes by their names.
type Peers map[string]string

// ParsePeers reads texts of the form NAME=ADDRESS, as flag takes them. Each wrong one is an error.
func ParsePeers(flag string, texts []string) (Peers, []error) {
	var wrong []error
	peers := make(Peers)
	for _, text := range texts {
		name, address, found := strings.Cut(text, "=")
		if !found || name == "" {
			wrong = append(wrong, errors.Newf("%s must have the form NAME=ADDRESS: %q", flag, text))
			continue
		}
		if _, ok := peers[name]; ok {
			wrong = append(wrong, errors.Newf("%s names %s twice", flag, name))
		}
		for other, taken := range peers {
			if taken == address {
				wrong = append(wrong, errors.Newf("%s gives %s and %s the same address", flag, other, name))
			}
		}
		peers[name] = address
		wrong = append(wrong, CheckPeer(flag+" "+name, address)...)
	}
	return peers, wrong
}

// Names returns the names, sorted.
func (p Peers) Names() []string {
	return slices.Sorted(maps.Keys(p))
}

// Others returns the addresses of all but the process called name, sorted by name.
func (p Peers) Others(name string) []string {
	var others []string
	for _, other := range p.Names() {
		if other != name {
			others = append(others, p[other])
		}
	}
	return others
}

// Union returns the texts of a and those of b that a lacks. It may append to a.
func Union(a, b []string) []string {
	for _, text := range b {
		if !slices.Contains(a, text) {
			a = append(a, text)
		}
	}
	return a
}
