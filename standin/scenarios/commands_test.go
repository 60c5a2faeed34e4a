package scenarios_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// startCommand starts defined processes, also ones that ran before: start NAME...
func startCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		fleetOf(ts).start(ts, name)
	}
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// signalCommand sends a signal: signal TERM|KILL|STOP|CONT NAME...
func signalCommand(ts *testscript.TestScript, _ bool, args []string) {
	signal, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %s", args[0])
	}
	for _, name := range args[1:] {
		ts.Check(fleetOf(ts).process(ts, name).command.Process.Signal(signal))
	}
}

// endedCommand waits until processes have ended: ended NAME...
func endedCommand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		select {
		case <-fleetOf(ts).process(ts, name).done:
		case <-time.After(waitTimeout):
			ts.Fatalf("%s did not end within %s", name, waitTimeout)
		}
	}
}

// untilCommand runs a program of the fleet repeatedly until its output matches: until PATTERN PROGRAM ARGUMENT...
func untilCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("until cannot be negated")
	}
	fleetOf(ts).waitForOutput(ts, args[0], args[1:]...)
}

// waitForOutput runs a program of the fleet repeatedly until it succeeds with output that matches pattern.
func (f *fleet) waitForOutput(ts *testscript.TestScript, pattern string, command ...string) {
	wanted := regexp.MustCompile(pattern)
	deadline := time.Now().Add(waitTimeout)
	for {
		output, err := f.runCommand(ts, command...)
		if err == nil && wanted.Match(output) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s did not print %q within %s: %v\n%s\n%s", strings.Join(command, " "), pattern, waitTimeout, err, output, f.logTails())
		}
		time.Sleep(pollInterval)
	}
}

// askCommand sends requests until one gets the given outcome: ask OUTCOME METHOD ADDRESS PATH [HEADER=VALUE...].
// OUTCOME is "served" or the name of an error kind. A value @FILE stands for "Bearer " and the last line of FILE. With
// "!" it sends one request, which must not get the outcome.
func askCommand(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 4 {
		ts.Fatalf("usage: ask OUTCOME METHOD ADDRESS PATH [HEADER=VALUE...]")
	}
	deadline := time.Now().Add(waitTimeout)
	for {
		outcome, detail := ask(ts, args[1], args[2], args[3], args[4:])
		if neg && outcome == args[0] {
			ts.Fatalf("the outcome is %s: %s", outcome, detail)
		}
		if neg || outcome == args[0] {
			ts.Logf("%s: %s", outcome, detail)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("the outcome is still %s, not %s: %s", outcome, args[0], detail)
		}
		time.Sleep(pollInterval)
	}
}

// postCommand sends a body to the operators' API of a process until it answers with success: post ADDRESS PATH BODY. A body
// @FILE is read from FILE.
func postCommand(ts *testscript.TestScript, _ bool, args []string) {
	body := args[2]
	if file, ok := strings.CutPrefix(body, "@"); ok {
		body = ts.ReadFile(file)
	}
	token := strings.TrimSpace(ts.ReadFile(ts.Getenv("SAMPHIRE_TOKEN_FILE")))
	deadline := time.Now().Add(waitTimeout)
	for {
		request, err := http.NewRequest(http.MethodPost, "http://"+args[0]+args[1], strings.NewReader(body))
		ts.Check(err)
		request.Header.Set("Authorization", "Bearer "+token)
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode < http.StatusMultipleChoices {
				return
			}
		}
		if time.Now().After(deadline) {
			ts.Fatalf("post %s%s did not succeed within %s: %v", args[0], args[1], waitTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}

// ask sends a request. It returns "served" or the error kind in the response, with the body as detail. Transport failures
// and responses that are neither have outcomes of their own.
func ask(ts *testscript.TestScript, method, address, path string, headers []string) (outcome, detail string) {
	request, err := http.NewRequest(method, "http://"+address+path, http.NoBody)
	ts.Check(err)
	for _, header := range headers {
		name, value, _ := strings.Cut(header, "=")
		if file, ok := strings.CutPrefix(value, "@"); ok {
			lines := strings.Split(strings.TrimSpace(ts.ReadFile(file)), "\n")
			value = "Bearer " + lines[len(lines)-1]
		}
		request.Header.Add(name, value)
	}
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return "no-answer", err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return "answer-cut", err.Error()
	}
	if response.StatusCode == http.StatusOK {
		return "served", string(content)
	}
	var refusal struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(content, &refusal); err != nil {
		return "wrong", string(content)
	}
	return refusal.Error, string(content)
}

// loggedCommand waits until a process's log matches, or with "!" checks once that it does not: logged NAME PATTERN. A
// NAME with an asterisk stands for the logs of several processes together.
func loggedCommand(ts *testscript.TestScript, neg bool, args []string) {
	wanted := regexp.MustCompile(args[1])
	deadline := time.Now().Add(waitTimeout)
	for {
		content := readLogs(ts, args[0])
		matches := wanted.Match(content)
		if matches != neg {
			return
		}
		if neg || time.Now().After(deadline) {
			ts.Fatalf("log of %s: match of %q is %t: %s", args[0], args[1], matches, firstMatchingLine(content, wanted))
		}
		time.Sleep(pollInterval)
	}
}

// readLogs returns the logs of all processes whose names match the glob pattern name.
func readLogs(ts *testscript.TestScript, name string) []byte {
	files, err := filepath.Glob(filepath.Join(fleetOf(ts).dir, name+".log"))
	ts.Check(err)
	if len(files) == 0 {
		ts.Fatalf("no process with a log matches %s", name)
	}
	var all []byte
	for _, file := range files {
		content, err := os.ReadFile(file)
		ts.Check(err)
		all = append(all, content...)
	}
	return all
}

// firstMatchingLine returns the line in which the first match of wanted starts, or nil if there is none.
func firstMatchingLine(content []byte, wanted *regexp.Regexp) []byte {
	location := wanted.FindIndex(content)
	if location == nil {
		return nil
	}
	start := bytes.LastIndexByte(content[:location[0]], '\n') + 1
	line, _, _ := bytes.Cut(content[start:], []byte("\n"))
	return line
}
