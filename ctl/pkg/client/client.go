// Package client is the HTTP client of the control processes' API for operators.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/refuser"
)

const (
	attemptTimeout      = 30 * time.Second
	retryInterval       = 200 * time.Millisecond
	maxRounds           = 25
	authorizationHeader = "Authorization"
)

// Client sends requests to the control processes. If one does not answer, or refuses with an error that can be retried,
// Client tries the next address.
type Client struct {
	addresses  []string
	token      string
	httpClient http.Client
}

// New returns a Client for the control processes at addresses. It authenticates with token.
func New(addresses []string, token string) *Client {
	return &Client{addresses: addresses, token: token, httpClient: http.Client{Timeout: attemptTimeout, Transport: newTransport()}}
}

// Refusal is the error that a control process answered a request with. Its Kind tells whether a retry can succeed.
type Refusal struct {
	Kind    refuser.Kind `json:"error"`
	Message string       `json:"message"`
	Detail  string       `json:"detail"`
}

// Error returns the kind, the message and the detail of the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Kind, r.Message, r.Detail)
}

// Change sends batch until it is accepted, is refused with an error that a retry cannot change, or the attempts are used
// up.
func (c *Client) Change(ctx context.Context, batch Batch) (Receipt, error) {
	var receipt Receipt
	body, err := json.Marshal(batch)
	if err != nil {
		return receipt, errors.Wrap(err, "encode changes")
	}
	return receipt, c.callAny(ctx, http.MethodPost, "/changes", body, &receipt)
}

// Configuration returns the configuration of the first control process that answers.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var reply Configuration
	return reply, c.callAny(ctx, http.MethodGet, "/configuration", nil, &reply)
}

// Nodes returns the directory of the first control process that answers.
func (c *Client) Nodes(ctx context.Context) (Nodes, error) {
	var reply Nodes
	return reply, c.callAny(ctx, http.MethodGet, "/nodes", nil, &reply)
}

// Version returns the versions reported by the first control process that answers.
func (c *Client) Version(ctx context.Context) (Version, error) {
	var reply Version
	return reply, c.callAny(ctx, http.MethodGet, "/version", nil, &reply)
}

// Explain returns the decisions that nodes made about the request with this id, as collected by the first control
// process that answers.
func (c *Client) Explain(ctx context.Context, id string) (Explanation, error) {
	var reply Explanation
	return reply, c.callAny(ctx, http.MethodGet, "/requests/"+url.PathEscape(id), nil, &reply)
}

// Members returns the list of control processes that the first one to answer has.
func (c *Client) Members(ctx context.Context) (Members, error) {
	var reply Members
	return reply, c.callAny(ctx, http.MethodGet, "/members", nil, &reply)
}

// Replace starts the replacement of the member called name by the joining process of the same name.
func (c *Client) Replace(ctx context.Context, name string) (Members, error) {
	var reply Members
	body, err := json.Marshal(map[string]string{"name": name})
	if err != nil {
		return reply, errors.Wrap(err, "encode name")
	}
	return reply, c.callAny(ctx, http.MethodPost, "/members", body, &reply)
}

// callAny sends a request to the addresses in turn, in up to maxRounds rounds, until one of them answers with success or
// a permanent refusal.
func (c *Client) callAny(ctx context.Context, method, path string, body []byte, reply any) error {
	var last error
	for range maxRounds {
		for _, address := range c.addresses {
			last = c.attempt(ctx, method, address, path, body, reply)
			if last == nil || permanent(last) {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(last, ctx.Err())
		case <-time.After(retryInterval):
		}
	}
	return last
}

// permanent reports whether err is a refusal that a retry cannot change.
func permanent(err error) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && !refusal.Kind.Answer().Retryable
}

func (c *Client) attempt(ctx context.Context, method, address, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set(authorizationHeader, "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.httpClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request to control process")
	}
	defer func() { _ = response.Body.Close() }()
	// A decoder on the body would be content with the first value of an answer that breaks off or goes on.
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer of control process")
	}
	_, empty := reply.(*struct{})
	switch response.StatusCode {
	case http.StatusNoContent:
		if !empty {
			return errors.New("control process answered without content")
		}
		return nil
	case http.StatusOK:
		return errors.Wrap(json.Unmarshal(content, reply), "decode answer of control process")
	default:
		refusal := &Refusal{}
		if err := json.Unmarshal(content, refusal); err != nil || refusal.Kind == "" {
			return errors.Newf("control process answered with status %d", response.StatusCode)
		}
		return refusal
	}
}
