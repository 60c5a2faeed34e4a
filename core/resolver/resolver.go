// Package resolver returns the addresses of the control processes: at first the seeds of the settings, later those that
// the control processes publish themselves, so that the settings need to be right only at the first start.
package resolver

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphiremount.example/core/tracker"
)

// Locality is the name of a process and where it runs.
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

// New returns a Resolver for a process at locality. seeds are the addresses in its settings.
func New(locality Locality, seeds []string, source Source) *Resolver {
	return &Resolver{locality: locality, seeds: seeds, source: source}
}

// Addresses returns the addresses to try, best first: those of the local data centre, then of the local region, then
// all others. Within each group the order differs by process to spread the load. Seeds that are not among the known
// control processes come last, in their given order.
func (r *Resolver) Addresses() []string {
	controls := slices.Clone(r.source.Controls())
	slices.SortFunc(controls, func(a, b tracker.Control) int {
		return cmp.Or(cmp.Compare(r.distance(a), r.distance(b)), cmp.Compare(r.rank(a), r.rank(b)))
	})
	addresses := make([]string, 0, len(controls)+len(r.seeds))
	for _, control := range controls {
		addresses = append(addresses, control.Address)
	}
	for _, seed := range r.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// OtherAddresses returns the addresses of the control processes other than this process, in the order of Addresses.
func (r *Resolver) OtherAddresses() []string {
	self := ""
	for _, control := range r.source.Controls() {
		if control.Name == r.locality.Name {
			self = control.Address
		}
	}
	return slices.DeleteFunc(r.Addresses(), func(address string) bool { return address == self })
}

// Owner returns the address of the control process that owns name, chosen by rendezvous hashing. All processes that
// know the same control processes get the same owner. It returns false if none is known.
func (r *Resolver) Owner(name string) (string, bool) {
	var owner string
	var best uint64
	for _, control := range r.source.Controls() {
		if rank := xxhash.Sum64String(name + "\x00" + control.Name); owner == "" || rank > best {
			owner, best = control.Address, rank
		}
	}
	return owner, owner != ""
}

// WithFallback returns addresses followed by one of fallbacks that is not among them. pick returns an index below n.
//
// It is for the case that no control process is in contact with a leader for a while. Each fallback takes time to turn
// out to be no more current, so the control processes are tried again after just one of them.
func WithFallback(addresses, fallbacks []string, pick func(n int) int) []string {
	fallbacks = slices.DeleteFunc(slices.Clone(fallbacks), func(address string) bool { return slices.Contains(addresses, address) })
	if len(fallbacks) == 0 {
		return addresses
	}
	return append(slices.Clone(addresses), fallbacks[pick(len(fallbacks))])
}

func (r *Resolver) distance(control tracker.Control) int {
	switch {
	case control.Region == r.locality.Region && control.Centre == r.locality.Centre:
		return 0
	case control.Region == r.locality.Region:
		return 1
	default:
		return 2
	}
}

// rank is a rendezvous hash of the process and the control process (Thaler and Ravishankar, 1998).
func (r *Resolver) rank(control tracker.Control) uint64 {
	return xxhash.Sum64String(r.locality.Name + "\x00" + control.Address)
}
