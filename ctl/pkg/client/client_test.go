package client_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/refuser"
	"samphiremount.example/ctl/pkg/client"
)

// fakeControl stands in for a control process. It applies each operation once, and closes the connection in place of its
// first lostAnswers answers.
type fakeControl struct {
	mu          sync.Mutex
	lostAnswers int
	seen        []string
	applied     map[string]uint64
}

func (c *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var batch client.Batch
	_ = json.NewDecoder(r.Body).Decode(&batch)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, batch.Operation)
	if _, ok := c.applied[batch.Operation]; !ok {
		c.applied[batch.Operation] = uint64(len(c.applied) + 1)
	}
	if len(c.seen) <= c.lostAnswers {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(client.Receipt{Version: c.applied[batch.Operation]})
}

func refuse(kind refuser.Kind) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(kind.Answer().Status)
		_ = json.NewEncoder(w).Encode(client.Refusal{Kind: kind})
	})
}

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func deadAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestChangeIsAppliedOnceIfAnswersAreLost(t *testing.T) {
	fake := &fakeControl{lostAnswers: 3, applied: make(map[string]uint64)}
	follower := serve(t, refuse(refuser.LeaderUnknown))
	api := client.New([]string{deadAddress(t), follower, serve(t, fake)}, "token")
	receipt, err := api.Change(t.Context(), client.Batch{Operation: "one"})
	assert.NilError(t, err)
	assert.Equal(t, receipt.Version, uint64(1))
	assert.DeepEqual(t, fake.seen, []string{"one", "one", "one", "one"})
	assert.Equal(t, len(fake.applied), 1)
}

func TestRefusedChangeIsNotRetried(t *testing.T) {
	fake := &fakeControl{applied: make(map[string]uint64)}
	api := client.New([]string{serve(t, refuse(refuser.ChangeConflict)), serve(t, fake)}, "token")
	_, err := api.Change(t.Context(), client.Batch{Operation: "one"})
	var refusal *client.Refusal
	assert.Assert(t, errors.As(err, &refusal) && refusal.Kind == refuser.ChangeConflict, "%v", err)
	assert.Equal(t, len(fake.seen), 0)
}

func TestWithdrawReachesEveryAddressThatAnswers(t *testing.T) {
	fakes := []*fakeControl{{applied: make(map[string]uint64)}, {applied: make(map[string]uint64)}}
	api := client.New([]string{serve(t, fakes[0]), deadAddress(t), serve(t, fakes[1])}, "token")
	results, err := api.Withdraw(t.Context(), client.Withdrawal{Keys: []string{"k"}})
	assert.NilError(t, err)
	assert.NilError(t, results[0].Err)
	assert.Assert(t, results[1].Err != nil)
	assert.NilError(t, results[2].Err)
	assert.Equal(t, len(fakes[0].seen)+len(fakes[1].seen), 2)
}

// TestAnswerThatBreaksOffIsAskedForElsewhere lets a control process stop at each byte of its answer.
func TestAnswerThatBreaksOffIsAskedForElsewhere(t *testing.T) {
	const broken = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"version\":1}"
	var size atomic.Int64
	first := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, broken[:size.Load()])
		_ = conn.Close()
	}))
	fake := &fakeControl{applied: map[string]uint64{"one": 2}}
	api := client.New([]string{first, serve(t, fake)}, "token")
	for n := range len(broken) {
		size.Store(int64(n))
		receipt, err := api.Change(t.Context(), client.Batch{Operation: "one"})
		assert.NilError(t, err)
		assert.Equal(t, receipt.Version, uint64(2), "%q", broken[:n])
	}
}
