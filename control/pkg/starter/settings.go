// Package starter creates the components of a control process and runs them.
package starter

import (
	"github.com/cockroachdb/errors"

	"samphiremount.example/core/detector"
	core "samphiremount.example/core/starter"
)

const maxMembers = 7

// Settings are the flags and environment variables of samphire-control.
type Settings struct {
	core.Settings

	Name      string   `long:"name" env:"SAMPHIRE_NAME" description:"Name of this control process, unique in the fleet"`
	Fleet     string   `long:"fleet" env:"SAMPHIRE_FLEET" default:"127.0.0.1:8181" description:"IP address and port of the listener for processes of the fleet"`
	Operators string   `long:"operators" env:"SAMPHIRE_OPERATORS" default:"127.0.0.1:8180" description:"IP address and port of the listener for operators"`
	TokenFile string   `long:"token-file" env:"SAMPHIRE_TOKEN_FILE" description:"File with the token that operators present"`
	Members   []string `long:"member" env:"SAMPHIRE_MEMBERS" env-delim:"," description:"NAME=ADDRESS of a control process, this one included, with the IP address and port of its --fleet; repeat it"`
	Lenders   []string `long:"lender" env:"SAMPHIRE_LENDERS" env-delim:"," description:"NAME=ADDRESS of a node that lends parts of the workspaces' rates beside the control processes; repeat it, alike on all processes"`
	Lean      string   `long:"lean" env:"SAMPHIRE_LEAN" default:"even" description:"Trade between false ejections and detection time: kowhai (fewest false ejections), even, caroni (fastest detection) or a number from 0 to 1"`
	Data      string   `long:"data" env:"SAMPHIRE_DATA" description:"Folder for the state that must survive a restart; no other process may use it"`
}

// Check returns an error for each invalid setting.
func (s *Settings) Check() []error {
	wrong := s.Settings.Check()
	if s.Name == "" {
		wrong = append(wrong, errors.New("--name must be set"))
	}
	wrong = append(wrong, core.CheckListener("--fleet", s.Fleet)...)
	wrong = append(wrong, core.CheckListener("--operators", s.Operators)...)
	if _, err := core.ReadSecret("--token-file", s.TokenFile); err != nil {
		wrong = append(wrong, err)
	}
	if _, err := detector.ParseLean(s.Lean); err != nil {
		wrong = append(wrong, errors.Wrap(err, "--lean"))
	}
	if s.Data == "" {
		wrong = append(wrong, errors.New("--data must be set"))
	}
	return append(wrong, s.checkMembers()...)
}

func (s *Settings) checkMembers() []error {
	members, wrong := core.ParsePeers("--member", s.Members)
	if len(s.Members)%2 == 0 || len(s.Members) > maxMembers {
		wrong = append(wrong, errors.Newf("--member must be given an odd number of times, at most %d: %d", maxMembers, len(s.Members)))
	}
	if _, ok := members[s.Name]; s.Name != "" && !ok {
		wrong = append(wrong, errors.Newf("--member must name this process, %s, too", s.Name))
	}
	_, wrongLenders := core.ParsePeers("--lender", s.Lenders)
	return append(wrong, wrongLenders...)
}

// MemberAddresses returns the IP address and port of each member by name.
func (s *Settings) MemberAddresses() core.Peers {
	members, _ := core.ParsePeers("--member", s.Members)
	return members
}
