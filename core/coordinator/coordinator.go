// Package coordinator lets the control processes judge targets together: one of them holds a lease, gathers the evidence of
// all, decides on ejections and publishes the list, which counts for a short time.
//
// A list never counts for longer than the lease under which it was made. Whoever relays it counts its time from before
// it was made: a control process from the token that the holder's request returns, a node from its own question.
// So whatever is lost, late or cut, no list counts anywhere once another holder can make one.
package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"samphiremount.example/core/detector"
	"samphiremount.example/core/ejector"
	"samphiremount.example/core/elector"
	"samphiremount.example/core/observer"
)

const (
	// presenceLifetime is how long a gate's word that a target is present counts.
	presenceLifetime = 3 * time.Second
	// settlingTime is how long a new holder gathers evidence before its first decision.
	settlingTime = 2 * time.Second

	// minRoundInterval is the least time between two judgements of a service, so that each sees all of its targets.
	minRoundInterval = time.Second
	// evidenceLifetime is how long evidence waits for a holder.
	evidenceLifetime = 5 * time.Second

	maxTokens = 8
)

// Coordinator is one control process's part. It is not safe for concurrent use.
type Coordinator struct {
	name      string
	peers     []string
	method    detector.Method
	voter     elector.Voter
	candidacy elector.Candidacy
	retryAt   time.Time

	tokens     []issuedToken
	peerTokens map[string]uint64

	evidence     map[string]timedDigest
	list         []ejector.Ejection
	listDeadline time.Time

	term *term
}

type issuedToken struct {
	token uint64
	at    time.Time
}

type timedDigest struct {
	digest observer.Digest
	at     time.Time
}

// New returns the part of the process called name at now, without lease and list. Names of peers must be unique, and
// token must differ from every token of an earlier start: a vote for that start is none for this one.
func New(now time.Time, name string, peers []string, method detector.Method, token uint64) *Coordinator {
	return &Coordinator{
		name: fmt.Sprintf("%s/%d", name, token), peers: peers, method: method,
		voter: elector.NewVoter(now), candidacy: elector.NewCandidacy(len(peers) + 1),
		tokens: []issuedToken{{token, now}}, peerTokens: make(map[string]uint64), evidence: make(map[string]timedDigest),
	}
}

// Observe takes a node's digests at now. It returns the list in force and until when that counts.
func (a *Coordinator) Observe(now time.Time, digests []observer.Digest) ([]ejector.Ejection, time.Time) {
	for _, digest := range digests {
		a.addEvidence(digest, now)
	}
	if !now.Before(a.listDeadline) {
		return nil, time.Time{}
	}
	return a.list, a.listDeadline
}

// addEvidence joins a digest with what waits for the next round. The older time counts, so that presence is never believed for
// too long, unless what waits says nothing of presence.
func (a *Coordinator) addEvidence(digest observer.Digest, at time.Time) {
	old, ok := a.evidence[digest.Target]
	if at.Sub(old.at) > evidenceLifetime {
		old, ok = timedDigest{}, false
	}
	if ok && digest.Slots == 0 {
		at = old.at
	}
	leaving := digest.Leaving
	digest = digest.With(old.digest)
	digest.Leaving = leaving
	a.evidence[digest.Target] = timedDigest{digest, at}
}

// ShouldRequest reports whether the process should ask the others at now: it holds the lease, or its own vote is free and
// the pause after its last failed attempt is over.
func (a *Coordinator) ShouldRequest(now time.Time) bool {
	if a.candidacy.Holds(now) {
		return true
	}
	return a.voter.Free(now) && !now.Before(a.retryAt)
}

// StepDown ends a candidacy that brought no majority by now, and pauses until deadline. The process forgets the votes for
// it and frees its own, so that another candidate need not wait for its end.
func (a *Coordinator) StepDown(now, deadline time.Time) {
	a.candidacy = elector.NewCandidacy(len(a.peers) + 1)
	a.voter = a.voter.Without(now, a.name)
	a.retryAt = deadline
}

// Holds reports whether the process holds the lease at now.
func (a *Coordinator) Holds(now time.Time) bool {
	return a.candidacy.Holds(now)
}

// Request takes the process's own vote and returns what to send to peer at now. The caller passes now to Absorb.
func (a *Coordinator) Request(now time.Time, peer string) Request {
	a.voteForSelf(now)
	request := Request{Candidate: a.name, Token: a.peerTokens[peer]}
	if a.candidacy.Holds(now) && now.Before(a.listDeadline) {
		request.Remaining = a.listDeadline.Sub(now).Milliseconds()
		request.List = a.list
	}
	return request
}

func (a *Coordinator) voteForSelf(now time.Time) {
	voter, granted := a.voter.With(now, a.name)
	a.voter = voter
	if granted {
		a.candidacy = a.candidacy.With(a.name, now)
	}
}

// HandleRequest answers another process's request at now.
func (a *Coordinator) HandleRequest(now time.Time, request Request) Reply {
	voter, granted := a.voter.With(now, request.Candidate)
	a.voter = voter
	reply := Reply{Granted: granted, Token: a.issueToken(now)}
	if !granted {
		return reply
	}
	if at, ok := a.tokenIssuedAt(request.Token); ok && request.Remaining > 0 {
		a.list, a.listDeadline = request.List, at.Add(time.Duration(request.Remaining)*time.Millisecond)
	}
	for _, target := range slices.Sorted(maps.Keys(a.evidence)) {
		waiting := a.evidence[target]
		if now.Sub(waiting.at) > evidenceLifetime {
			continue
		}
		reply.Evidence = append(reply.Evidence, Evidence{waiting.digest, now.Sub(waiting.at).Milliseconds()})
	}
	clear(a.evidence)
	return reply
}

func (a *Coordinator) issueToken(now time.Time) uint64 {
	token := a.tokens[len(a.tokens)-1].token + 1
	a.tokens = append(a.tokens, issuedToken{token, now})
	a.tokens = a.tokens[max(0, len(a.tokens)-maxTokens):]
	return token
}

func (a *Coordinator) tokenIssuedAt(token uint64) (time.Time, bool) {
	for _, issued := range a.tokens {
		if issued.token == token {
			return issued.at, true
		}
	}
	return time.Time{}, false
}

// HandleReply takes peer's reply to a request that was made at asked.
func (a *Coordinator) HandleReply(peer string, asked time.Time, reply Reply) {
	a.peerTokens[peer] = reply.Token
	if !reply.Granted {
		return
	}
	a.candidacy = a.candidacy.With(peer, asked)
	for _, evidence := range reply.Evidence {
		a.addEvidence(evidence.Digest, asked.Add(-time.Duration(max(evidence.Age, 0))*time.Millisecond))
	}
}
