// Package starter holds what all programs need to start and stop: settings, log levels, listeners, metrics and
// signals.
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

// ErrHelp is returned by Parse after it printed the help text.
var ErrHelp = errors.New("help was printed")

// LogSettings are the settings of the log.
type LogSettings struct {
	Level string `long:"level" env:"SAMPHIRE_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Least level of the log lines that are written"`
}

// Settings are the settings that all processes of the fleet have.
type Settings struct {
	LogSettings

	Cluster string `long:"cluster" env:"SAMPHIRE_CLUSTER" default:"samphire" description:"Name of the cluster; processes of other clusters are refused"`
	Secret  string `long:"secret-file" env:"SAMPHIRE_SECRET_FILE" description:"File with the secret that all processes of the fleet share"`
	Metrics string `long:"metrics" env:"SAMPHIRE_METRICS" default:"127.0.0.1:0" description:"IP address and port of the listener for metrics (expvar)"`
}

// Checker is a set of settings that can check itself. Check returns one error for each invalid setting.
type Checker interface {
	Check() []error
}

// Parse reads flags and environment variables into settings and checks them. The error has one line for each invalid
// setting.
func Parse(args []string, out io.Writer, settings Checker) error {
	parser := flags.NewParser(settings, flags.HelpFlag)
	rest, err := parser.ParseArgs(args)
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, flagsError.Message)
		return ErrHelp
	}
	var errs []error
	if err != nil {
		errs = append(errs, err)
	}
	if len(rest) > 0 {
		errs = append(errs, errors.Newf("unexpected arguments: %s", strings.Join(rest, " ")))
	}
	errs = append(errs, settings.Check()...)
	return Join(errs)
}

// Join returns one error with a line for each of errs, or nil if there are none.
func Join(errs []error) error {
	if len(errs) == 0 {
		return nil
	}
	lines := make([]string, 0, len(errs))
	for _, err := range errs {
		lines = append(lines, err.Error())
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}

// Check returns one error for each invalid setting.
func (s Settings) Check() []error {
	var errs []error
	if s.Cluster == "" {
		errs = append(errs, errors.New("--cluster must not be empty"))
	}
	if _, err := s.readSecret(); err != nil {
		errs = append(errs, err)
	}
	return append(errs, CheckListener("--metrics", s.Metrics)...)
}

// Credentials returns the credentials given by the cluster name and the secret file.
func (s Settings) Credentials() (messenger.Credentials, error) {
	secret, err := s.readSecret()
	return messenger.NewCredentials(s.Cluster, secret), err
}

// LogLevel returns the configured level, or info if it is invalid.
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

// ReadSecret returns the content of the file at path without leading and trailing white space. The name of the flag
// is used in errors. An error never contains the content.
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

// CheckListener returns an error if address is not an IP address with a port. The port may be 0.
func CheckListener(flag, address string) []error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return []error{errors.Newf("%s must be an IP address and a port: %q", flag, address)}
	}
	return nil
}

// CheckPeer returns an error if address is not an IP address with a port above 0.
func CheckPeer(flag, address string) []error {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil || addrPort.Port() == 0 {
		return []error{errors.Newf("%s must be an IP address and a port above 0: %q", flag, address)}
	}
	return nil
}

// CheckFolder returns an error if path is neither empty nor a folder.
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

// Listen opens a TCP listener at address. The name of the flag is used in errors.
func Listen(flag, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	return listener, errors.Wrap(err, flag)
}
