// Package coordinator coordinates the decisions of the control processes on ejections. One of them holds a lease,
// collects the evidence of all, decides on ejections and publishes the list of ejections, which is valid for a short
// time.
//
// A list is never valid for longer than the lease under which it was made. Each receiver measures its validity from a
// time before the list was made: a control process from the time at which it issued the token that the holder's request
// carries, and a node from the time at which it sent its own request. So even if messages are lost or late or the network
// is partitioned, no list is valid anywhere once another holder can make one.
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
	// presenceLifetime is how long a gate's report that its target is present is valid.
	presenceLifetime = 3 * time.Second
	// settlingTime is how long a new holder collects evidence before its first decision.
	settlingTime = 2 * time.Second

	// minRoundInterval is the minimum time between two detection rounds of a service, so that each round has evidence on
	// all of its targets.
	minRoundInterval = time.Second
	// evidenceLifetime is how long evidence is kept for a holder of the lease to collect it.
	evidenceLifetime = 5 * time.Second

	// maxTokens is the number of issued tokens whose times are kept.
	maxTokens = 8
)

// Coordinator is the state of one control process. It is not safe for concurrent use.
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

// issuedToken is a token that this process sent in a reply, with the time of the reply.
type issuedToken struct {
	token uint64
	at    time.Time
}

// timedDigest is a digest with the time at which it is known to have been true.
type timedDigest struct {
	digest observer.Digest
	at     time.Time
}

// New returns the Coordinator of the process called name at now, without a lease or a list. The names of peers must be
// unique. token must differ from every token of an earlier start, so that a vote for that start does not count for this
// one.
func New(now time.Time, name string, peers []string, method detector.Method, token uint64) *Coordinator {
	return &Coordinator{
		name: fmt.Sprintf("%s/%d", name, token), peers: peers, method: method,
		voter: elector.NewVoter(now), candidacy: elector.NewCandidacy(len(peers) + 1),
		tokens: []issuedToken{{token, now}}, peerTokens: make(map[string]uint64), evidence: make(map[string]timedDigest),
	}
}

// Observe adds the digests of a node at now. It returns the list in force and the time until which it is valid, or
// zero values if no list is in force.
func (c *Coordinator) Observe(now time.Time, digests []observer.Digest) ([]ejector.Ejection, time.Time) {
	for _, digest := range digests {
		c.addEvidence(digest, now)
	}
	if !now.Before(c.listDeadline) {
		return nil, time.Time{}
	}
	return c.list, c.listDeadline
}

// addEvidence merges a digest into the pending one of the same target. The merged digest keeps the older time unless the
// new digest reports presence, so that a target does not count as present for too long.
func (c *Coordinator) addEvidence(digest observer.Digest, at time.Time) {
	old, ok := c.evidence[digest.Target]
	if at.Sub(old.at) > evidenceLifetime {
		old, ok = timedDigest{}, false
	}
	if ok && digest.Slots == 0 {
		at = old.at
	}
	leaving := digest.Leaving
	digest = digest.With(old.digest)
	digest.Leaving = leaving
	c.evidence[digest.Target] = timedDigest{digest, at}
}

// ShouldRequest reports whether the process should send requests to the others at now. That is so if it holds the lease,
// or if its own vote is free and the backoff after its last failed candidacy is over.
func (c *Coordinator) ShouldRequest(now time.Time) bool {
	if c.candidacy.Holds(now) {
		return true
	}
	return c.voter.Free(now) && !now.Before(c.retryAt)
}

// StepDown ends, at now, a candidacy that got no majority. The process does not start another one before retryAt. It
// discards the votes that it got and frees its own, so that another candidate need not wait until it expires.
func (c *Coordinator) StepDown(now, retryAt time.Time) {
	c.candidacy = elector.NewCandidacy(len(c.peers) + 1)
	c.voter = c.voter.Without(now, c.name)
	c.retryAt = retryAt
}

// Holds reports whether the process holds the lease at now.
func (c *Coordinator) Holds(now time.Time) bool {
	return c.candidacy.Holds(now)
}

// Request takes the process's own vote and returns the request to send to peer at now. The caller must pass the same now
// to HandleReply.
func (c *Coordinator) Request(now time.Time, peer string) Request {
	c.voteForSelf(now)
	request := Request{Candidate: c.name, Token: c.peerTokens[peer]}
	if c.candidacy.Holds(now) && now.Before(c.listDeadline) {
		request.Remaining = c.listDeadline.Sub(now).Milliseconds()
		request.List = c.list
	}
	return request
}

// voteForSelf takes or renews the process's own vote at now, if it is free.
func (c *Coordinator) voteForSelf(now time.Time) {
	voter, granted := c.voter.With(now, c.name)
	c.voter = voter
	if granted {
		c.candidacy = c.candidacy.With(c.name, now)
	}
}

// HandleRequest returns the reply to a request of another process at now. If it grants its vote, it also takes over the
// list of the request and hands over its evidence.
func (c *Coordinator) HandleRequest(now time.Time, request Request) Reply {
	voter, granted := c.voter.With(now, request.Candidate)
	c.voter = voter
	reply := Reply{Granted: granted, Token: c.issueToken(now)}
	if !granted {
		return reply
	}
	if at, ok := c.tokenIssuedAt(request.Token); ok && request.Remaining > 0 {
		c.list, c.listDeadline = request.List, at.Add(time.Duration(request.Remaining)*time.Millisecond)
	}
	for _, target := range slices.Sorted(maps.Keys(c.evidence)) {
		pending := c.evidence[target]
		if now.Sub(pending.at) > evidenceLifetime {
			continue
		}
		reply.Evidence = append(reply.Evidence, AgedDigest{pending.digest, now.Sub(pending.at).Milliseconds()})
	}
	clear(c.evidence)
	return reply
}

func (c *Coordinator) issueToken(now time.Time) uint64 {
	token := c.tokens[len(c.tokens)-1].token + 1
	c.tokens = append(c.tokens, issuedToken{token, now})
	c.tokens = c.tokens[max(0, len(c.tokens)-maxTokens):]
	return token
}

// tokenIssuedAt returns the time at which this process issued token, or false if it does not know the token.
func (c *Coordinator) tokenIssuedAt(token uint64) (time.Time, bool) {
	for _, issued := range c.tokens {
		if issued.token == token {
			return issued.at, true
		}
	}
	return time.Time{}, false
}

// HandleReply takes the reply of peer to a request that was made at requestedAt.
func (c *Coordinator) HandleReply(peer string, requestedAt time.Time, reply Reply) {
	c.peerTokens[peer] = reply.Token
	if !reply.Granted {
		return
	}
	c.candidacy = c.candidacy.With(peer, requestedAt)
	for _, evidence := range reply.Evidence {
		c.addEvidence(evidence.Digest, requestedAt.Add(-time.Duration(max(evidence.Age, 0))*time.Millisecond))
	}
}
