// Package starter holds what every program does at its start and end: reading settings, logs, metrics and signals.
package starter

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"samphiremount.example/core/messenger"
)

// Exit codes of every program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// ErrHelp is returned by Parse after it printed the help text that was asked for.
var ErrHelp = errors.New("help was printed")

// LogSettings say what a process writes to its log.
type LogSettings struct {
	Level string `long:"level" env:"SAMPHIRE_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least level of the log lines that are written"`
}

// Settings are what every process of the fleet needs.
type Settings struct {
	LogSettings

	Cluster string `long:"cluster" env:"SAMPHIRE_CLUSTER" default:"samphire" description:"Name of the cluster; processes of other clusters are refused"`
	Secret  string `long:"secret-file" env:"SAMPHIRE_SECRET_FILE" description:"File with the secret that all processes of the fleet share"`
	Metrics string `long:"metrics" env:"SAMPHIRE_METRICS" default:"127.0.0.1:0" description:"IP address and port of the listener for metrics (expvar)"`
}

// Checker is a set of settings that can name everything wrong with itself.
type Checker interface {
	Check() []error
}

// Parse reads flags and environment variables into settings and checks them as a whole. The error names every wrong
// setting.
func Parse(args []string, out io.Writer, settings Checker) error {
	parser := flags.NewParser(settings, flags.HelpFlag)
	rest, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, flagsError.Message)
		return ErrHelp
	}
	var wrong []error
	if err != nil {
		wrong = append(wrong, err)
	}
	if len(rest) > 0 {
		wrong = append(wrong, errors.Newf("arguments are not understood: %s", strings.Join(rest, " ")))
	}
	wrong = append(wrong, settings.Check()...)
	return Join(wrong)
}

// Join returns one error with a line for each of wrong, or nil if there is none.
func Join(wrong []error) error {
	if len(wrong) == 0 {
		return nil
	}
	lines := make([]string, 0, len(wrong))
	for _, err := range wrong {
		lines = append(lines, err.Error())
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}

// Check returns an error for each wrong setting.
func (s Settings) Check() []error {
	var wrong []error
	if s.Cluster == "" {
		wrong = append(wrong, errors.New("--cluster must not be empty"))
	}
	if _, err := s.readSecret(); err != nil {
		wrong = append(wrong, err)
	}
	return append(wrong, CheckListener("--metrics", s.Metrics)...)
}

// Credentials returns the proof of membership that the settings name.
func (s Settings) Credentials() (messenger.Credentials, error) {
	secret, err := s.readSecret()
	return messenger.NewCredentials(s.Cluster, secret), err
}

// LogLevel returns the level as slog names it.
func (s LogSettings) LogLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		return slog.LevelInfo
	}
	return level
}

func (s Settings) readSecret() ([]byte, error) {
	return ReadSecret("--secret-file", s.Secret)
}

const minSecretBytes = 16

// ReadSecret returns the content of the file that flag names, without white space at its ends. The error never
// contains the content.
func ReadSecret(flag, path string) ([]byte, error) {
	if path == "" {
		return nil, errors.Newf("%s must be set", flag)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, flag)
	}
	secret := strings.TrimSpace(string(content))
	if len(secret) < minSecretBytes {
		return nil, errors.Newf("%s: the file holds fewer than %d bytes", flag, minSecretBytes)
	}
	return []byte(secret), nil
}

// CheckListener returns an error if address is not an IP address and a port, which may be 0.
func CheckListener(flag, address string) []error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return []error{errors.Newf("%s must be an IP address and a port: %q", flag, address)}
	}
	return nil
}

// CheckPeer returns an error if address is not an IP address and a port that can be dialled.
func CheckPeer(flag, address string) []error {
	place, err := netip.ParseAddrPort(address)
	if err != nil || place.Port() == 0 {
		return []error{errors.Newf("%s must be an IP address and a port above 0: %q", flag, address)}
	}
	return nil
}

// CheckFolder returns an error if path is set and is not a folder.
func CheckFolder(flag, path string) []error {
	if path == "" {
		return nil
	}
	info, err := os.Stat(path)
	if err != nil || !info.IsDir() {
		return []error{errors.Newf("%s must be a folder: %q", flag, path)}
	}
	return nil
}

// Listen opens the TCP listener that flag names.
func Listen(flag, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return listener, errors.Wrap(err, flag)
}
