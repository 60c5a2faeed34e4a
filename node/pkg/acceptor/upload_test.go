package acceptor_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/node/pkg/acceptor"
)

// TestRefusedUploadIsSentElsewhere has gates that refuse requests for two of three targets. An upload that is too large to
// be kept at its entry must reach the third one all the same, and no refusal may cost its body.
func TestRefusedUploadIsSentElsewhere(t *testing.T) {
	f := newFleet(t, nil, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, strconv.FormatInt(n, 10))
	}))
	for range 20 {
		request := f.request(t, http.MethodPost, "/films")
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, 300_000))), 300_000
		reply := do(t, request)
		assert.Equal(t, reply.status, http.StatusOK)
		assert.Equal(t, reply.content, "300000")
	}
}

// TestBodiesBeyondTheLimitsAreRefused sends bodies that are too long, or stop arriving, with and without their length told. What
// the target has got of them decides the outcome that the caller is told.
func TestBodiesBeyondTheLimitsAreRefused(t *testing.T) {
	var reached sync.Map
	f := newFleet(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		reached.Store(r.Header.Get("Id"), true)
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	f.acceptor.BodyLimits = acceptor.BodyLimits{MaxBytes: 100_000, MaxStall: 200 * time.Millisecond}
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		path, sent string
		status     int
		outcome    string
	}{
		"length at the limit":     {"/films", "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000), 200, "ran"},
		"length told":             {"/films", "Content-Length: 100001\r\n\r\n", 413, "not-run"},
		"length overflows":        {"/films", "Content-Length: 99999999999999999999\r\n\r\n", 400, ""},
		"chunks without end":      {"/films", chunked + strings.Repeat("2710\r\n"+strings.Repeat("x", 10_000)+"\r\n", 11), 413, "unknown"},
		"stalls before its start": {"/films", "Content-Length: 50000\r\n\r\n", 408, "not-run"},
		"stalls, kept at a gate":  {"/films", "Content-Length: 50000\r\n\r\nxx", 408, "not-run"},
		"stalls midway":           {"/films", "Content-Length: 90000\r\n\r\nxx", 408, "unknown"},
		"small, stalls":           {"/bookings", "Content-Length: 50\r\n\r\nxx", 408, "not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.entry.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+f.key+"\r\nId: "+name+"\r\n"+c.sent)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, c.status)
			assert.Equal(t, response.Header.Get("Samphire-Outcome"), c.outcome)
			_, got := reached.Load(name)
			assert.Assert(t, got || c.outcome != "ran")
			assert.Assert(t, !got || c.outcome != "not-run")
		})
	}
}

// TestCallerThatLeavesEndsItsWithheldRequest has callers that leave while their uploads wait for a slot. The target must get none
// of them once it has one.
func TestCallerThatLeavesEndsItsWithheldRequest(t *testing.T) {
	var got atomic.Int64
	free := make(chan struct{})
	f := newFleet(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/films") {
			got.Add(1)
			return
		}
		<-free
	}))
	release := sync.OnceFunc(func() { close(free) })
	t.Cleanup(release)
	var group errgroup.Group
	for range slotsPerTarget {
		group.Go(func() error {
			do(t, f.request(t, http.MethodPost, "/bookings"))
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	for _, length := range []int64{20_000, 60_000, 300_000} {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		request := f.request(t, http.MethodPost, "/films").WithContext(ctx)
		request.Body, request.ContentLength = io.NopCloser(io.LimitReader(zeros{}, length)), length
		group.Go(func() error {
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				_ = response.Body.Close()
			}
			return nil
		})
	}
	time.Sleep(150 * time.Millisecond)
	release()
	assert.NilError(t, group.Wait())
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, got.Load(), int64(0))
}

// filmTimeout is the timeout of the route /films.
const filmTimeout = time.Second

// films records what targets got of uploads: the plain oracle of TestUploadsWithDrawnFaults.
type films struct {
	mu   sync.Mutex
	runs map[string][]run
}

// run is one run of an upload at a target. whole is set if the target read the body to its regular end.
type run struct {
	content []byte
	whole   bool
}

// serve behaves as the header Behaviour says and records what it got.
func (f *films) serve(w http.ResponseWriter, r *http.Request) {
	var got run
	read := func(length int64) {
		content, err := io.ReadAll(io.LimitReader(r.Body, length))
		got.content = append(got.content, content...)
		got.whole = err == nil && int64(len(content)) < length
	}
	behaviour := r.Header.Get("Behaviour")
	switch behaviour {
	case "answers early":
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.WriteString(w, r.Header.Get("Id"))
		_ = http.NewResponseController(w).Flush()
		read(1 << 30)
	case "rejects early":
	case "closes midway", "hangs midway":
		read(20_000)
	default:
		read(1 << 30)
	}
	f.mu.Lock()
	id := r.Header.Get("Id")
	f.runs[id] = append(f.runs[id], got)
	f.mu.Unlock()
	switch behaviour {
	case "closes midway":
		panic(http.ErrAbortHandler)
	case "hangs midway", "hangs":
		// While the body is unread, the server does not notice that its connection ends.
		select {
		case <-r.Context().Done():
		case <-time.After(2 * filmTimeout):
		}
	case "rejects early":
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case "fails":
		w.WriteHeader(http.StatusInternalServerError)
	}
	if behaviour != "answers early" {
		_, _ = io.WriteString(w, id)
	}
}

