package bounder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/bounder"
)

const (
	head = "POST / HTTP/1.1\r\nHost: h\r\n"
	body = "Content-Length: 4\r\n\r\nbody"
	// largeFields are a third of what one head may take, and far more than what a connection has of its own.
	largeFields = 500
)

// fields returns that many header fields.
func fields(number int) string {
	var b strings.Builder
	for i := range number {
		_, _ = fmt.Fprintf(&b, "f%d: %d\r\n", i, i)
	}
	return b.String()
}

func withoutReturns(text string) string { return strings.ReplaceAll(text, "\r", "") }

// newServer returns a server that answers each request once its body has arrived.
func newServer(t *testing.T) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	server.Listener = bounder.Bound(server.Config, server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// client is a connection on which requests are sent byte by byte.
type client struct {
	net.Conn

	reader *bufio.Reader
}

func dial(t *testing.T, server *httptest.Server) client {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return client{conn, bufio.NewReader(conn)}
}

// send sends text. A server that has refused the request may have closed the connection.
func (c client) send(text string) { _, _ = io.WriteString(c, text) }

// answer reads the answer to one request. It returns its status and when the request may come again.
func (c client) answer(t *testing.T) (status int, retryAfter string) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode, response.Header.Get("Retry-After")
}

// served checks that the next answer is one of the server.
func (c client) served(t *testing.T) {
	t.Helper()
	status, _ := c.answer(t)
	assert.Equal(t, status, http.StatusOK)
}

// TestProperHeadIsRefused guards against requests that are refused for the lines of their bodies, for a long field or for line ends
// without a return, and against heads of too many fields that are taken.
func TestProperHeadIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"usual":                     {head + fields(20) + body, http.StatusOK},
		"large":                     {head + fields(largeFields) + body, http.StatusOK},
		"a long field":              {head + "a: " + strings.Repeat("b", 60<<10) + "\r\n" + body, http.StatusOK},
		"too many fields":           {head + fields(5_000) + body, http.StatusRequestHeaderFieldsTooLarge},
		"too many, without an end":  {head + fields(5_000), http.StatusRequestHeaderFieldsTooLarge},
		"lines of a body":           {head + "Content-Length: 10000\r\n\r\n" + strings.Repeat("\n", 10_000), http.StatusOK},
		"lines without a return":    {withoutReturns(head + fields(20) + body), http.StatusOK},
		"body of lines, no returns": {withoutReturns(head+"Content-Length: 9999\r\n\r\n") + strings.Repeat("\n", 9_999), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			caller := dial(t, newServer(t))
			caller.send(test.request)
			status, _ := caller.answer(t)
			assert.Equal(t, status, test.status)
		})
	}
}

// TestMemoryOfHeadsRunsOut guards against the end of a process by large heads on many connections: those that find no memory
// are refused as not run, and small ones are served meanwhile.
func TestMemoryOfHeadsRunsOut(t *testing.T) {
	server := newServer(t)
	var waiting []client
	for {
		assert.Assert(t, len(waiting) < 1_000, "the memory does not run out")
		caller := dial(t, server)
		// The head stays in memory until the body has ended.
		caller.send(head + fields(largeFields) + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		status, retryAfter := caller.answer(t)
		if status != http.StatusContinue {
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, retryAfter, "1")
			break
		}
		waiting = append(waiting, caller)
	}
	small := dial(t, server)
	for _, caller := range waiting {
		small.send(head + fields(20) + body)
		small.served(t)
		caller.send("body")
		caller.served(t)
	}
	// The memory is free again after the end of a request, or of its connection. What is served here is a multiple of it.
	for range 3 * len(waiting) {
		waiting[0].send(head + fields(largeFields) + body)
		waiting[0].served(t)
		caller := dial(t, server)
		caller.send(head + fields(largeFields) + "Connection: close\r\n" + body)
		caller.served(t)
	}
}
