// Package starter assembles the components of a node and runs them.
package starter

import (
	"time"

	"github.com/cockroachdb/errors"

	core "samphiremount.example/core/starter"
)

// Settings are the flags and environment variables of the program samphire-node.
type Settings struct {
	core.Settings

	Name      string        `long:"name" env:"SAMPHIRE_NAME" description:"Name of this node, unique in the fleet"`
	Region    string        `long:"region" env:"SAMPHIRE_REGION" description:"Region of this VM"`
	Centre    string        `long:"centre" env:"SAMPHIRE_CENTRE" description:"Data centre of this VM"`
	Entry     string        `long:"entry" env:"SAMPHIRE_ENTRY" default:"127.0.0.1:8080" description:"IP address and port of the listener for callers"`
	Fleet     string        `long:"fleet" env:"SAMPHIRE_FLEET" default:"127.0.0.1:8081" description:"IP address and port of the listener for other nodes; it must be reachable from them"`
	Advertise string        `long:"advertise" env:"SAMPHIRE_ADVERTISE" description:"IP address and port under which other nodes reach --fleet, if it differs"`
	Local     string        `long:"local" env:"SAMPHIRE_LOCAL" default:"127.0.0.1:8082" description:"IP address and port of the listener for announcements of targets on this VM"`
	Decisions int           `long:"decisions" env:"SAMPHIRE_DECISIONS" default:"16384" description:"Number of newest log lines about requests that the node keeps for samphire explain"`
	MaxBody   int64         `long:"max-body" env:"SAMPHIRE_MAX_BODY" default:"67108864" description:"Largest request body in bytes; longer ones are refused"`
	MaxStall  time.Duration `long:"max-stall" env:"SAMPHIRE_MAX_STALL" default:"30s" description:"Longest time between two parts of a request body that arrive"`
	Grace     time.Duration `long:"grace" env:"SAMPHIRE_GRACE" default:"60s" description:"Time between SIGTERM and the end of the process. What kills the process later must wait longer"`
	Controls  []string      `long:"control" env:"SAMPHIRE_CONTROLS" env-delim:"," description:"IP address and port of a control process; repeat it, own data centre first"`
	Data      string        `long:"data" env:"SAMPHIRE_DATA" description:"Folder on a disk in which the node keeps what it knows of the fleet; empty for a VM without a disk"`
	Lenders   []string      `long:"lender" env:"SAMPHIRE_LENDERS" env-delim:"," description:"NAME=ADDRESS of a process that lends parts of the workspaces' rates, control processes included; repeat it, alike on all processes. A node that is named lends"`
	Narrow    bool          `long:"narrow" env:"SAMPHIRE_NARROW" description:"The link of this VM is narrow; control processes then save bytes between regions"`
	NodeLend  bool          `long:"node-lenders" env:"SAMPHIRE_NODE_LENDERS" description:"Nodes lend the workspaces' rates that control processes choose among them, in place of the control processes; alike on all nodes, and without other lenders"`
	Pace      bool          `long:"pace" env:"SAMPHIRE_PACE" description:"With admission, pace targets that shed load to what they accept; of no use where these reject at random"`
	Admission bool          `long:"admission" env:"SAMPHIRE_ADMISSION" description:"While a service is short of capacity, order and reject requests by what they cost callers; alike on all nodes"`
	Peers     []string      `long:"peer" env:"SAMPHIRE_PEERS" env-delim:"," description:"IP address and port of another node to ask for the configuration while no control process answers; repeat it"`
}

// Check returns one error for each invalid setting.
func (s *Settings) Check() []error {
	errs := s.Settings.Check()
	for flag, value := range map[string]string{"--name": s.Name, "--region": s.Region, "--centre": s.Centre} {
		if value == "" {
			errs = append(errs, errors.Newf("%s must be set", flag))
		}
	}
	errs = append(errs, core.CheckListener("--entry", s.Entry)...)
	errs = append(errs, core.CheckListener("--fleet", s.Fleet)...)
	errs = append(errs, core.CheckListener("--local", s.Local)...)
	if s.Advertise != "" {
		errs = append(errs, core.CheckPeer("--advertise", s.Advertise)...)
	}
	if s.Decisions < 0 {
		errs = append(errs, errors.New("--decisions must not be below 0"))
	}
	if s.MaxBody <= 0 {
		errs = append(errs, errors.New("--max-body must be above 0"))
	}
	if s.MaxStall <= 0 {
		errs = append(errs, errors.New("--max-stall must be above 0"))
	}
	if s.Grace <= 0 {
		errs = append(errs, errors.New("--grace must be above 0"))
	}
	if len(s.Controls) == 0 {
		errs = append(errs, errors.New("--control must be given at least once"))
	}
	errs = append(errs, core.CheckFolder("--data", s.Data)...)
	errs = append(errs, s.checkLenders()...)
	for _, address := range s.Peers {
		errs = append(errs, core.CheckPeer("--peer", address)...)
	}
	for _, address := range s.Controls {
		errs = append(errs, core.CheckPeer("--control", address)...)
	}
	return errs
}

func (s *Settings) checkLenders() []error {
	_, errs := core.ParsePeers("--lender", s.Lenders)
	if s.NodeLend && len(s.Lenders) > 0 {
		errs = append(errs, errors.New("--node-lenders and --lender exclude each other"))
	}
	return errs
}

// AllLenders returns the processes that lend quotas of the workspaces' rates.
func (s *Settings) AllLenders() core.Peers {
	lenders, _ := core.ParsePeers("--lender", s.Lenders)
	return lenders
}
