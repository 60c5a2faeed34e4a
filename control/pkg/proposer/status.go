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
	Leader        string
	LeaderAddress string
	Term          uint64
	CommitIndex   uint64
	Members       replicator.Membership
	Joining       []replicator.Member
}

func (s Status) joiningProcess(name string) (replicator.Member, bool) {
	for _, newcomer := range s.Joining {
		if newcomer.Name == name {
			return newcomer, true
		}
	}
	return replicator.Member{}, false
}

// sharedStatus shares the status between the loop and the operators' calls.
type sharedStatus struct {
	mu      sync.Mutex
	status  Status
	contact time.Time
	joining map[string]reconciler.JoinRequest
	known   map[replicator.Identity]replicator.Member
}

func newSharedStatus() *sharedStatus {
	return &sharedStatus{
		contact: timekeeper.Now(), joining: make(map[string]reconciler.JoinRequest), known: make(map[replicator.Identity]replicator.Member),
	}
}

func (k *sharedStatus) get() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	status := k.status
	for _, name := range slices.Sorted(maps.Keys(k.joining)) {
		newcomer := k.joining[name].Member
		member := func(m replicator.Member) bool { return m.Identity == newcomer.Identity }
		if !slices.ContainsFunc(status.Members.All(), member) {
			status.Joining = append(status.Joining, newcomer)
		}
	}
	return status
}

// joinRequests returns the processes that reported, in the order of their names.
func (k *sharedStatus) joinRequests() []reconciler.JoinRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	var reports []reconciler.JoinRequest
	for _, name := range slices.Sorted(maps.Keys(k.joining)) {
		reports = append(reports, k.joining[name])
	}
	return reports
}

func (k *sharedStatus) set(r replicator.Replicator) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.status = Status{Term: r.Term(), CommitIndex: r.CommitIndex(), Members: r.Members()}
	for _, member := range r.Members().All() {
		if member.Identity == r.Leader() {
			k.status.Leader, k.status.LeaderAddress = member.Name, member.Address
		}
	}
	if contact := r.LastContact(timekeeper.Now()); contact.After(k.contact) {
		k.contact = contact
	}
}

// contactAge returns how long ago this process was in contact with the leader, or with a quorum if it leads.
func (k *sharedStatus) contactAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return timekeeper.Since(k.contact)
}

func (k *sharedStatus) addJoinRequest(newcomer replicator.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.joining[newcomer.Name] = reconciler.JoinRequest{Member: newcomer, ReceivedAt: timekeeper.Now()}
}

// knownProcesses returns the members and all other processes that this one has heard of.
func (k *sharedStatus) knownProcesses() []replicator.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := k.status.Members.All()
	for _, identity := range slices.Sorted(maps.Keys(k.known)) {
		all = append(all, k.known[identity])
	}
	return all
}

// addKnown remembers how to reach processes.
func (k *sharedStatus) addKnown(members ...replicator.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, member := range members {
		k.known[member.Identity] = member
	}
}

// member returns the member or other known process with the identity.
func (k *sharedStatus) member(identity replicator.Identity) (replicator.Member, bool) {
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
