package commander

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"samphiremount.example/standin/pkg/simulator"
)

// simulate prints how a simulated fleet treats targets that fail for some seconds at a time.
type simulate struct {
	out io.Writer

	Nodes    int     `long:"nodes" default:"83" description:"Number of nodes, at least that of the targets"`
	Controls int     `long:"controls" default:"11" description:"Number of control processes that vote on ejections"`
	Targets  int     `long:"targets" default:"50" description:"Number of targets of the service"`
	Rate     float64 `long:"rate" default:"318" description:"Requests per second"`
	Repeat   float64 `long:"repeatable" default:"0.38" description:"Part of the requests that may run more than once"`
	Floor    float64 `long:"floor" default:"0.7" description:"Part of the healthy targets that must get requests"`
	Seeds    uint64  `long:"seeds" default:"10" description:"Number of runs of a minute, with the seeds from 0 on"`
}

// Execute implements flags.Commander.
func (c *simulate) Execute([]string) error {
	if c.Controls < 1 || c.Targets < 1 || c.Nodes < c.Targets || !(c.Rate > 0) {
		return errors.New("simulate needs controls, targets, at least as many nodes as targets, and a rate above 0")
	}
	for seed := range c.Seeds {
		settings := simulator.Default(seed)
		settings.Nodes, settings.Controls, settings.Targets, settings.Rate = c.Nodes, c.Controls, c.Targets, c.Rate
		settings.Repeatable = c.Repeat
		var sum simulator.Window
		below := 0
		windows := simulator.Run(settings)
		for _, window := range windows {
			if window.BelowFloor(c.Floor) {
				below++
			}
			sum = sum.With(window)
		}
		mean := func(count int) float64 { return float64(count) / float64(len(windows)) }
		_, err := fmt.Fprintf(c.out, "seed=%d windows=%d below=%d unserved=%.3f healthy=%.1f used=%.1f ejected=%.1f\n", seed, len(windows), below,
			float64(sum.Unserved)/float64(max(sum.Requests, 1)), mean(sum.Healthy), mean(sum.Used), mean(sum.Ejected))
		if err != nil {
			return errors.Wrap(err, "print run")
		}
	}
	return nil
}
