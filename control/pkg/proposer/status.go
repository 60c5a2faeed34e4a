package proposer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"samphiremount.example/core/reconciler"
	"samphiremount.example/core/replicator"
	"samphiremount.example/core/timekeeper"
)

// Status is what a process knows of the cluster. Leader is a name, and empty while no leader is known. Newcomers are
// processes that report with a data folder that is not in the membership.
type Status struct {
	Leader    string
	Address   string
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
	mu        sync.Mutex
	status    Status
	contact   time.Time
	newcomers map[string]reconciler.JoinRequest
	known     map[replicator.Identity]replicator.Member
}

func newStatusKeeper() *statusKeeper {
	return &statusKeeper{
		contact: timekeeper.Now(), newcomers: make(map[string]reconciler.JoinRequest), known: make(map[replicator.Identity]replicator.Member),
	}
}

func (k *statusKeeper) get() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	status := k.status
	for _, name := range slices.Sorted(maps.Keys(k.newcomers)) {
		newcomer := k.newcomers[name].Member
		member := func(m replicator.Member) bool { return m.Identity == newcomer.Identity }
		if !slices.ContainsFunc(status.Members.All(), member) {
			status.Newcomers = append(status.Newcomers, newcomer)
		}
	}
	return status
}

// reports returns the processes that reported, in the order of their names.
func (k *statusKeeper) reports() []reconciler.JoinRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	var reports []reconciler.JoinRequest
	for _, name := range slices.Sorted(maps.Keys(k.newcomers)) {
		reports = append(reports, k.newcomers[name])
	}
	return reports
}

func (k *statusKeeper) set(r replicator.Replicator) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.status = Status{Term: r.Term(), Commit: r.CommitIndex(), Members: r.Members()}
	for _, member := range r.Members().All() {
		if member.Identity == r.Leader() {
			k.status.Leader, k.status.Address = member.Name, member.Address
		}
	}
	if contact := r.LastContact(timekeeper.Now()); contact.After(k.contact) {
		k.contact = contact
	}
}

// age returns how long ago this process was in contact with the leader, or with a quorum if it leads.
func (k *statusKeeper) age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return timekeeper.Since(k.contact)
}

func (k *statusKeeper) add(newcomer replicator.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.newcomers[newcomer.Name] = reconciler.JoinRequest{Member: newcomer, ReceivedAt: timekeeper.Now()}
}

// acquaintances returns the members and all other processes that this one has heard of.
func (k *statusKeeper) acquaintances() []replicator.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := k.status.Members.All()
	for _, identity := range slices.Sorted(maps.Keys(k.known)) {
		all = append(all, k.known[identity])
	}
	return all
}

// know remembers how to reach processes.
func (k *statusKeeper) know(members ...replicator.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, member := range members {
		k.known[member.Identity] = member
	}
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
