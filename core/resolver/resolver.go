// Package resolver tells where the control processes can be reached: at the addresses of the settings at first, and at
// those that control itself spreads later, so that no setting must be right after the first start.
package resolver

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphiremount.example/core/tracker"
)

// Locality is where the process that asks stands.
type Locality struct {
	Name   string
	Region string
	Centre string
}

// Source supplies the control processes that are known now, which may be none.
type Source interface {
	Controls() []tracker.Control
}

// Resolver orders the addresses of control processes for one process.
type Resolver struct {
	locality Locality
	seeds    []string
	source   Source
}

// New returns a Locator for a process at place. Seeds are the addresses of its settings.
func New(place Locality, seeds []string, source Source) *Resolver {
	return &Resolver{locality: place, seeds: seeds, source: source}
}

// Addresses returns the addresses to try, best first: those of the own data centre, of the own region, and the others,
// each in an order that differs by process so that the load spreads. Seeds that are not known as control processes
// come last, in their own order.
func (l *Resolver) Addresses() []string {
	controls := slices.Clone(l.source.Controls())
	slices.SortFunc(controls, func(a, b tracker.Control) int {
		return cmp.Or(cmp.Compare(l.distance(a), l.distance(b)), cmp.Compare(l.rank(a), l.rank(b)))
	})
	addresses := make([]string, 0, len(controls)+len(l.seeds))
	for _, control := range controls {
		addresses = append(addresses, control.Address)
	}
	for _, seed := range l.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// OtherAddresses returns the names and addresses of the control processes but the own one, in the order of Addresses.
func (l *Resolver) OtherAddresses() []string {
	own := ""
	for _, control := range l.source.Controls() {
		if control.Name == l.locality.Name {
			own = control.Address
		}
	}
	return slices.DeleteFunc(l.Addresses(), func(address string) bool { return address == own })
}

// Owner returns the address of the control process that keeps what is kept once for name. It is the same for all
// processes that know the same control processes, and differs by name.
func (l *Resolver) Owner(name string) (string, bool) {
	var owner string
	var best uint64
	for _, control := range l.source.Controls() {
		if rank := xxhash.Sum64String(name + "\x00" + control.Name); owner == "" || rank > best {
			owner, best = control.Address, rank
		}
	}
	return owner, owner != ""
}

// WithFallback returns addresses and after them one of substitutes, which draw picks: it returns a number below n.
//
// The load pattern that it answers: no control process has a leader for a while. Each substitute costs the time to see
// that it knows no more, so after one of them the control processes are asked again.
func WithFallback(addresses, substitutes []string, draw func(n int) int) []string {
	substitutes = slices.DeleteFunc(slices.Clone(substitutes), func(address string) bool { return slices.Contains(addresses, address) })
	if len(substitutes) == 0 {
		return addresses
	}
	return append(slices.Clone(addresses), substitutes[draw(len(substitutes))])
}

func (l *Resolver) distance(control tracker.Control) int {
	switch {
	case control.Region == l.locality.Region && control.Centre == l.locality.Centre:
		return 0
	case control.Region == l.locality.Region:
		return 1
	default:
		return 2
	}
}

// rank is a rendezvous hash of the process and the control process (Thaler and Ravishankar, 1998).
func (l *Resolver) rank(control tracker.Control) uint64 {
	return xxhash.Sum64String(l.locality.Name + "\x00" + control.Address)
}
