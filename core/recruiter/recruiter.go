// Package recruiter decides, for the leader of the replicated log, which processes become members without an operator:
// those that report with a data folder that is not in the membership, in place of members that are lost.
package recruiter

import (
	"slices"
	"time"

	"samphiremount.example/core/replicator"
)

const (
	// replaceAfter is how long a voter must be silent before a newcomer takes its place, or before it is dropped. A process
	// that restarts is back sooner.
	replaceAfter = 3 * time.Second
	// dropAfter is how long a learner must be silent before it is removed.
	dropAfter = 10 * time.Second
	// reportLifetime is how long a newcomer's report counts.
	reportLifetime = 3 * time.Second
	// leastEven is the least even number of voters that is made odd by dropping a silent one.
	leastEven = 4
	// MaxVoters bounds what each accepted change must be sent to.
	MaxVoters = 7
)

// Newcomer is a process that reported at At and is no member.
type Newcomer struct {
	Member replicator.Member
	At     time.Time
}

// Step is a change of the membership. It is Add, Drop or Wait.
type Step interface{ step() }

// Add lets a process learn the log and then vote, in the place of a lost voter if Learner names one.
type Add struct {
	Learner replicator.Learner
	Reason  string
}

// Drop removes a member.
type Drop struct {
	Member replicator.Member
	Reason string
}

// Wait changes nothing.
type Wait struct{}

func (Add) step()  {}
func (Drop) step() {}
func (Wait) step() {}

// Decide returns the next step for members at now. Silent holds, for each member that the leader does not hear, since
// when. A newcomer at the address of a voter is that voter's process with a lost disk, and takes its place at once.
// Another newcomer takes the place of the voter that has been silent longest, if any has been for replaceAfter; else it
// becomes one more voter. A silent voter of an even number is dropped: without it a quorum is smaller, and the rest
// tolerates one more loss. It may report and join again.
func Decide(
	now time.Time, members replicator.Membership, silent map[replicator.Identity]time.Time, newcomers []Newcomer,
) Step {
	for _, newcomer := range newcomers {
		if now.Sub(newcomer.At) > reportLifetime || known(members, newcomer.Member.Identity) {
			continue
		}
		if old, ok := atAddress(members, newcomer.Member.Address); ok {
			return Add{replicator.Learner{Member: newcomer.Member, Replaces: old.Identity}, "its data folder was lost"}
		}
		if old, ok := longestSilent(now, members.Voters, silent, replaceAfter); ok {
			return Add{replicator.Learner{Member: newcomer.Member, Replaces: old.Identity}, "a voter is lost"}
		}
		if len(members.Voters)+len(members.Learners) < MaxVoters {
			return Add{replicator.Learner{Member: newcomer.Member}, "it reported"}
		}
	}
	if lost, ok := longestSilent(now, learners(members), silent, dropAfter); ok {
		return Drop{lost, "a learner is lost"}
	}
	if len(members.Voters) >= leastEven && len(members.Voters)%2 == 0 {
		if lost, ok := longestSilent(now, members.Voters, silent, replaceAfter); ok {
			return Drop{lost, "a voter of an even number is lost"}
		}
	}
	return Wait{}
}

func known(members replicator.Membership, identity replicator.Identity) bool {
	return slices.ContainsFunc(members.All(), func(m replicator.Member) bool { return m.Identity == identity })
}

func atAddress(members replicator.Membership, address string) (replicator.Member, bool) {
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

func longestSilent(
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
