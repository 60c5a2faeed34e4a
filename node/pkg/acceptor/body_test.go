package acceptor_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnswerDoesNotWaitForTheRestOfTheBody sends a request whose body stays incomplete. The caller must get a refusal, an
// answer of the target and the end of the deadline without it.
func TestAnswerDoesNotWaitForTheRestOfTheBody(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.WriteString(w, "early")
	}))
	const long = "Content-Length: 1000000\r\n"
	for name, test := range map[string]struct{ path, header, status string }{
		"no route":      {"/none", long, "404 Not Found"},
		"unknown key":   {"/bookings", "Authorization: Bearer x\r\nContent-Length: 50\r\n", "401 Unauthorized"},
		"early answer":  {"/bookings", "Authorization: Bearer " + f.key + "\r\n" + long, "200 OK"},
		"early, chunks": {"/bookings", "Authorization: Bearer " + f.key + "\r\nTransfer-Encoding: chunked\r\n", "200 OK"},
		"deadline":      {"/orders", "Authorization: Bearer " + f.key + "\r\nContent-Length: 50\r\n", "504 Gateway Timeout"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.entry.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = io.WriteString(conn, "POST "+test.path+" HTTP/1.1\r\nHost: a\r\n"+test.header+"\r\n1\r\nx\r\n")
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			_, err = io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.Status, test.status)
		})
	}
}

// TestEarlyAnswerLeavesTheBodyWhole has a target that answers before it reads the body. Bytes of the body that the
// entry's HTTP server discards would be missing in the middle of what the target reads.
func TestEarlyAnswerLeavesTheBodyWhole(t *testing.T) {
	type received struct {
		content string
		err     error
	}
	seen := make(chan received, 1)
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.EnableFullDuplex()
		_, _ = io.WriteString(w, "early ")
		_ = controller.Flush()
		content, err := io.ReadAll(r.Body)
		seen <- received{string(content), err}
		_, _ = io.WriteString(w, "late")
	}))
	reader, writer := io.Pipe()
	request := f.request(t, http.MethodPost, "/bookings")
	request.Body, request.ContentLength = reader, -1
	var sent strings.Builder
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 300 {
			chunk := strconv.Itoa(i) + strings.Repeat(".", 1000)
			sent.WriteString(chunk)
			if _, err := io.WriteString(writer, chunk); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
		_ = writer.Close()
	}()
	reply := do(t, request)
	assert.Equal(t, reply.content, "early late")
	got := <-seen
	<-done
	assert.NilError(t, got.err)
	assert.Equal(t, len(got.content), sent.Len())
	assert.Assert(t, got.content == sent.String())
}

// TestRefusalLeavesTheConnectionUsable sends a request right after a refused one with a body, on the same connection. If
// the body is too long to be discarded, the refusal must state that the connection closes. On a busy machine a short body
// may arrive late, so that its connection is kept at a later try only.
func TestRefusalLeavesTheConnectionUsable(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(answerReady))
	for _, length := range []int{0, 50, 60_000} {
		waitFor(t, func() bool { return refuseOnConnection(t, f, length) })
	}
	assert.Assert(t, !refuseOnConnection(t, f, 300_000))
}

// refuseOnConnection sends a request that is refused with a body of length bytes. If the refusal does not state that the
// connection closes, it sends another request, which must be served, and returns true.
func refuseOnConnection(t *testing.T, f *fleet, length int) (kept bool) {
	t.Helper()
	conn, err := net.Dial("tcp", f.entry.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	reader := bufio.NewReader(conn)
	read := func() (status int, closes bool) {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode, response.Close
	}
	head := "POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	_, err = io.WriteString(conn, head+strings.Repeat("x", length))
	assert.NilError(t, err)
	status, closes := read()
	assert.Equal(t, status, http.StatusNotFound)
	if closes {
		return false
	}
	_, err = io.WriteString(conn, "GET /catalogue HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+f.key+"\r\n\r\n")
	assert.NilError(t, err)
	status, _ = read()
	assert.Equal(t, status, http.StatusOK)
	return true
}

// TestRefusalReachesACallerThatIsStillSending has callers that read the answer only after they sent the whole body, which
// takes longer than a closed connection is kept for them.
func TestRefusalReachesACallerThatIsStillSending(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(answerReady))
	for _, head := range []string{"Content-Length: 8000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1f4000\r\n"} {
		conn, err := net.Dial("tcp", f.entry.Listener.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(conn, "POST /none HTTP/1.1\r\nHost: a\r\n"+head)
		assert.NilError(t, err)
		for range 80 {
			if _, err := conn.Write(make([]byte, 10_000)); err != nil {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusNotFound)
		assert.NilError(t, response.Body.Close())
		assert.NilError(t, conn.Close())
	}
}

// TestPipelinedRequestsAreAnsweredInOrder sends a second request before the first one is answered.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	f := newFleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	conn, err := net.Dial("tcp", f.entry.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	request := " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + f.key + "\r\nContent-Length: 2\r\n\r\nhi"
	_, err = io.WriteString(conn, "POST /bookings/1"+request+"POST /catalogue/2"+request)
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for _, path := range []string{"/bookings/1", "/catalogue/2"} {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		content, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(content), path)
	}
}
