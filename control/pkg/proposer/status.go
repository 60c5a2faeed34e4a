package proposer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"samphiremount.example/core/replicator"
)

// Status is what a process knows of the cluster. Leader is a name, and empty while no leader is known. Newcomers are
// processes that report with an empty data folder and are no members.
type Status struct {
	Leader    string
	Term      uint64
	Commit    uint64
	Members   replicator.Membership
	Newcomers []replicator.Member
}

func (s Status) newcomer(name string) (replicator.Member, bool) {
	for _, newcomer := range s.Newcomers {
		if newcomer.Name == name {
			return newcomer, true
		}
	}
	return replicator.Member{}, false
}

// statusKeeper shares the status between the loop and the operators' calls.
type statusKeeper struct {
	mu         sync.Mutex
	status     Status
	leaderless time.Time
	newcomers  map[string]replicator.Member
	known      map[replicator.Identity]replicator.Member
}

func newStatusKeeper() *statusKeeper {
	return &statusKeeper{
		leaderless: time.Now(), newcomers: make(map[string]replicator.Member), known: make(map[replicator.Identity]replicator.Member),
	}
}

func (k *statusKeeper) get() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	status := k.status
	for _, name := range slices.Sorted(maps.Keys(k.newcomers)) {
		newcomer := k.newcomers[name]
		member := func(m replicator.Member) bool { return m.Identity == newcomer.Identity }
		if !slices.ContainsFunc(status.Members.All(), member) {
			status.Newcomers = append(status.Newcomers, newcomer)
		}
	}
	return status
}

func (k *statusKeeper) set(r replicator.Replicator) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.status = Status{Term: r.Term(), Commit: r.Commit(), Members: r.Members()}
	for _, member := range r.Members().All() {
		if member.Identity == r.Leader() {
			k.status.Leader = member.Name
		}
	}
	switch {
	case k.status.Leader != "":
		k.leaderless = time.Time{}
	case k.leaderless.IsZero():
		k.leaderless = time.Now()
	}
}

// age returns how long no leader has been known, and 0 while one is.
func (k *statusKeeper) age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaderless.IsZero() {
		return 0
	}
	return time.Since(k.leaderless)
}

func (k *statusKeeper) add(newcomer replicator.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newcomers[newcomer.Name] = newcomer
}

// know remembers how to reach a process.
func (k *statusKeeper) know(member replicator.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.known[member.Identity] = member
}

// member returns the member or other known process with the identity.
func (k *statusKeeper) member(identity replicator.Identity) (replicator.Member, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, member := range k.status.Members.All() {
		if member.Identity == identity {
			return member, true
		}
	}
	member, ok := k.known[identity]
	return member, ok
}
