package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"samphiremount.example/core/starter"
	"samphiremount.example/ctl/pkg/client"
)

// Settings are the flags and environment variables that every command takes.
type Settings struct {
	Controls  []string `long:"control" env:"SAMPHIRE_ADDRESSES" env-delim:"," description:"IP address and port of a control process's listener for operators; repeat it"`
	TokenFile string   `long:"token-file" env:"SAMPHIRE_TOKEN_FILE" description:"File with the operators' token"`
	JSON      bool     `long:"json" description:"Print JSON in place of text"`
}

const progressInterval = time.Second

// cli holds the settings and the output streams that all commands share.
type cli struct {
	Settings

	ctx    context.Context
	out    io.Writer
	errOut io.Writer
}

// client returns a client for the control processes in the settings. Its error lists all wrong settings.
func (c *cli) client() (*client.Client, error) {
	var wrong []error
	if len(c.Controls) == 0 {
		wrong = append(wrong, errors.New("--control must be given at least once"))
	}
	for _, address := range c.Controls {
		wrong = append(wrong, starter.CheckPeer("--control", address)...)
	}
	token, err := starter.ReadSecret("--token-file", c.TokenFile)
	if err != nil {
		wrong = append(wrong, err)
	}
	if len(wrong) > 0 {
		return nil, errors.Mark(starter.Join(wrong), errUsage)
	}
	return client.New(c.Controls, string(token)), nil
}

// withProgress runs work. While it runs, it prints activity and the elapsed time to standard error every progressInterval.
func (c *cli) withProgress(activity string, work func() error) error {
	var group errgroup.Group
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		return work()
	})
	started := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return group.Wait()
		case <-ticker.C:
			_, _ = fmt.Fprintf(c.errOut, "%s: %d s\n", activity, int(time.Since(started).Seconds()))
		}
	}
}

// show prints value as JSON if the flag --json is set, or else calls text.
func (c *cli) show(value any, text func() error) error {
	if !c.JSON {
		return text()
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write")
}

// table prints rows in aligned columns under header.
func (c *cli) table(header string, rows [][]string) error {
	writer := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return errors.Wrap(writer.Flush(), "write")
}

func (c *cli) print(format string, arguments ...any) error {
	_, err := fmt.Fprintf(c.out, format, arguments...)
	return errors.Wrap(err, "write")
}
