package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"samphiremount.example/standin/pkg/responder"
)

// fault replaces the faults of a running target. Without flags for faults it removes them all.
type fault struct {
	ctx context.Context

	At string `long:"at" required:"yes" description:"IP address and port of the target's --control listener"`

	responder.Faults
}

// Execute implements flags.Commander.
func (c *fault) Execute([]string) error {
	body, err := json.Marshal(c.Faults)
	if err != nil {
		return errors.Wrap(err, "encode faults")
	}
	request, err := http.NewRequestWithContext(c.ctx, http.MethodPut, "http://"+c.At+"/faults", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "set faults")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("set faults: status %d", response.StatusCode)
	}
	return nil
}
