// Package responder implements a stand-in target: it echoes requests, simulates faults and announces itself to the node
// on its VM.
package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"samphiremount.example/core/registrar"
)

const (
	announcePeriod = 500 * time.Millisecond

	// crashSearchBytes is the length of the start of a body that is searched for the text that crashes the target.
	crashSearchBytes = 4 << 10
)

// Responder serves requests as a target, with faults that can be changed while it runs. It counts the requests.
type Responder struct {
	announcement   registrar.Announcement
	nodeAddress    string
	processingTime time.Duration
	log            *slog.Logger
	exit           func()
	started        time.Time
	faults         atomic.Pointer[Faults]
	requests       atomic.Int64
	leaving        atomic.Bool
}

// New returns a Responder that announces itself to the node whose listener for announcements is at nodeAddress. Each
// request takes processingTime, if no fault changes that. The Responder calls exit when a request crashes it.
func New(
	announcement registrar.Announcement, nodeAddress string, processingTime time.Duration, faults Faults, exit func(),
	log *slog.Logger,
) *Responder {
	r := &Responder{
		announcement: announcement, nodeAddress: nodeAddress, processingTime: processingTime, log: log, exit: exit,
		started: time.Now(),
	}
	r.faults.Store(&faults)
	return r
}

// Echo is the response to a request. It reports what the target received: RequestID is the request ID of the fleet,
// empty if the request did not pass the fleet, and Bytes the size of the body. KeyLeaked reports whether a header
// contained what looks like a key; a request through the fleet must never contain one.
type Echo struct {
	Target    string `json:"target"`
	Workspace string `json:"workspace"`
	RequestID string `json:"request"`
	Nonce     string `json:"nonce"`
	Path      string `json:"path"`
	Bytes     int64  `json:"bytes"`
	KeyLeaked bool   `json:"keyed"`
}

// Handler returns the HTTP handler of the target. It serves every method and path, and the health check at /health.
func (r *Responder) Handler() http.Handler {
	server := echo.New()
	server.GET(healthPath, r.health)
	server.Any("/*", r.answer)
	return server
}

func (r *Responder) answer(c echo.Context) error {
	r.requests.Add(1)
	request := c.Request()
	prefix := make([]byte, crashSearchBytes)
	prefixLength, err := io.ReadFull(request.Body, prefix)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(err, "read body")
	}
	length, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	length += int64(prefixLength)
	status, err := r.applyFaults(request.Context(), prefix[:prefixLength])
	if err != nil {
		return errors.Wrap(err, "process request")
	}
	return c.JSON(status, Echo{
		Target:    r.announcement.Name,
		Workspace: request.Header.Get("Samphire-Workspace"),
		RequestID: request.Header.Get("Samphire-Request"),
		Nonce:     request.Header.Get("Nonce"),
		Path:      request.URL.Path,
		Bytes:     length,
		KeyLeaked: containsKey(request.Header),
	})
}

// containsKey reports whether header contains an Authorization header or a value that looks like a key.
func containsKey(header http.Header) bool {
	for _, values := range header {
		for _, value := range values {
			if bytes.Contains([]byte(value), []byte("smk_")) {
				return true
			}
		}
	}
	return header.Get("Authorization") != ""
}

// Announce sends the announcement every announcePeriod until ctx ends, then announces that the target leaves and
// returns the error of that last announcement.
func (r *Responder) Announce(ctx context.Context) error {
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		if err := r.announce(ctx); err != nil {
			r.log.Debug("announcement failed", "reason", err)
		}
		select {
		case <-ctx.Done():
			r.leaving.Store(true)
			finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			return r.announce(finalCtx)
		case <-ticker.C:
		}
	}
}

func (r *Responder) announce(ctx context.Context) error {
	announcement := r.announcement
	announcement.Leaving = r.leaving.Load() || r.faults.Load().Drain
	body, err := json.Marshal(announcement)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	url := "http://" + r.nodeAddress + "/targets"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	return errors.Wrap(response.Body.Close(), "close response")
}
