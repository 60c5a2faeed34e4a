package messenger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// HandshakeTimeout bounds the handshake on a new connection, in which both sides prove that they belong to the fleet.
const HandshakeTimeout = 2 * time.Second

const (
	nonceBytes = 32
	magic      = "samphire/1"
)

// ErrUnauthenticated is returned if the peer does not hold the same secret or belongs to another cluster.
var ErrUnauthenticated = errors.New("peer is not authenticated as a member of this cluster")

// Credentials let a process prove that it belongs to the fleet. No peer accepts the proof of the zero value, and the
// zero value accepts no peer.
type Credentials struct {
	cluster string
	secret  []byte
}

// NewCredentials returns the credentials for cluster. All processes of the cluster share the secret.
func NewCredentials(cluster string, secret []byte) Credentials {
	return Credentials{cluster: cluster, secret: secret}
}

// serverHandshake proves this side to a client and verifies the client's proof. It reads a fixed number of bytes, so
// that an unauthenticated client can use only bounded memory and time.
func (c Credentials) serverHandshake(conn net.Conn) error {
	return c.handshake(conn, "server", "client", func(send, receive func() error) error {
		if err := receive(); err != nil {
			return err
		}
		return send()
	})
}

func (c Credentials) clientHandshake(conn net.Conn) error {
	return c.handshake(conn, "client", "server", func(send, receive func() error) error {
		if err := send(); err != nil {
			return err
		}
		return receive()
	})
}

// handshake exchanges nonces, and then proofs over both nonces. The order function sends and receives the proofs in
// the order of this side: the client proves itself first, so that a server discloses nothing to an unauthenticated
// client.
func (c Credentials) handshake(conn net.Conn, ownRole, otherRole string, order func(send, receive func() error) error) error {
	if err := conn.SetDeadline(time.Now().Add(HandshakeTimeout)); err != nil {
		return errors.Wrap(err, "set handshake deadline")
	}
	ownNonce := make([]byte, nonceBytes)
	if _, err := rand.Read(ownNonce); err != nil {
		return errors.Wrap(err, "generate nonce")
	}
	if _, err := conn.Write(append([]byte(magic), ownNonce...)); err != nil {
		return errors.Wrap(err, "send nonce")
	}
	otherNonce := make([]byte, len(magic)+nonceBytes)
	if _, err := io.ReadFull(conn, otherNonce); err != nil {
		return errors.Wrap(err, "receive nonce")
	}
	if string(otherNonce[:len(magic)]) != magic {
		return ErrUnauthenticated
	}
	otherNonce = otherNonce[len(magic):]
	send := func() error {
		_, err := conn.Write(c.proof(ownRole, ownNonce, otherNonce))
		return errors.Wrap(err, "send proof")
	}
	receive := func() error {
		proof := make([]byte, sha256.Size)
		if _, err := io.ReadFull(conn, proof); err != nil {
			return errors.CombineErrors(ErrUnauthenticated, err)
		}
		if len(c.secret) == 0 || !hmac.Equal(proof, c.proof(otherRole, otherNonce, ownNonce)) {
			return ErrUnauthenticated
		}
		return nil
	}
	if err := order(send, receive); err != nil {
		return err
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "clear handshake deadline")
}

func (c Credentials) proof(role string, proverNonce, verifierNonce []byte) []byte {
	mac := hmac.New(sha256.New, c.secret)
	for _, part := range [][]byte{[]byte(role), []byte(c.cluster), proverNonce, verifierNonce} {
		mac.Write([]byte{byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}
