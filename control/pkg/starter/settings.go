// Package starter wires the parts of a control process together and runs them.
package starter

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/judger"
	core "samphiremount.example/core/starter"
)

// Settings are the flags and environment variables of samphire-control.
type Settings struct {
	core.Settings

	Name      string   `long:"name" env:"SAMPHIRE_NAME" description:"Name of this control process, unique in the fleet"`
	Fleet     string   `long:"fleet" env:"SAMPHIRE_FLEET" default:"127.0.0.1:8181" description:"IP address and port of the listener for processes of the fleet"`
	Operators string   `long:"operators" env:"SAMPHIRE_OPERATORS" default:"127.0.0.1:8180" description:"IP address and port of the listener for operators"`
	Token     string   `long:"token-file" env:"SAMPHIRE_TOKEN_FILE" description:"File with the token that operators present"`
	Members   []string `long:"member" env:"SAMPHIRE_MEMBERS" env-delim:"," description:"NAME=ADDRESS of a control process, this one included, with the IP address and port of its --fleet; repeat it"`
	Lean      string   `long:"lean" env:"SAMPHIRE_LEAN" default:"even" description:"Trade between false ejections and detection time: kowhai (fewest false ejections), even, caroni (fastest detection) or a number from 0 to 1"`
	Data      string   `long:"data" env:"SAMPHIRE_DATA" description:"Folder for the state that must survive a restart; no other process may use it"`
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
	if _, err := judger.ParseLean(s.Lean); err != nil {
		wrong = append(wrong, errors.Wrap(err, "--lean"))
	}
	if s.Data == "" {
		wrong = append(wrong, errors.New("--data must be set"))
	}
	return append(wrong, s.checkMembers()...)
}

func (s *Settings) checkMembers() []error {
	var wrong []error
	addresses := make(map[string]string)
	for _, text := range s.Members {
		name, address, found := strings.Cut(text, "=")
		if !found || name == "" {
			wrong = append(wrong, errors.Newf("--member must have the form NAME=ADDRESS: %q", text))
			continue
		}
		if _, ok := addresses[name]; ok {
			wrong = append(wrong, errors.Newf("--member names %s twice", name))
		}
		for other, taken := range addresses {
			if taken == address {
				wrong = append(wrong, errors.Newf("--member gives %s and %s the same address", other, name))
			}
		}
		addresses[name] = address
		wrong = append(wrong, core.CheckPeer("--member "+name, address)...)
	}
	if _, ok := addresses[s.Name]; s.Name != "" && !ok {
		wrong = append(wrong, errors.Newf("--member must name this process, %s, too", s.Name))
	}
	return wrong
}

// Addresses returns the IP address and port of each member by its name.
func (s *Settings) Addresses() map[string]string {
	addresses := make(map[string]string)
	for _, text := range s.Members {
		name, address, _ := strings.Cut(text, "=")
		addresses[name] = address
	}
	return addresses
}

// Names returns the names of all members, sorted. The workspaces' rates are divided by them, so they must be alike on
// all control processes.
func (s *Settings) Names() []string {
	return slices.Sorted(maps.Keys(s.Addresses()))
}

// Others returns the addresses of the other members, sorted by their names.
func (s *Settings) Others() []string {
	var others []string
	addresses := s.Addresses()
	for _, name := range s.Names() {
		if name != s.Name {
			others = append(others, addresses[name])
		}
	}
	return others
}
