package acceptor_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reply is an answer that was read to its end.
type reply struct {
	status  int
	length  int64
	header  http.Header
	trailer http.Header
	content string
}

func do(t *testing.T, request *http.Request) reply {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return reply{response.StatusCode, response.ContentLength, response.Header, response.Trailer, string(content)}
}

func TestSpoofedHeadersNeverReachTheTarget(t *testing.T) {
	var seen http.Header
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Samphire-Outcome", "not-run")
		w.Header().Set("Connection", "Samphire-Outcome, Samphire-Request")
	}))
	request := f.request(t, http.MethodPost, "/bookings")
	request.Header["Samphire-Workspace"] = []string{"other"}
	request.Header["samphire-anything"] = []string{"other"}
	request.Header.Set("Connection", "Samphire-Workspace, Samphire-Request, X-Hop")
	request.Header.Set("X-Hop", "1")
	request.Header.Set("X-Copy", "key "+f.key)
	reply := do(t, request)
	assert.Equal(t, reply.header.Get("Samphire-Outcome"), "ran")
	assert.Equal(t, seen.Get("Samphire-Workspace"), "kowhai")
	assert.Equal(t, seen.Get("Samphire-Request"), reply.header.Get("Samphire-Request"))
	for _, name := range []string{"Authorization", "X-Copy", "X-Hop", "Samphire-Anything"} {
		assert.Equal(t, seen.Get(name), "", name)
	}
}

// TestHeadersInOtherCharsetsPass covers bytes above 0x7f in the URI and in the headers of a request and of its answer. RFC
// 9110, section 5.5, has recipients treat them as opaque.
func TestHeadersInOtherCharsetsPass(t *testing.T) {
	const latin = "caf\xe9"
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Seen", r.Header.Get("X-Sent")+"?"+r.URL.RawQuery)
	}))
	request := f.request(t, http.MethodPost, "/bookings")
	request.URL.RawQuery = latin
	request.Header.Set("X-Sent", latin)
	reply := do(t, request)
	assert.Equal(t, reply.status, http.StatusOK, reply.content)
	assert.Equal(t, reply.header.Get("X-Seen"), latin+"?"+latin)
}

func TestFramingThroughTheFleet(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		w.Header().Set("Seen", fmt.Sprintf("%d %s [%s]", len(content), r.Trailer.Get("Sum"), r.Header.Get("Expect")))
		switch r.URL.Query().Get("as") {
		case "304":
			w.WriteHeader(http.StatusNotModified)
		case "204":
			w.WriteHeader(http.StatusNoContent)
		case "hints":
			w.WriteHeader(http.StatusEarlyHints)
			_, _ = io.WriteString(w, "hinted")
		case "head":
			w.Header().Set("Content-Length", "12")
		case "trailer":
			w.Header().Set("Trailer", "Sum, Samphire-Sum")
			_, _ = io.WriteString(w, "trailed")
			w.Header().Set("Sum", "42")
			w.Header().Set("Samphire-Sum", "43")
		}
	}))
	cases := map[string]struct {
		method  string
		status  int
		content string
	}{
		"304": {http.MethodGet, 304, ""}, "204": {http.MethodPost, 204, ""}, "hints": {http.MethodGet, 200, "hinted"},
		"head": {http.MethodHead, 200, ""}, "trailer": {http.MethodGet, 200, "trailed"},
	}
	for as, test := range cases {
		reply := do(t, f.request(t, test.method, "/catalogue?as="+as))
		assert.Equal(t, reply.status, test.status, as)
		assert.Equal(t, reply.content, test.content, as)
		if as == "trailer" {
			assert.Equal(t, reply.trailer.Get("Sum"), "42")
			assert.Equal(t, reply.trailer.Get("Samphire-Sum"), "")
		}
		if as == "head" {
			assert.Equal(t, reply.length, int64(12))
		}
	}

	request := f.request(t, http.MethodPost, "/bookings")
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader("hello")), -1
	request.Trailer = http.Header{"Sum": {"7"}, "Samphire-Sum": {"8"}}
	request.Header.Set("Expect", "100-continue")
	reply := do(t, request)
	assert.Equal(t, reply.header.Get("Seen"), "5 7 []")
}

// sendRaw sends text to the entry and returns the first line of the answer.
func sendRaw(t *testing.T, f *fleet, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", f.entry.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	go func() {
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

func TestBadInputGetsAClearError(t *testing.T) {
	var runs atomic.Int64
	f := newFleet(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			runs.Add(1)
		}
	}))
	start := "POST /bookings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + f.key + "\r\n"
	assert.Equal(t, sendRaw(t, f, start+"Content-Length: 50\r\n\r\nshort"), "HTTP/1.1 400 Bad Request")
	assert.Equal(t, sendRaw(t, f, start+"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"), "HTTP/1.1 400 Bad Request")
	assert.Equal(t, sendRaw(t, f, start+"Long: "+strings.Repeat("x", 2<<20)+"\r\n\r\n"),
		"HTTP/1.1 431 Request Header Fields Too Large")
	assert.Equal(t, sendRaw(t, f, start+"Content-Length: 1\r\nContent-Length: 2\r\n\r\n"), "HTTP/1.1 400 Bad Request")
	connect := "CONNECT a:443 HTTP/1.1\r\nHost: a:443\r\nAuthorization: Bearer " + f.key + "\r\n\r\n"
	assert.Equal(t, sendRaw(t, f, connect), "HTTP/1.1 501 Not Implemented")
	assert.Equal(t, runs.Load(), int64(0))
}

