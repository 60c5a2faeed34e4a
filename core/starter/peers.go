package starter

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Peers maps the names of processes to their addresses.
type Peers map[string]string

// ParsePeers parses the values of flag, which have the form NAME=ADDRESS. It returns one error for each invalid
// value.
func ParsePeers(flag string, texts []string) (Peers, []error) {
	var errs []error
	peers := make(Peers)
	for _, text := range texts {
		name, address, found := strings.Cut(text, "=")
		if !found || name == "" {
			errs = append(errs, errors.Newf("%s must have the form NAME=ADDRESS: %q", flag, text))
			continue
		}
		if _, ok := peers[name]; ok {
			errs = append(errs, errors.Newf("%s names %s twice", flag, name))
		}
		for other, taken := range peers {
			if taken == address {
				errs = append(errs, errors.Newf("%s gives %s and %s the same address", flag, other, name))
			}
		}
		peers[name] = address
		errs = append(errs, CheckPeer(flag+" "+name, address)...)
	}
	return peers, errs
}

// Names returns the names in ascending order.
func (p Peers) Names() []string {
	return slices.Sorted(maps.Keys(p))
}

// Others returns the addresses of all processes except the one with that name, ordered by name.
func (p Peers) Others(name string) []string {
	var others []string
	for _, other := range p.Names() {
		if other != name {
			others = append(others, p[other])
		}
	}
	return others
}

// Union returns the strings of a, followed by those of b that a does not contain. It may append to a.
func Union(a, b []string) []string {
	for _, text := range b {
		if !slices.Contains(a, text) {
			a = append(a, text)
		}
	}
	return a
}
