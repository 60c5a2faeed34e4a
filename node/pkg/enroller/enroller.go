// Package enroller accepts the announcements of the targets on this VM.
package enroller

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"samphiremount.example/core/registrar"
	"samphiremount.example/core/ticker"
	"samphiremount.example/core/tracker"
)

const (
	sweepInterval = 250 * time.Millisecond
	maxBodyBytes  = 64 << 10
)

// Enroller holds the announced targets and reports changes to them.
type Enroller struct {
	log      *slog.Logger
	onChange func([]tracker.Target)

	mu        sync.Mutex
	registrar registrar.Registrar
}

// New returns an Enroller without targets. An announcement is valid for lifetime. After each change it calls onChange
// with all targets; onChange must not block.
func New(lifetime time.Duration, log *slog.Logger, onChange func([]tracker.Target)) *Enroller {
	return &Enroller{log: log, onChange: onChange, registrar: registrar.New(lifetime)}
}

// Handler returns the HTTP handler for targets: POST /targets accepts an announcement.
func (e *Enroller) Handler() http.Handler {
	server := echo.New()
	server.POST("/targets", e.announce)
	return server
}

func (e *Enroller) announce(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return e.refuse(registrar.Announcement{}, err)
	}
	var announcement registrar.Announcement
	if err := json.Unmarshal(body, &announcement); err != nil {
		return e.refuse(announcement, err)
	}
	if err := e.Announce(announcement); err != nil {
		return e.refuse(announcement, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (e *Enroller) refuse(announcement registrar.Announcement, err error) error {
	e.log.Warn("announcement refused", "target", announcement.Name, "reason", err.Error())
	return echo.NewHTTPError(http.StatusBadRequest, "the announcement is refused: "+err.Error())
}

// Announce adds or updates a target. It returns an error if the target cannot be used (see Announcement.Check).
func (e *Enroller) Announce(announcement registrar.Announcement) error {
	if err := announcement.Check(time.Now()); err != nil {
		return errors.Wrap(err, "check announcement")
	}
	e.apply(announcement)
	return nil
}

// Leave removes the target with that name at once. Requests that it already runs continue.
func (e *Enroller) Leave(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next, changed := e.registrar.WithDeparture(time.Now(), name)
	e.registrar = next
	if !changed {
		e.log.Info("departure recorded", "target", name, "reason", "the target is unknown or has already left")
		return
	}
	e.log.Info("target left", "target", name, "reason", "announced by the target")
	e.onChange(e.targets())
}

// RecordLeaving removes the target of announcement, which has stated in an answer that it leaves, unless it has started
// again since.
func (e *Enroller) RecordLeaving(announcement registrar.Announcement) {
	if held, ok := e.Announcement(announcement.Name); ok && held.StartedAt == announcement.StartedAt {
		e.Leave(announcement.Name)
	}
}

func (e *Enroller) apply(announcement registrar.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next, changed := e.registrar.With(time.Now(), announcement)
	e.registrar = next
	if changed {
		e.log.Info("target announced", "target", announcement.Name, "service", announcement.Service,
			"slots", announcement.Slots, "leaving", announcement.Leaving, "born", announcement.StartedAt,
			"sequence", announcement.Sequence)
		e.onChange(e.targets())
	}
}

// Run removes targets whose announcements have expired, until ctx ends.
func (e *Enroller) Run(ctx context.Context) error {
	ticker.Every(ctx, sweepInterval, func(time.Time) { e.sweep() })
	return nil
}

func (e *Enroller) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	next, expired := e.registrar.WithoutExpired(time.Now())
	e.registrar = next
	for _, name := range expired {
		e.log.Info("target removed", "target", name, "reason", "announcement expired")
	}
	if len(expired) > 0 {
		e.onChange(e.targets())
	}
}

// Announcement returns the last announcement of the target with that name.
func (e *Enroller) Announcement(name string) (registrar.Announcement, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registrar.Announcement(name)
}

func (e *Enroller) targets() []tracker.Target {
	var targets []tracker.Target
	for _, a := range e.registrar.Announcements() {
		targets = append(targets, tracker.Target{Name: a.Name, Service: a.Service, Slots: a.Slots, Leaving: a.Leaving, StartedAt: a.StartedAt})
	}
	return targets
}
