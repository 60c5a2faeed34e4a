package reconciler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"samphiremount.example/core/reconciler"
	"samphiremount.example/core/replicator"
)

var start = time.Unix(1000, 0)

func member(identity, address string) replicator.Member {
	return replicator.Member{Identity: replicator.Identity(identity), Name: identity, Address: address}
}

func voters(identities ...string) replicator.Membership {
	var members replicator.Membership
	for _, identity := range identities {
		members.Voters = append(members.Voters, member(identity, "at-"+identity))
	}
	return members
}

func joinRequests(at time.Time, members ...replicator.Member) []reconciler.JoinRequest {
	var all []reconciler.JoinRequest
	for _, m := range members {
		all = append(all, reconciler.JoinRequest{Member: m, ReceivedAt: at})
	}
	return all
}

func TestDecide(t *testing.T) {
	unresponsive := func(identity string, since time.Duration) map[replicator.Identity]time.Time {
		return map[replicator.Identity]time.Time{replicator.Identity(identity): start.Add(-since)}
	}
	fresh := member("new", "at-new")
	for name, test := range map[string]struct {
		members      replicator.Membership
		unresponsive map[replicator.Identity]time.Time
		requests     []reconciler.JoinRequest
		want         string
	}{
		"nothing":                         {voters("a", "b", "c"), nil, nil, "wait"},
		"one more":                        {voters("a", "b", "c"), nil, joinRequests(start, fresh), "add new for "},
		"lost disk at once":               {voters("a", "b", "c"), nil, joinRequests(start, member("a2", "at-a")), "add a2 for a"},
		"lost voter replaced":             {voters("a", "b", "c"), unresponsive("b", 4*time.Second), joinRequests(start, fresh), "add new for b"},
		"unresponsive voter not yet lost": {voters("a", "b", "c"), unresponsive("b", time.Second), joinRequests(start, fresh), "add new for "},
		"expired join request":            {voters("a", "b", "c"), nil, joinRequests(start.Add(-time.Minute), fresh), "wait"},
		"join request of a member":        {voters("a", "b", "c"), nil, joinRequests(start, member("a", "at-a")), "wait"},
		"no successor":                    {voters("a", "b", "c"), unresponsive("b", time.Hour), nil, "wait"},
		"full":                            {voters("a", "b", "c", "d", "e", "f", "g"), nil, joinRequests(start, fresh), "wait"},
		"voter of six lost":               {voters("a", "b", "c", "d", "e", "f"), unresponsive("f", 3*time.Second), nil, "drop f"},
		"voter of six not yet lost":       {voters("a", "b", "c", "d", "e", "f"), unresponsive("f", 2*time.Second), nil, "wait"},
		"voter of five lost":              {voters("a", "b", "c", "d", "e"), unresponsive("e", time.Hour), nil, "wait"},
	} {
		assert.Equal(t, describe(reconciler.Decide(start, test.members, test.unresponsive, test.requests)), test.want, name)
	}
}

func describe(action reconciler.Action) string {
	switch action := action.(type) {
	case reconciler.Add:
		return fmt.Sprintf("add %s for %s", action.Learner.Member.Identity, action.Learner.Replaces)
	case reconciler.Remove:
		return "drop " + string(action.Member.Identity)
	default:
		return "wait"
	}
}

// fleet is a set of processes and their membership. Each decided action takes effect at once.
type fleet struct {
	members      replicator.Membership
	alive        map[replicator.Identity]replicator.Member
	unresponsive map[replicator.Identity]time.Time
	now          time.Time
}

// settle advances the clock by span and applies each action that is due.
func (f *fleet) settle(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		var requests []reconciler.JoinRequest
		for identity, m := range f.alive {
			if !f.members.IsVoter(identity) {
				requests = append(requests, reconciler.JoinRequest{Member: m, ReceivedAt: f.now})
			}
		}
		for _, voter := range f.members.Voters {
			if _, ok := f.alive[voter.Identity]; ok {
				delete(f.unresponsive, voter.Identity)
			} else if _, ok := f.unresponsive[voter.Identity]; !ok {
				f.unresponsive[voter.Identity] = f.now
			}
		}
		switch action := reconciler.Decide(f.now, f.members, f.unresponsive, requests).(type) {
		case reconciler.Add:
			f.remove(action.Learner.Replaces)
			f.members.Voters = append(f.members.Voters, action.Learner.Member)
		case reconciler.Remove:
			f.remove(action.Member.Identity)
		case reconciler.NoAction:
		}
	}
}

// running returns the voters whose process runs.
func (f *fleet) running() []replicator.Member {
	var running []replicator.Member
	for _, voter := range f.members.Voters {
		if _, ok := f.alive[voter.Identity]; ok {
			running = append(running, voter)
		}
	}
	return running
}

func (f *fleet) remove(identity replicator.Identity) {
	var kept []replicator.Member
	for _, voter := range f.members.Voters {
		if voter.Identity != identity {
			kept = append(kept, voter)
		}
	}
	f.members.Voters = kept
}

// TestMembershipRecoversFromEachLoss stops one process after another. Each comes back as another machine, with an empty
// disk, or unchanged. Within catchUp all running processes must be voters again, and another loss must be tolerable.
func TestMembershipRecoversFromEachLoss(t *testing.T) {
	const catchUp = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{
			alive: make(map[replicator.Identity]replicator.Member), unresponsive: make(map[replicator.Identity]time.Time), now: start,
		}
		size := rapid.IntRange(3, 6).Draw(t, "size")
		for i := range size {
			m := member(fmt.Sprint("m", i), fmt.Sprint("at-", i))
			f.alive[m.Identity] = m
			f.members.Voters = append(f.members.Voters, m)
		}
		// The next process stops only after the replacement of the last one has had catchUp to become a voter.
		for round := range rapid.IntRange(1, 8).Draw(t, "losses") {
			all := f.running()
			lost := all[rapid.IntRange(0, len(all)-1).Draw(t, "lost")]
			delete(f.alive, lost.Identity)
			f.settle(time.Duration(rapid.IntRange(0, 8000).Draw(t, "away")) * time.Millisecond)
			next := lost
			switch rapid.SampledFrom([]string{"disk", "machine", "back"}).Draw(t, "how") {
			case "disk":
				next.Identity = replicator.Identity(fmt.Sprint(lost.Identity, ".", round))
			case "machine":
				next = member(fmt.Sprint("n", round), fmt.Sprint("new-", round))
			}
			f.alive[next.Identity] = next
			f.settle(catchUp)
			for identity := range f.alive {
				assert.Assert(t, f.members.IsVoter(identity), "%s does not vote after round %d", identity, round)
			}
			running := len(f.running())
			assert.Equal(t, running, size)
			assert.Assert(t, running-1 >= len(f.members.Voters)/2+1, "%d of %d voters run", running, len(f.members.Voters))
		}
	})
}
