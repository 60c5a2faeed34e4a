package scenarios_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// operateCommand sends requests to the operators' API of control processes until an answer matches:
// operate PATTERN METHOD ADDRESS[,ADDRESS...] PATH [BODY]. It fails at once if a process answers with status 200 and
// something else, because no answer may be stale. Only /members may lag behind.
func operateCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: operate PATTERN METHOD ADDRESS[,ADDRESS...] PATH [BODY]")
	}
	wanted := regexp.MustCompile(args[0])
	body := strings.Join(args[4:], "")
	deadline := time.Now().Add(waitTimeout)
	for {
		for _, address := range strings.Split(args[2], ",") {
			status, answer := operate(ts, args[1], address, args[3], body)
			if wanted.MatchString(answer) {
				return
			}
			stale := status == http.StatusOK && args[3] != "/members"
			if stale || time.Now().After(deadline) {
				ts.Fatalf("%s answers with status %d and no %q: %s", address, status, args[0], answer)
			}
		}
		time.Sleep(pollInterval)
	}
}

// operate sends one request to the operators' API. The status is 0 if there was no response.
func operate(ts *testscript.TestScript, method, address, path, body string) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+ts.ReadFile("token"))
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	ts.Check(err)
	return response.StatusCode, string(content)
}

// leaderCommand waits until all running control processes report the same leader, which must be one of them:
// leader [NUMBER...]. Each NUMBER is a control process that does not run or is partitioned. The command sets L to the
// number of the leader, A and B to those of the others, and OPERATORS_L, OPERATORS_A and OPERATORS_B to their addresses.
func leaderCommand(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(waitTimeout)
	for {
		reports := make(map[string]int)
		for i := range controls {
			if !slices.Contains(args, fmt.Sprint(i)) {
				reports[leaderOf(ts, i)]++
			}
		}
		for i := range controls {
			runs := !slices.Contains(args, fmt.Sprint(i))
			if runs && reports[fmt.Sprintf("control%d", i)] == controls-len(args) {
				for step, letter := range []string{"L", "A", "B"} {
					number := fmt.Sprint((i + step) % controls)
					ts.Setenv(letter, number)
					ts.Setenv("OPERATORS_"+letter, ts.Getenv("OPERATORS"+number))
				}
				return
			}
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no leader agreed on within %s: %v", waitTimeout, reports)
		}
		time.Sleep(pollInterval)
	}
}

// leaderOf returns the name of the leader that control process i reports, or an empty string.
func leaderOf(ts *testscript.TestScript, i int) string {
	_, answer := operate(ts, http.MethodGet, ts.Getenv(fmt.Sprintf("OPERATORS%d", i)), "/members", "")
	var reply struct {
		Leader string `json:"leader"`
	}
	_ = json.Unmarshal([]byte(answer), &reply)
	return reply.Leader
}

// acceptedCommand waits until each control process serves its configuration, which must then contain every key that a
// file lists: accepted FILE ADDRESS...
func acceptedCommand(ts *testscript.TestScript, _ bool, args []string) {
	ids := strings.Fields(ts.ReadFile(args[0]))
	if len(ids) == 0 {
		ts.Fatalf("%s lists no key", args[0])
	}
	for _, address := range args[1:] {
		deadline := time.Now().Add(waitTimeout)
		status, answer := 0, ""
		for status != http.StatusOK {
			status, answer = operate(ts, http.MethodGet, address, "/configuration", "")
			if time.Now().After(deadline) {
				ts.Fatalf("%s serves no configuration: %s", address, answer)
			}
			time.Sleep(pollInterval)
		}
		for _, id := range ids {
			if !strings.Contains(answer, `"`+id+`"`) {
				ts.Fatalf("%s lost key %s, one of %d accepted keys", address, id, len(ids))
			}
		}
	}
}
