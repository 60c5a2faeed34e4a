// Package elector decides which of several processes holds a lease that only one of them may hold at a time. The holder
// needs the votes of a majority, which expire (Gray and Cheriton 1989). Each process keeps deadlines on its own
// monotonic clock; clocks of different processes are never compared.
package elector

import (
	"slices"
	"time"
)

const (
	// VoteLifetime is the time for which a voter does not vote for another candidate.
	VoteLifetime = 6 * time.Second
	// LeaseLifetime is the time for which a candidate relies on a vote, from its request for the vote. It is shorter
	// than VoteLifetime by the maximum drift between two clocks.
	LeaseLifetime = VoteLifetime * 9 / 10
)

// Voter is the state of the vote of one process: its candidate and when it expires. It is an immutable value.
type Voter struct {
	candidate string
	deadline  time.Time
}

// NewVoter returns the vote of a process that starts at now. The process votes for no candidate during VoteLifetime,
// since it has no record of the vote of its previous incarnation.
func NewVoter(now time.Time) Voter {
	return Voter{deadline: now.Add(VoteLifetime)}
}

// With returns the vote after a request of candidate at now, and whether candidate has the vote.
func (v Voter) With(now time.Time, candidate string) (Voter, bool) {
	if candidate == "" || v.candidate != candidate && now.Before(v.deadline) {
		return v, false
	}
	return Voter{candidate: candidate, deadline: now.Add(VoteLifetime)}, true
}

// Without returns the vote after candidate released it at now. Only the voter itself may do so, as its own candidate,
// and its candidacy must no longer count the vote.
func (v Voter) Without(now time.Time, candidate string) Voter {
	if v.candidate != candidate {
		return v
	}
	return Voter{deadline: now}
}

// Free reports whether a new candidate could get the vote at now.
func (v Voter) Free(now time.Time) bool {
	return !now.Before(v.deadline)
}

// Candidacy holds the votes for one candidate and their deadlines. It is an immutable value.
type Candidacy struct {
	voters int
	votes  map[string]time.Time
}

// NewCandidacy returns a candidacy without votes. The number of voters is fixed.
func NewCandidacy(voters int) Candidacy {
	return Candidacy{voters: voters}
}

// With returns the candidacy after voter granted a request that was sent at requestedAt.
func (c Candidacy) With(voter string, requestedAt time.Time) Candidacy {
	votes := map[string]time.Time{voter: requestedAt.Add(LeaseLifetime)}
	for other, deadline := range c.votes {
		if other != voter || deadline.After(votes[voter]) {
			votes[other] = deadline
		}
	}
	return Candidacy{voters: c.voters, votes: votes}
}

// Deadline returns the time until which the candidate holds the lease, that is, has the votes of a majority. It is zero
// without a majority.
func (c Candidacy) Deadline() time.Time {
	majority := c.voters/2 + 1
	if len(c.votes) < majority {
		return time.Time{}
	}
	deadlines := make([]time.Time, 0, len(c.votes))
	for _, deadline := range c.votes {
		deadlines = append(deadlines, deadline)
	}
	slices.SortFunc(deadlines, func(a, b time.Time) int { return b.Compare(a) })
	return deadlines[majority-1]
}

// Holds reports whether the candidate holds the lease at now.
func (c Candidacy) Holds(now time.Time) bool {
	return now.Before(c.Deadline())
}
