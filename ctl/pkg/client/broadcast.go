package client

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	broadcastTimeout  = 3 * time.Second
	broadcastAttempts = 3
)

// Result is the answer of one control process. Err is set if it refused the request or could not be reached.
type Result[T any] struct {
	Address string
	Reply   T
	Err     error
}

// Versions gets the versions that each control process reports.
func (c *Client) Versions(ctx context.Context) []Result[Version] {
	return broadcast[Version](ctx, c, http.MethodGet, "/version", nil)
}

// Withdraw sends withdrawal to every control process, each of which applies it without the leader.
func (c *Client) Withdraw(ctx context.Context, withdrawal Withdrawal) ([]Result[struct{}], error) {
	body, err := json.Marshal(withdrawal)
	if err != nil {
		return nil, errors.Wrap(err, "encode withdrawal")
	}
	return broadcast[struct{}](ctx, c, http.MethodPost, "/withdrawals", body), nil
}

// broadcast sends a request to every control process concurrently, and returns their results in the order of addresses.
func broadcast[T any](ctx context.Context, c *Client, method, path string, body []byte) []Result[T] {
	results := make([]Result[T], len(c.addresses))
	var group errgroup.Group
	for i, address := range c.addresses {
		results[i].Address = address
		group.Go(func() error {
			results[i].Err = c.attemptRepeatedly(ctx, method, address, path, body, &results[i].Reply)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// attemptRepeatedly sends a request to one address, up to broadcastAttempts times, until it is answered or refused.
func (c *Client) attemptRepeatedly(ctx context.Context, method, address, path string, body []byte, reply any) error {
	var last error
	for range broadcastAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, broadcastTimeout)
		last = c.attempt(attemptCtx, method, address, path, body, reply)
		cancel()
		var refusal *Refusal
		if last == nil || errors.As(last, &refusal) || ctx.Err() != nil {
			return last
		}
		time.Sleep(retryInterval)
	}
	return last
}
