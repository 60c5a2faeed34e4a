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

const progressPeriod = time.Second

// tool is what the commands share.
type tool struct {
	Settings

	ctx    context.Context
	out    io.Writer
	errOut io.Writer
}

func (t *tool) operator() (*client.Client, error) {
	var wrong []error
	if len(t.Controls) == 0 {
		wrong = append(wrong, errors.New("--control must be given at least once"))
	}
	for _, address := range t.Controls {
		wrong = append(wrong, starter.CheckPeer("--control", address)...)
	}
	token, err := starter.ReadSecret("--token-file", t.TokenFile)
	if err != nil {
		wrong = append(wrong, err)
	}
	if len(wrong) > 0 {
		return nil, errors.Mark(starter.Join(wrong), errUsage)
	}
	return client.New(t.Controls, string(token)), nil
}

// watch runs work, and says on standard error how long it has taken once a second.
func (t *tool) watch(what string, work func() error) error {
	var group errgroup.Group
	done := make(chan struct{})
	group.Go(func() error {
		defer close(done)
		return work()
	})
	started := time.Now()
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return group.Wait()
		case <-ticker.C:
			_, _ = fmt.Fprintf(t.errOut, "%s: %d s\n", what, int(time.Since(started).Seconds()))
		}
	}
}

// show prints value as JSON if that was asked for, else calls text.
func (t *tool) show(value any, text func() error) error {
	if !t.JSON {
		return text()
	}
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write")
}

// table prints rows in aligned columns under header.
func (t *tool) table(header string, rows [][]string) error {
	writer := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return errors.Wrap(writer.Flush(), "write")
}

func (t *tool) print(format string, arguments ...any) error {
	_, err := fmt.Fprintf(t.out, format, arguments...)
	return errors.Wrap(err, "write")
}
