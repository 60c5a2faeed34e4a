package client

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/validator"
)

const (
	dialTimeout = 30 * time.Second
	// maxInterimAnswers bounds the heads that are read of one answer.
	maxInterimAnswers = 5
)

// newTransport returns net/http's transport over connections that carry one exchange and yield nothing of a malformed head.
func newTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Proxy:             http.ProxyFromEnvironment,
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Wrap(err, "connect to control process")
			}
			return &checkedConn{Conn: validator.NewConn(conn)}, nil
		},
	}
}

// checkedConn is a connection whose reads yield the heads of an answer once all of them are well-formed, and then its body.
type checkedConn struct {
	*validator.Conn

	received io.Reader
}

// Read implements io.Reader.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.received == nil {
		heads, err := c.readHeads()
		if err != nil {
			return 0, err
		}
		c.received = io.MultiReader(heads, c.Conn)
	}
	return c.received.Read(p) //nolint:wrapcheck // io.EOF must stay as it is
}

// readHeads reads and checks the interim heads and the final one, and returns all bytes that it read.
func (c *checkedConn) readHeads() (io.Reader, error) {
	received := new(bytes.Buffer)
	reader := bufio.NewReader(io.TeeReader(c.Conn, received))
	for range maxInterimAnswers {
		// No request of this client has a method that changes the framing of its answer.
		head, err := validator.ReadHead(reader, http.MethodGet)
		if err != nil {
			return nil, errors.Wrap(err, "receive answer of control process")
		}
		if !head.Interim() {
			return received, nil
		}
	}
	return nil, errors.New("control process sent too many interim answers")
}
