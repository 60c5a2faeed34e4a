// Package reconciler decides, for the leader of the replicated log, how the membership changes without an operator:
// which joining processes become members, and which lost members are removed.
package reconciler

import (
	"slices"
	"time"

	"samphiremount.example/core/replicator"
)

const (
	// replaceAfter is how long a voter must be unresponsive before a joining process replaces it, or before it is
	// removed. A process that restarts is back sooner.
	replaceAfter = 3 * time.Second
	// removeAfter is how long a learner must be unresponsive before it is removed.
	removeAfter = 10 * time.Second
	// joinRequestLifetime is how long a join request is valid.
	joinRequestLifetime = 3 * time.Second
	// minEvenVoters is the smallest even number of voters that is made odd by removing an unresponsive one.
	minEvenVoters = 4
	// MaxVoters bounds the processes that each accepted change must be sent to.
	MaxVoters = 7
)

// JoinRequest asks to add Member, a process whose data folder is not in the membership. The leader received it at
// ReceivedAt.
type JoinRequest struct {
	Member     replicator.Member
	ReceivedAt time.Time
}

// Action is a change of the membership: Add, Remove or NoAction.
type Action interface{ action() }

// Add makes a process a learner and, when it has caught up, a voter. It replaces a lost voter if Learner names one.
type Add struct {
	Learner replicator.Learner
	Reason  string
}

// Remove removes a member.
type Remove struct {
	Member replicator.Member
	Reason string
}

// NoAction leaves the membership as it is.
type NoAction struct{}

func (Add) action()      {}
func (Remove) action()   {}
func (NoAction) action() {}

// Decide returns the next action for members at now. unresponsive holds the time of the last contact of each member
// that the leader is out of contact with.
//
// A joining process at the address of a voter is that voter's process after the loss of its disk, and replaces it at
// once. Any other joining process replaces the voter that has been unresponsive longest, if that is at least
// replaceAfter; otherwise it becomes an additional voter. If the number of voters is even, an unresponsive one is
// removed: the quorum gets smaller, and the remaining voters tolerate one more loss. The removed process may ask to
// join again.
func Decide(
	now time.Time, members replicator.Membership, unresponsive map[replicator.Identity]time.Time, requests []JoinRequest,
) Action {
	for _, request := range requests {
		if now.Sub(request.ReceivedAt) > joinRequestLifetime || isMember(members, request.Member.Identity) {
			continue
		}
		if old, ok := voterAtAddress(members, request.Member.Address); ok {
			return Add{replicator.Learner{Member: request.Member, Replaces: old.Identity}, "its data folder was lost"}
		}
		if old, ok := longestUnresponsive(now, members.Voters, unresponsive, replaceAfter); ok {
			return Add{replicator.Learner{Member: request.Member, Replaces: old.Identity}, "a voter is lost"}
		}
		if len(members.Voters)+len(members.Learners) < MaxVoters {
			return Add{replicator.Learner{Member: request.Member}, "it asked to join"}
		}
	}
	if lost, ok := longestUnresponsive(now, learners(members), unresponsive, removeAfter); ok {
		return Remove{lost, "a learner is lost"}
	}
	if len(members.Voters) >= minEvenVoters && len(members.Voters)%2 == 0 {
		if lost, ok := longestUnresponsive(now, members.Voters, unresponsive, replaceAfter); ok {
			return Remove{lost, "an even number of voters includes a lost one"}
		}
	}
	return NoAction{}
}

func isMember(members replicator.Membership, identity replicator.Identity) bool {
	return slices.ContainsFunc(members.All(), func(m replicator.Member) bool { return m.Identity == identity })
}

func voterAtAddress(members replicator.Membership, address string) (replicator.Member, bool) {
	for _, member := range members.Voters {
		if member.Address == address {
			return member, true
		}
	}
	return replicator.Member{}, false
}

func learners(members replicator.Membership) []replicator.Member {
	var all []replicator.Member
	for _, learner := range members.Learners {
		all = append(all, learner.Member)
	}
	return all
}

func longestUnresponsive(
	now time.Time, members []replicator.Member, unresponsive map[replicator.Identity]time.Time, limit time.Duration,
) (replicator.Member, bool) {
	var lost replicator.Member
	var since time.Time
	for _, member := range members {
		at, ok := unresponsive[member.Identity]
		if ok && now.Sub(at) >= limit && (since.IsZero() || at.Before(since)) {
			lost, since = member, at
		}
	}
	return lost, !since.IsZero()
}
