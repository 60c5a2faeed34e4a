package proposer

import (
	"maps"
	"slices"
	"sync"
	"time"

	"samphiremount.example/control/pkg/transporter"
	"samphiremount.example/core/reconciler"
	"samphiremount.example/core/replicator"
	"samphiremount.example/core/timekeeper"
)

// Status is what a process knows of the cluster. Leader is the name of the leader, empty while none is known. Joining are
// the processes that introduced themselves with an identity that is not in the membership.
type Status struct {
	Leader        string
	LeaderAddress string
	Term          uint64
	CommitIndex   uint64
	Members       replicator.Membership
	Joining       []replicator.Member
}

func (s Status) joiningProcess(name string) (replicator.Member, bool) {
	for _, process := range s.Joining {
		if process.Name == name {
			return process, true
		}
	}
	return replicator.Member{}, false
}

// sharedStatus shares the status between the loop and the operators' calls. contact is when this process was last in
// contact with the leader, or with a quorum if it leads. joining holds the join requests by name, known the processes
// that introduced themselves, sent messages or were listed by others.
type sharedStatus struct {
	mu      sync.Mutex
	status  Status
	contact time.Time
	joining map[string]reconciler.JoinRequest
	known   map[replicator.Identity]replicator.Member
	// stated holds, by address, the members that the process there has last stated.
	stated map[string][]replicator.Member
}

func newSharedStatus() *sharedStatus {
	return &sharedStatus{
		contact: timekeeper.Now(), joining: make(map[string]reconciler.JoinRequest), known: make(map[replicator.Identity]replicator.Member),
		stated: make(map[string][]replicator.Member),
	}
}

func (s *sharedStatus) get() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := s.status
	for _, name := range slices.Sorted(maps.Keys(s.joining)) {
		process := s.joining[name].Member
		member := func(m replicator.Member) bool { return m.Identity == process.Identity }
		if !slices.ContainsFunc(status.Members.All(), member) {
			status.Joining = append(status.Joining, process)
		}
	}
	return status
}

// joinRequests returns the join requests, sorted by the names of the processes.
func (s *sharedStatus) joinRequests() []reconciler.JoinRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var requests []reconciler.JoinRequest
	for _, name := range slices.Sorted(maps.Keys(s.joining)) {
		requests = append(requests, s.joining[name])
	}
	return requests
}

func (s *sharedStatus) set(r replicator.Replicator) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = Status{Term: r.Term(), CommitIndex: r.CommitIndex(), Members: r.Members()}
	for _, member := range r.Members().All() {
		if member.Identity == r.Leader() {
			s.status.Leader, s.status.LeaderAddress = member.Name, member.Address
		}
	}
	if contact := r.LastContact(timekeeper.Now()); contact.After(s.contact) {
		s.contact = contact
	}
}

// contactAge returns the time since this process was last in contact with the leader, or with a quorum if it leads.
func (s *sharedStatus) contactAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return timekeeper.Since(s.contact)
}

func (s *sharedStatus) addJoinRequest(process replicator.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joining[process.Name] = reconciler.JoinRequest{Member: process, ReceivedAt: timekeeper.Now()}
}

// knownProcesses returns the members and all other known processes.
func (s *sharedStatus) knownProcesses() []replicator.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.status.Members.All()
	for _, identity := range slices.Sorted(maps.Keys(s.known)) {
		all = append(all, s.known[identity])
	}
	return all
}

// addKnown records members, which may be processes outside the membership, with their addresses.
func (s *sharedStatus) addKnown(members ...replicator.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, member := range members {
		s.known[member.Identity] = member
	}
}

// statedMembers returns the members that the process at address has last stated.
func (s *sharedStatus) statedMembers(address string) []replicator.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stated[address]
}

// addStated records the introduction of the process at address.
func (s *sharedStatus) addStated(address string, reply transporter.Introduction) {
	s.addKnown(append(slices.Clone(reply.Members), reply.Member)...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stated[address] = reply.Members
}

// member returns the member or other known process with identity.
func (s *sharedStatus) member(identity replicator.Identity) (replicator.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, member := range s.status.Members.All() {
		if member.Identity == identity {
			return member, true
		}
	}
	member, ok := s.known[identity]
	return member, ok
}
