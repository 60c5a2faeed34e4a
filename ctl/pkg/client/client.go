// Package client talks to the control processes on an operator's behalf.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/refuser"
)

const (
	tryLimit  = 30 * time.Second
	pause     = 200 * time.Millisecond
	rounds    = 25
	headerKey = "Authorization"
)

// Client sends requests to control processes, trying their addresses in turn.
type Client struct {
	addresses []string
	token     string
	client    http.Client
}

// New returns an Operator that presents token to the control processes at addresses.
func New(addresses []string, token string) *Client {
	return &Client{addresses: addresses, token: token, client: http.Client{Timeout: tryLimit}}
}

// Refusal is an answer that a control process gave and that another try cannot change.
type Refusal struct {
	Kind    refuser.Kind `json:"error"`
	Message string       `json:"message"`
	Detail  string       `json:"detail"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Kind, r.Message, r.Detail)
}

// Change sends batch until it is accepted or refused for good.
func (o *Client) Change(ctx context.Context, batch Batch) (Receipt, error) {
	var receipt Receipt
	body, err := json.Marshal(batch)
	if err != nil {
		return receipt, errors.Wrap(err, "encode changes")
	}
	return receipt, o.call(ctx, http.MethodPost, "/changes", body, &receipt)
}

// Configuration returns the configuration as the first control process that answers knows it.
func (o *Client) Configuration(ctx context.Context) (Configuration, error) {
	var reply Configuration
	return reply, o.call(ctx, http.MethodGet, "/configuration", nil, &reply)
}

// Nodes returns the directory as the first control process that answers knows it.
func (o *Client) Nodes(ctx context.Context) (Nodes, error) {
	var reply Nodes
	return reply, o.call(ctx, http.MethodGet, "/nodes", nil, &reply)
}

// Version returns the versions as the first control process that answers knows them.
func (o *Client) Version(ctx context.Context) (Version, error) {
	var reply Version
	return reply, o.call(ctx, http.MethodGet, "/version", nil, &reply)
}

// Explain returns what the fleet did with the request called id, as the first control process that answers learnt it.
func (o *Client) Explain(ctx context.Context, id string) (Explanation, error) {
	var reply Explanation
	return reply, o.call(ctx, http.MethodGet, "/requests/"+url.PathEscape(id), nil, &reply)
}

// Members returns the control processes as the first one that answers knows them.
func (o *Client) Members(ctx context.Context) (Members, error) {
	var reply Members
	return reply, o.call(ctx, http.MethodGet, "/members", nil, &reply)
}

// Replace starts to replace the member called name by the newcomer of that name.
func (o *Client) Replace(ctx context.Context, name string) (Members, error) {
	var reply Members
	body, err := json.Marshal(map[string]string{"name": name})
	if err != nil {
		return reply, errors.Wrap(err, "encode name")
	}
	return reply, o.call(ctx, http.MethodPost, "/members", body, &reply)
}

func (o *Client) call(ctx context.Context, method, path string, body []byte, reply any) error {
	var last error
	for range rounds {
		for _, address := range o.addresses {
			last = o.try(ctx, method, address, path, body, reply)
			if last == nil || final(last) {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(last, ctx.Err())
		case <-time.After(pause):
		}
	}
	return last
}

// final reports whether another try cannot change err.
func final(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && !refusal.Kind.Answer().Retryable
}

func (o *Client) try(ctx context.Context, method, address, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set(headerKey, "Bearer "+o.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask control process")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNoContent {
		return nil
	}
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		refusal := &Refusal{}
		if err := decoder.Decode(refusal); err != nil {
			return errors.Newf("control process answered with status %d", response.StatusCode)
		}
		return refusal
	}
	return errors.Wrap(decoder.Decode(reply), "read answer of control process")
}
