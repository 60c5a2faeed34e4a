// Package elector decides which of several processes holds a lease that only one may hold: the holder needs the votes of
// a majority (Gray and Cheriton 1989). Deadlines are on each process's own monotonic clock; no clocks are compared.
package elector

import (
	"slices"
	"time"
)

const (
	// VoteLifetime is how long a voter keeps its vote for a candidate.
	VoteLifetime = 6 * time.Second
	// LeaseLifetime is how long a candidate relies on a vote, counted from when it asked. It is shorter than VoteLifetime
	// by the bound on the drift between two clocks.
	LeaseLifetime = VoteLifetime * 9 / 10
)

// Voter is the vote of one process. It is an immutable value.
type Voter struct {
	candidate string
	deadline  time.Time
}

// NewVoter returns the vote of a process that starts at now. It votes for nobody for VoteLifetime, since it has
// forgotten its vote from before.
func NewVoter(now time.Time) Voter {
	return Voter{deadline: now.Add(VoteLifetime)}
}

// With returns the vote after candidate asked for it at now, and whether candidate has it.
func (v Voter) With(now time.Time, candidate string) (Voter, bool) {
	if candidate == "" || v.candidate != candidate && now.Before(v.deadline) {
		return v, false
	}
	return Voter{candidate: candidate, deadline: now.Add(VoteLifetime)}, true
}

// Without returns the vote after candidate, the voter itself, gave it up at now. Candidate must forget it first.
func (v Voter) Without(now time.Time, candidate string) Voter {
	if v.candidate != candidate {
		return v
	}
	return Voter{deadline: now}
}

// Free reports whether a new candidate could have the vote at now.
func (v Voter) Free(now time.Time) bool {
	return !now.Before(v.deadline)
}

// Candidacy is what a candidate knows of the votes for it. It is an immutable value.
type Candidacy struct {
	voters int
	votes  map[string]time.Time
}

// NewCandidacy returns a candidacy without votes among voters.
func NewCandidacy(voters int) Candidacy {
	return Candidacy{voters: voters}
}

// With returns the candidacy after voter granted a request that was sent at asked.
func (c Candidacy) With(voter string, asked time.Time) Candidacy {
	votes := map[string]time.Time{voter: asked.Add(LeaseLifetime)}
	for other, deadline := range c.votes {
		if other != voter || deadline.After(votes[voter]) {
			votes[other] = deadline
		}
	}
	return Candidacy{voters: c.voters, votes: votes}
}

// Deadline returns until when the candidate holds the lease: up to then a majority of votes is for it. It is zero
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
