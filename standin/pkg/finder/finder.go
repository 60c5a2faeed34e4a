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

// Ports are drawn below the range from which Linux takes ports of outgoing connections, so that no connection can
// take one between its choice and its use.
const (
	firstPort   = 20000
	endPort     = 32000
	maxAttempts = 1000
)

// Addresses returns count different free addresses of the loopback network 127.0.0.0/8. They share a host that is drawn
// at random, so that fleets which start at the same time do not take each other's ports.
func Addresses(count int) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return addresses(host, count)
}

// LocalhostAddresses returns count different free addresses of 127.0.0.1.
func LocalhostAddresses(count int) ([]string, error) {
	return addresses("127.0.0.1", count)
}

// addresses holds all listeners until the last address is known, so that none comes twice.
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
	return nil, errors.Newf("no %d free addresses found", count)
}
