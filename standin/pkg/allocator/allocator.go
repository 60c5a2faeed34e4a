// Package allocator finds free ports of the loopback address.
package allocator

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Ports are drawn below the range from which Linux takes ports of outgoing connections, so that no connection can
// take one between its choice and its use.
const (
	firstPort = 20000
	endPort   = 32000
	tries     = 1000
)

// Ports returns count different free ports. It holds all of them until the last one is known.
func Ports(count int) ([]int, error) {
	var ports []int
	var config net.ListenConfig
	for range tries {
		if len(ports) == count {
			return ports, nil
		}
		port := firstPort + rand.IntN(endPort-firstPort)
		listener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, port)
	}
	return nil, errors.Newf("no %d free ports found", count)
}
