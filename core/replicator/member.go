package replicator

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Identity names one data folder of one control process. It is chosen at random when the folder is created, so that a
// process that lost its disk is a new member and can never vote under its old identity.
type Identity string

// Member is one control process of the cluster. Address is the IP address and port of its listener for the fleet.
type Member struct {
	Identity Identity `cbor:"1,keyasint"`
	Name     string   `cbor:"2,keyasint"`
	Address  string   `cbor:"3,keyasint,omitempty"`
	Region   string   `cbor:"4,keyasint,omitempty"`
	Centre   string   `cbor:"5,keyasint,omitempty"`
}

// Learner receives the log but has no vote until it has caught up. Then the member that it replaces is removed, if
// Replaces names one, and the learner becomes a voter.
type Learner struct {
	Member   Member   `cbor:"1,keyasint"`
	Replaces Identity `cbor:"2,keyasint,omitempty"`
}

// Membership is the set of members. Only voters count towards a quorum. It is immutable.
type Membership struct {
	Voters   []Member  `cbor:"1,keyasint"`
	Learners []Learner `cbor:"2,keyasint,omitempty"`
}

// Empty reports whether no membership is known yet.
func (m Membership) Empty() bool { return len(m.Voters) == 0 }

// IsVoter reports whether identity is a voter.
func (m Membership) IsVoter(identity Identity) bool {
	return slices.ContainsFunc(m.Voters, func(member Member) bool { return member.Identity == identity })
}

// VoterByName returns the voter called name.
func (m Membership) VoterByName(name string) (Member, bool) {
	for _, member := range m.Voters {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// LearnerByName returns the learner called name.
func (m Membership) LearnerByName(name string) (Member, bool) {
	for _, learner := range m.Learners {
		if learner.Member.Name == name {
			return learner.Member, true
		}
	}
	return Member{}, false
}

// All returns the voters and the learners.
func (m Membership) All() []Member {
	all := slices.Clone(m.Voters)
	for _, learner := range m.Learners {
		all = append(all, learner.Member)
	}
	return all
}

func (m Membership) contains(identity Identity) bool {
	return slices.ContainsFunc(m.All(), func(member Member) bool { return member.Identity == identity })
}

func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

// withLearner adds a learner. It replaces an earlier learner of the same name.
func (m Membership) withLearner(added Learner) Membership {
	learners := slices.DeleteFunc(slices.Clone(m.Learners), func(old Learner) bool {
		return old.Member.Name == added.Member.Name
	})
	return Membership{Voters: m.Voters, Learners: append(learners, added)}
}

func (m Membership) without(identity Identity) Membership {
	voters := slices.DeleteFunc(slices.Clone(m.Voters), func(member Member) bool { return member.Identity == identity })
	learners := slices.DeleteFunc(slices.Clone(m.Learners), func(learner Learner) bool {
		return learner.Member.Identity == identity
	})
	return Membership{Voters: voters, Learners: learners}
}

func (m Membership) withVoter(learner Learner) Membership {
	next := m.without(learner.Member.Identity)
	return Membership{Voters: append(next.Voters, learner.Member), Learners: next.Learners}
}

// DigestOf returns a hash of members, which is 0 if there are none.
func DigestOf(members []Member) uint64 {
	if len(members) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, m := range members {
		for _, text := range []string{string(m.Identity), m.Name, m.Address, m.Region, m.Centre} {
			_, _ = digest.WriteString(text)
			_, _ = digest.Write([]byte{0})
		}
	}
	return digest.Sum64()
}
