// Package reconciler decides, for the leader of the replicated log, which processes become members without an operator:
// those that report with a data folder that is not in the membership, in place of members that are lost.
package reconciler

import (
	"slices"
	"time"

	"samphiremount.example/core/replicator"
)

const (
	// replaceAfter is how long a voter must be silent before a newcomer takes its place, or before it is dropped. A process
	// that restarts is back sooner.
	replaceAfter = 3 * time.Second
	// removeAfter is how long a learner must be silent before it is removed.
	removeAfter = 10 * time.Second
	// joinRequestTTL is how long a newcomer's report counts.
	joinRequestTTL = 3 * time.Second
	// minEvenVoters is the least even number of voters that is made odd by dropping a silent one.
	minEvenVoters = 4
	// MaxVoters bounds what each accepted change must be sent to.
	MaxVoters = 7
)

// JoinRequest is a process that reported at At and is no member.
type JoinRequest struct {
	Member     replicator.Member
	ReceivedAt time.Time
}

// Action is a change of the membership. It is Add, Drop or Wait.
type Action interface{ action() }

// Add lets a process learn the log and then vote, in the place of a lost voter if Learner names one.
type Add struct {
	Learner replicator.Learner
	Reason  string
}

// Remove removes a member.
type Remove struct {
	Member replicator.Member
	Reason string
}

// NoAction changes nothing.
type NoAction struct{}

func (Add) action()      {}
func (Remove) action()   {}
func (NoAction) action() {}

// Decide returns the next step for members at now. Silent holds, for each member that the leader does not hear, since
// when. A newcomer at the address of a voter is that voter's process with a lost disk, and takes its place at once.
// Another newcomer takes the place of the voter that has been silent longest, if any has been for replaceAfter; else it
// becomes one more voter. A silent voter of an even number is dropped: without it a quorum is smaller, and the rest
// tolerates one more loss. It may report and join again.
func Decide(
	now time.Time, members replicator.Membership, silent map[replicator.Identity]time.Time, newcomers []JoinRequest,
) Action {
	for _, newcomer := range newcomers {
		if now.Sub(newcomer.ReceivedAt) > joinRequestTTL || isMember(members, newcomer.Member.Identity) {
			continue
		}
		if old, ok := voterAtAddress(members, newcomer.Member.Address); ok {
			return Add{replicator.Learner{Member: newcomer.Member, Replaces: old.Identity}, "its data folder was lost"}
		}
		if old, ok := longestUnresponsive(now, members.Voters, silent, replaceAfter); ok {
			return Add{replicator.Learner{Member: newcomer.Member, Replaces: old.Identity}, "a voter is lost"}
		}
		if len(members.Voters)+len(members.Learners) < MaxVoters {
			return Add{replicator.Learner{Member: newcomer.Member}, "it reported"}
		}
	}
	if lost, ok := longestUnresponsive(now, learners(members), silent, removeAfter); ok {
		return Remove{lost, "a learner is lost"}
	}
	if len(members.Voters) >= minEvenVoters && len(members.Voters)%2 == 0 {
		if lost, ok := longestUnresponsive(now, members.Voters, silent, replaceAfter); ok {
			return Remove{lost, "a voter of an even number is lost"}
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
	now time.Time, members []replicator.Member, silent map[replicator.Identity]time.Time, limit time.Duration,
) (replicator.Member, bool) {
	var lost replicator.Member
	var since time.Time
	for _, member := range members {
		at, ok := silent[member.Identity]
		if ok && now.Sub(at) >= limit && (since.IsZero() || at.Before(since)) {
			lost, since = member, at
		}
	}
	return lost, !since.IsZero()
}
