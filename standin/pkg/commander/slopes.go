package commander

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/messenger"
	"samphiremount.example/core/starter"
	"samphiremount.example/standin/pkg/extrapolator"
	"samphiremount.example/standin/pkg/loader"
)

// slopes measures the costs of a running fleet and of its data structures at several sizes, and prints the linear fits.
type slopes struct {
	ctx context.Context
	out io.Writer

	starter.Settings

	TokenFile   string `long:"token-file" env:"SAMPHIRE_TOKEN_FILE" required:"yes" description:"File with the operators' token"`
	LeaderPID   int    `long:"leader" required:"yes" description:"Process identifier of the control process that accepts changes"`
	FollowerPID int    `long:"follower" required:"yes" description:"Process identifier of another control process"`
	Fleet       string `long:"fleet" required:"yes" description:"IP address and port of the leader's listener for the fleet"`
	Operators   string `long:"operators" required:"yes" description:"IP address and port of the leader's listener for operators"`
	EntryPID    int    `long:"entry" required:"yes" description:"Process identifier of a node without targets"`
	GatePID     int    `long:"gate" required:"yes" description:"Process identifier of the node beside the target"`
	Callers     string `long:"callers" required:"yes" description:"IP address and port of the entry node's listener for callers"`
	Direct      string `long:"direct" required:"yes" description:"IP address and port of the target"`
	Local       string `long:"local" required:"yes" description:"IP address and port of the gate node's listener for announcements"`
	KeyFile     string `long:"key" required:"yes" description:"File with a key"`
	Path        string `long:"path" required:"yes" description:"Path to ask for"`
}

// Execute implements flags.Commander.
func (c *slopes) Execute([]string) error {
	credentials, err := c.Credentials()
	if err != nil {
		return err
	}
	token, err := starter.ReadSecret("--token-file", c.TokenFile)
	if err != nil {
		return err
	}
	key, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return errors.Wrap(err, "read key")
	}
	for _, measure := range []func() ([]extrapolator.Series, error){
		func() ([]extrapolator.Series, error) { return c.traffic(strings.TrimSpace(string(key))) },
		extrapolator.MeasureHeap,
		extrapolator.MeasureCPU,
		func() ([]extrapolator.Series, error) { return c.control(credentials, string(token)) },
	} {
		all, err := measure()
		if err != nil {
			return err
		}
		for _, series := range all {
			if err := series.Print(c.out); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *slopes) traffic(key string) ([]extrapolator.Series, error) {
	return extrapolator.Traffic{
		EntryPID: c.EntryPID, GatePID: c.GatePID, Loader: loader.New([]string{c.Callers}, []string{c.Direct}), Key: key, Path: c.Path,
		AnnounceAddress: c.Local,
	}.Measure(c.ctx)
}

func (c *slopes) control(credentials messenger.Credentials, token string) ([]extrapolator.Series, error) {
	return extrapolator.Control{
		LeaderPID: c.LeaderPID, FollowerPID: c.FollowerPID, NodePID: c.EntryPID, LimitedNodePID: c.GatePID,
		FleetAddress: c.Fleet, OperatorsAddress: c.Operators, Token: token, Credentials: credentials,
	}.Measure(c.ctx)
}
