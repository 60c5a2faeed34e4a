package commander

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/ctl/pkg/summarizer"
)

const timelineFormat = "15:04:05.000"

// timeline prints what logs of the fleet's processes say of each service, period by period. It asks no control process.
type timeline struct {
	*cli `no-flag:"true"`

	Period  time.Duration `long:"period" default:"2s" description:"Length of a period"`
	Service string        `long:"service" description:"Only this service"`
	Idle    bool          `long:"idle" description:"A line for each target that got no request in a period"`

	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"Log files of any processes, - for standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *timeline) Execute([]string) error {
	if c.Period <= 0 {
		return errors.Wrap(errUsage, "--period must be above 0")
	}
	summary := summarizer.New(c.Period)
	for _, file := range c.Arguments.Files {
		if err := readLog(summary, file); err != nil {
			return err
		}
	}
	periods := slices.DeleteFunc(summary.Periods(), func(p summarizer.Period) bool {
		return c.Service != "" && p.Service != c.Service
	})
	if len(periods) == 0 {
		return errors.New("no lines about requests")
	}
	if c.Idle {
		return c.show(periods, func() error { return c.printIdle(periods) })
	}
	return c.show(periods, func() error { return c.printPeriods(periods) })
}

func readLog(summary *summarizer.Summarizer, file string) error {
	if file == "-" {
		return summary.Read(os.Stdin)
	}
	opened, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = opened.Close() }()
	return errors.Wrapf(summary.Read(io.Reader(opened)), "file %s", file)
}

func (c *timeline) printPeriods(periods []summarizer.Period) error {
	rows := make([][]string, 0, len(periods))
	for _, p := range periods {
		states := make(map[string]int)
		for _, idle := range p.Idle {
			states[idle.State]++
		}
		rows = append(rows, []string{
			p.Start.UTC().Format(timelineFormat), orDash(p.Service), strconv.Itoa(p.Requests),
			counts(p.Unserved), counts(p.Refused), counts(states),
		})
	}
	return c.table("TIME SERVICE REQUESTS UNSERVED GATES-REFUSED IDLE-TARGETS", rows)
}

func (c *timeline) printIdle(periods []summarizer.Period) error {
	var rows [][]string
	for _, p := range periods {
		for _, idle := range p.Idle {
			rows = append(rows, []string{
				p.Start.UTC().Format(timelineFormat), orDash(p.Service), idle.Target, idle.State, strconv.Itoa(idle.Chosen),
				idle.LastStart.UTC().Format(timelineFormat),
			})
		}
	}
	return c.table("TIME SERVICE TARGET STATE CHOSEN LAST-START", rows)
}

// counts formats counts by name as name=count, with commas between them, or a dash if there are none.
func counts(byName map[string]int) string {
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		texts = append(texts, fmt.Sprintf("%s=%d", name, byName[name]))
	}
	return orDash(strings.Join(texts, ","))
}