// TestTruncatedAnswerIsSeenByTheCaller covers targets that close the connection in the middle of an answer or announce
// more bytes than they send.
func TestTruncatedAnswerIsSeenByTheCaller(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("as") == "short" {
			w.Header().Set("Content-Length", "100000")
		}
		_, _ = w.Write(make([]byte, 50_000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	for _, path := range []string{"/bookings?as=short", "/bookings?as=chunked"} {
		response, err := http.DefaultClient.Do(f.request(t, http.MethodPost, path))
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.Assert(t, err != nil, path)
		_ = response.Body.Close()
	}
}

// TestTruncatedAnswerResetsOldCallers covers callers of HTTP/1.0, to whom an answer without length ends with the connection.
func TestTruncatedAnswerResetsOldCallers(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/catalogue" {
			panic(http.ErrAbortHandler)
		}
	}))
	for path, whole := range map[string]bool{"/bookings": true, "/catalogue": false} {
		conn, err := net.Dial("tcp", f.entry.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST "+path+" HTTP/1.0\r\nHost: a\r\nAuthorization: Bearer "+f.key+"\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		content, err := io.ReadAll(conn)
		assert.Equal(t, err == nil, whole, "%s: %q %v", path, content, err)
		_ = conn.Close()
	}
}

// TestHeadThatBreaksOffBecomesNoAnswer covers targets that close the connection in the middle of an answer's head. A caller
// would take the remainder for a whole answer.
func TestHeadThatBreaksOffBecomesNoAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
	var size atomic.Int64
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer[:size.Load()])
		_ = conn.Close()
	}))
	for n := range len(answer) {
		size.Store(int64(n))
		reply := do(t, f.request(t, http.MethodPost, "/bookings"))
		assert.Equal(t, reply.status, http.StatusGatewayTimeout, "%q", answer[:n])
		assert.Equal(t, reply.header.Get("Samphire-Outcome"), "unknown", "%q", answer[:n])
	}
}

// TestRequestThatBreaksOffIsNotRun covers callers that close the connection in the middle of a request.
func TestRequestThatBreaksOffIsNotRun(t *testing.T) {
	var runs atomic.Int64
	f := newFleet(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	text := "POST /bookings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + f.key + "\r\nContent-Length: 4\r\n\r\nbody"
	for n := range len(text) {
		line := sendRaw(t, f, text[:n])
		assert.Assert(t, line == "" || strings.HasPrefix(line, "HTTP/1.1 4"), "%q: %s", text[:n], line)
	}
	assert.Equal(t, runs.Load(), int64(0))
}

func TestFailedTargetIsRetriedOnlyWhereThatIsSafe(t *testing.T) {
	var bookings, lookups atomic.Int64
	failing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		switch {
		case r.URL.Path == "/catalogue/warm":
			return
		case r.URL.Path == "/bookings":
			bookings.Add(1)
		case lookups.Add(1)%2 == 0:
			_, _ = fmt.Fprint(w, len(content))
			return
		}
		panic(http.ErrAbortHandler)
	})
	f := newFleet(t, failing, failing)
	for range 50 {
		do(t, f.request(t, http.MethodGet, "/catalogue/warm"))
	}
	request := f.request(t, http.MethodPost, "/bookings")
	request.Header.Set("Idempotency-Key", "k")
	reply := do(t, request)
	var refusal struct{ Error, Outcome string }
	assert.NilError(t, json.Unmarshal([]byte(reply.content), &refusal))
	assert.Equal(t, refusal.Outcome, "unknown")
	assert.Equal(t, reply.status, http.StatusGatewayTimeout)
	assert.Equal(t, bookings.Load(), int64(1))

	request = f.request(t, http.MethodPost, "/catalogue")
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 60_000))), 60_000
	reply = do(t, request)
	assert.Equal(t, reply.status, http.StatusOK)
	assert.Equal(t, reply.content, "60000")
	assert.Equal(t, lookups.Load(), int64(2))
}

// TestLargeBodiesStream sends 200 MB in each direction through entry and gate. These, the caller and the target run in
// this process, whose heap must stay within what a node may use.
func TestLargeBodiesStream(t *testing.T) {
	const size, maxHeap = 200 << 20, 32 << 20
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		length, err := io.Copy(io.Discard, r.Body)
		if err != nil || length != size {
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = io.CopyN(w, zeros{}, size)
	}))
	var peak atomic.Uint64
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak.Store(max(peak.Load(), stats.HeapInuse))
			}
		}
	}()
	request := f.request(t, http.MethodPost, "/bookings")
	request.Body, request.ContentLength = io.NopCloser(io.LimitReader(zeros{}, size)), size
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	length, err := io.Copy(slowWriter{}, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, length, int64(size))
	assert.NilError(t, response.Body.Close())
	close(stop)
	t.Logf("heap in use at most: %d MB", peak.Load()>>20)
	assert.Assert(t, peak.Load() < maxHeap, "%d bytes", peak.Load())
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// slowWriter is a writer that slows the sender down.
type slowWriter struct{}

func (slowWriter) Write(p []byte) (int, error) {
	time.Sleep(20 * time.Microsecond)
	return len(p), nil
}

func TestCancellationReachesTheTarget(t *testing.T) {
	began, ended := make(chan string, 1), make(chan struct{})
	f := newFleet(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		began <- r.Header.Get("Samphire-Remaining")
		<-r.Context().Done()
		close(ended)
	}))
	conn, err := net.Dial("tcp", f.entry.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "POST /bookings HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nAuthorization: Bearer "+f.key+"\r\n\r\nhi")
	assert.NilError(t, err)
	select {
	case remaining := <-began:
		assert.Assert(t, len(remaining) == 5, "%s of 20 s are left", remaining)
	case <-time.After(5 * time.Second):
		t.Fatal("the request did not start")
	}
	assert.NilError(t, conn.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the target did not notice")
	}
}
