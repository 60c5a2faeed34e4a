package extrapolator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/configurer"
)

const (
	changeRetryInterval = 100 * time.Millisecond
	maxChangeAttempts   = 50
)

// applyChanges sends changes to the leader until it accepts them, at most maxChangeAttempts times, and returns the
// version of the configuration that contains them.
func (c Control) applyChanges(ctx context.Context, changes []configurer.Change) (uint64, error) {
	body, err := json.Marshal(map[string]any{
		"operation": fmt.Sprintf("slopes-%d", time.Now().UnixNano()), "changes": configurer.NewRecords(changes),
	})
	if err != nil {
		return 0, errors.Wrap(err, "encode changes")
	}
	for range maxChangeAttempts {
		var version uint64
		if version, err = c.sendChanges(ctx, body); err == nil {
			return version, nil
		}
		if err := sleep(ctx, changeRetryInterval); err != nil {
			return 0, err
		}
	}
	return 0, err
}

// sendChanges sends the encoded changes in body to the leader once.
func (c Control) sendChanges(ctx context.Context, body []byte) (uint64, error) {
	url := "http://" + c.OperatorsAddress + "/changes"
	response, err := post(ctx, url, c.Token, body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var reply struct {
		Version uint64 `json:"version"`
		Detail  string `json:"detail"`
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return 0, errors.Wrap(err, "decode response")
	}
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("changes refused with status %d: %s", response.StatusCode, reply.Detail)
	}
	return reply.Version, nil
}

// post sends body as JSON, authorized by token if it is not empty. The caller closes the body of the response.
func post(ctx context.Context, url, token string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	return response, errors.Wrap(err, "send request")
}
