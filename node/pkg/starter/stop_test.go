package starter_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/logger"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/refuser"
	"samphiremount.example/core/retrier"
	"samphiremount.example/core/router"
	"samphiremount.example/core/stopper"
	"samphiremount.example/node/pkg/gatekeeper"
	"samphiremount.example/node/pkg/starter"
)

const grace = 2 * time.Second

// runningNode is a node without control processes, and with a handler of /hold that reads the body and then runs until it
// is broken off.
type runningNode struct {
	t       *testing.T
	address string
	signal  func()
	held    chan struct{}
	group   errgroup.Group
}

// runNode starts a node. It serves callers after a few seconds, since it gets no configuration. A process can hold one node
// only, because the names of its metrics are global.
func runNode(t *testing.T, local func(ctx context.Context) error) *runningNode {
	t.Helper()
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		return listener
	}
	fleet, callers := listen(), listen()
	node := starter.New(starter.Options{
		Name: "node", Region: "north", Centre: "n1", Entry: callers.Addr().String(), Fleet: fleet.Addr().String(),
		Protocol: gatekeeper.DefaultProtocol{}, Router: router.New(router.Locality{Region: "north", Centre: "n1"}),
		RetryPolicy: func(int) retrier.Policy { return retrier.DefaultPolicy() },
		Stop:        stopper.Policy{Grace: grace}, Seeds: []string{"127.0.0.1:1"},
	}, messenger.NewCredentials("test", []byte("secret of the test")), logger.New(io.Discard, slog.LevelError))
	n := &runningNode{t: t, address: callers.Addr().String(), held: make(chan struct{}, 2)}
	handler := http.NewServeMux()
	handler.Handle("/", node.Acceptor.Handler())
	handler.HandleFunc("/hold", func(w http.ResponseWriter, r *http.Request) {
		n.held <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		w.WriteHeader(http.StatusGatewayTimeout)
	})
	ctx, signal := context.WithCancel(t.Context())
	n.signal = signal
	n.group.Go(func() error { return node.Run(ctx, fleet, callers, handler, local) })
	return n
}

// caller is a connection of a caller to the node.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (n *runningNode) dial() caller {
	conn, err := net.Dial("tcp", n.address)
	assert.NilError(n.t, err)
	n.t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(n.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return caller{n.t, conn, bufio.NewReader(conn)}
}

// awaitNoListener waits until the node accepts no connections.
func (n *runningNode) awaitNoListener() {
	for deadline := time.Now().Add(grace); ; {
		conn, err := net.Dial("tcp", n.address)
		if err != nil {
			return
		}
		_ = conn.Close()
		assert.Assert(n.t, time.Now().Before(deadline), "the node still accepts connections")
	}
}

func (c caller) send(text string) {
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

// receive returns the status and the body of the next answer, and whether it closes the connection.
func (c caller) receive() (status int, closes bool, body string) {
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response.StatusCode, response.Close, string(content)
}

// TestLateRequestIsCut guards against connections that are closed under a request while the node stops: one that comes
// late is refused as not run; those in progress are answered at the end of the stop, even if the caller does not finish a
// body. A background task that does not end must not delay the end of the node.
func TestLateRequestIsCut(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	n := runNode(t, func(context.Context) error {
		<-release
		return nil
	})
	held, unfinished, kept, unused := n.dial(), n.dial(), n.dial(), n.dial()
	kept.send("GET /early HTTP/1.1\r\nHost: h\r\n\r\n")
	_, closes, body := kept.receive()
	assert.Assert(t, !closes && !strings.Contains(body, string(refuser.NodeStopping)), body)
	held.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	unfinished.send("POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nunfinished")
	<-n.held
	<-n.held

	signalled := time.Now()
	n.signal()
	n.awaitNoListener()
	for _, late := range []caller{kept, unused} {
		late.send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
		status, closes, body := late.receive()
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, closes && strings.Contains(body, string(refuser.NodeStopping)) && strings.Contains(body, `"not-run"`), body)
	}
	for _, c := range []caller{held, unfinished} {
		status, closes, _ := c.receive()
		assert.Equal(t, status, http.StatusGatewayTimeout)
		assert.Assert(t, closes)
		assert.Assert(t, time.Since(signalled) >= grace*9/10)
	}
	err := n.group.Wait()
	assert.Assert(t, time.Since(signalled) < grace)
	assert.ErrorContains(t, err, "tasks have not ended: local")
}
