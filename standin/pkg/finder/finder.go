// Package finder finds free addresses for the processes of a fleet on one machine.
package finder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Ports are chosen at random from firstPort up to, not including, endPort. The range lies below the one from which
// Linux takes the ports of outgoing connections, so that no such connection takes a port between its choice and its
// use.
const (
	firstPort   = 20000
	endPort     = 32000
	maxAttempts = 1000
)

// Addresses returns count distinct free TCP addresses of the loopback network 127.0.0.0/8. All have the same random
// host, so that fleets that start at the same time do not take each other's ports.
func Addresses(count int) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return addresses(host, count)
}

// LocalhostAddresses returns count distinct free TCP addresses of 127.0.0.1.
func LocalhostAddresses(count int) ([]string, error) {
	return addresses("127.0.0.1", count)
}

// addresses returns count distinct free TCP addresses of host. It keeps a listener open on each address until all are
// found, so that no address is returned twice.
func addresses(host string, count int) ([]string, error) {
	var free []string
	var config net.ListenConfig
	for range maxAttempts {
		if len(free) == count {
			return free, nil
		}
		address := net.JoinHostPort(host, strconv.Itoa(firstPort+rand.IntN(endPort-firstPort)))
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		free = append(free, address)
	}
	return nil, errors.Newf("found fewer than %d free addresses", count)
}
