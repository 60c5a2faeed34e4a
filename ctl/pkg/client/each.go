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
	eachLimit  = 3 * time.Second
	eachRounds = 3
)

// Result is what one control process answered. Err is nil if it answered as asked.
type Result[T any] struct {
	Address string
	Reply   T
	Err     error
}

// Versions asks every control process for its versions.
func (o *Client) Versions(ctx context.Context) []Result[Version] {
	return each[Version](ctx, o, http.MethodGet, "/version", nil)
}

// Withdraw asks every control process to take the withdrawal of keys without the leader.
func (o *Client) Withdraw(ctx context.Context, withdrawal Withdrawal) ([]Result[struct{}], error) {
	body, err := json.Marshal(withdrawal)
	if err != nil {
		return nil, errors.Wrap(err, "encode withdrawal")
	}
	return each[struct{}](ctx, o, http.MethodPost, "/withdrawals", body), nil
}

func each[T any](ctx context.Context, o *Client, method, path string, body []byte) []Result[T] {
	results := make([]Result[T], len(o.addresses))
	var group errgroup.Group
	for i, address := range o.addresses {
		results[i].Address = address
		group.Go(func() error {
			results[i].Err = o.persist(ctx, method, address, path, body, &results[i].Reply)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// persist tries one address a few times.
func (o *Client) persist(ctx context.Context, method, address, path string, body []byte, reply any) error {
	var last error
	for range eachRounds {
		limited, cancel := context.WithTimeout(ctx, eachLimit)
		last = o.try(limited, method, address, path, body, reply)
		cancel()
		var refusal *Refusal
		if last == nil || errors.As(last, &refusal) || ctx.Err() != nil {
			return last
		}
		time.Sleep(pause)
	}
	return last
}
