// Package starter wires the parts of a control process together and runs them.
package starter

import (
	"slices"

	"github.com/cockroachdb/errors"

	core "samphiremount.example/core/starter"
)

// Settings are the flags and environment variables of samphire-control.
type Settings struct {
	core.Settings

	Name      string   `long:"name" env:"SAMPHIRE_NAME" description:"Name of this control process, unique in the fleet"`
	Fleet     string   `long:"fleet" env:"SAMPHIRE_FLEET" default:"127.0.0.1:8181" description:"IP address and port of the listener for processes of the fleet"`
	Operators string   `long:"operators" env:"SAMPHIRE_OPERATORS" default:"127.0.0.1:8180" description:"IP address and port of the listener for operators"`
	Token     string   `long:"token-file" env:"SAMPHIRE_TOKEN_FILE" description:"File with the token that operators present"`
	Peers     []string `long:"peer" env:"SAMPHIRE_PEERS" env-delim:"," description:"IP address and port of another control process; repeat it"`
	Lenders   []string `long:"lender" env:"SAMPHIRE_LENDERS" env-delim:"," description:"Name of a control process that lends parts of the workspaces' rates, itself included; repeat it, alike on all control processes"`
	Primary   bool     `long:"primary" env:"SAMPHIRE_PRIMARY" description:"Accept operators' changes; set it on exactly one control process"`
}

// Check returns an error for each wrong setting.
func (s *Settings) Check() []error {
	wrong := s.Settings.Check()
	if s.Name == "" {
		wrong = append(wrong, errors.New("--name must be set"))
	}
	wrong = append(wrong, core.CheckListener("--fleet", s.Fleet)...)
	wrong = append(wrong, core.CheckListener("--operators", s.Operators)...)
	if _, err := core.ReadSecret("--token-file", s.Token); err != nil {
		wrong = append(wrong, err)
	}
	wrong = append(wrong, s.checkLenders()...)
	for _, address := range s.Peers {
		wrong = append(wrong, core.CheckPeer("--peer", address)...)
	}
	return wrong
}

// checkLenders makes sure that each process owns its part of the rates and no more: one that has peers must know all
// the names by which they divide.
func (s *Settings) checkLenders() []error {
	if len(s.Lenders) == 0 && len(s.Peers) == 0 {
		s.Lenders = []string{s.Name}
	}
	if !slices.Contains(s.Lenders, s.Name) {
		return []error{errors.New("--lender must be given for each control process, this one included")}
	}
	if len(slices.Compact(slices.Sorted(slices.Values(s.Lenders)))) != len(s.Lenders) {
		return []error{errors.New("--lender must not be given twice for one name")}
	}
	return nil
}