// content returns the body of the upload with that id.
func content(id string, length int) []byte {
	return bytes.Repeat([]byte(id+" "), length/(len(id)+1)+1)[:length]
}

// TestUploadsWithDrawnFaults sends uploads at once whose callers, targets and gate fail at drawn points. What a target gets is
// the start of the body that its caller sent, and it takes only the whole body for whole. An upload runs at most once, and not
// at all if its caller is told so. A success is that of the caller's own upload, of which the target has the whole body unless
// it answered early.
func TestUploadsWithDrawnFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			uploadWithDrawnFaults(t, rand.New(rand.NewPCG(seed, 1)))
		})
	}
}

// drawnUpload is an upload of length bytes, of which its caller sends the first cut bytes and then leaves.
type drawnUpload struct {
	id        string
	length    int
	cut       int
	declared  bool
	pace      time.Duration
	behaviour string
}

func drawUpload(random *rand.Rand, id string) drawnUpload {
	behaviours := []string{"", "", "", "fails", "hangs", "hangs midway", "closes midway", "answers early", "rejects early"}
	lengths := []int{1, 20_000, 60_000, 300_000}
	u := drawnUpload{
		id: id, length: lengths[random.IntN(len(lengths))], declared: random.IntN(2) == 0,
		pace: time.Duration(random.IntN(2)) * 5 * time.Millisecond, behaviour: behaviours[random.IntN(len(behaviours))],
	}
	u.cut = u.length
	if random.IntN(4) == 0 {
		u.cut = random.IntN(u.length)
	}
	return u
}

// send sends the upload to the fleet.
func (u drawnUpload) send(t *testing.T, f *fleet) reply {
	t.Helper()
	source := io.Reader(bytes.NewReader(content(u.id, u.length)[:u.cut]))
	if u.cut < u.length {
		source = io.MultiReader(source, iotest.ErrReader(errors.New("the caller leaves")))
	}
	request := f.request(t, http.MethodPost, "/films/"+u.id)
	request.Body, request.ContentLength = io.NopCloser(&pacedReader{source, u.pace}), -1
	if u.declared {
		request.ContentLength = int64(u.length)
	}
	request.Header.Set("Id", u.id)
	request.Header.Set("Behaviour", u.behaviour)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	told, _ := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, content: string(told)}
}

func uploadWithDrawnFaults(t *testing.T, random *rand.Rand) {
	t.Helper()
	oracle := &films{runs: make(map[string][]run)}
	f := newFleet(t, http.HandlerFunc(oracle.serve), http.HandlerFunc(oracle.serve), nil)
	uploads := make([]drawnUpload, 1+random.IntN(6))
	for i := range uploads {
		uploads[i] = drawUpload(random, "film"+strconv.Itoa(i))
	}
	gateStops := random.IntN(5) == 0
	if gateStops {
		time.AfterFunc(time.Duration(random.IntN(60))*time.Millisecond, f.stopGate)
	}
	replies := make([]reply, len(uploads))
	var group errgroup.Group
	for i, u := range uploads {
		group.Go(func() error {
			replies[i] = u.send(t, f)
			return nil
		})
	}
	_ = group.Wait()
	for i, u := range uploads {
		oracle.check(t, u, replies[i])
		if u.cut == u.length && u.behaviour == "" && !gateStops {
			assert.Equal(t, replies[i].status, http.StatusOK, "%+v", u)
		}
	}
}

func (f *films) check(t *testing.T, u drawnUpload, told reply) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	runs, state := f.runs[u.id], fmt.Sprintf("%+v", u)
	assert.Assert(t, len(runs) <= 1, "%s ran %d times", state, len(runs))
	for _, got := range runs {
		assert.Assert(t, bytes.HasPrefix(content(u.id, u.length), got.content), state)
		assert.Assert(t, !got.whole || len(got.content) == u.length, "%s: %d bytes taken for whole", state, len(got.content))
	}
	switch told.status {
	case http.StatusOK:
		assert.Equal(t, told.content, u.id)
		assert.Assert(t, len(runs) == 1 && (runs[0].whole || u.behaviour == "answers early"), state)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		assert.Equal(t, len(runs), 0, "%s: told %d", state, told.status)
	}
}

// pacedReader reads with a pause before each read.
type pacedReader struct {
	io.Reader

	pause time.Duration
}

func (p *pacedReader) Read(b []byte) (int, error) {
	time.Sleep(p.pause)
	return p.Reader.Read(b)
}
