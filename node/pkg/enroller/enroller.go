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
	"samphiremount.example/core/warmer"
)

const (
	sweepInterval = 250 * time.Millisecond
	maxBodyBytes  = 64 << 10
	// storeTimeout bounds the wait of a target for the acknowledgement of its departure. Targets wait for a second.
	storeTimeout = 700 * time.Millisecond
)

// ErrNotStored is returned for a departure that is in force here, but that no other process has: a restart of this node
// would lose it.
var ErrNotStored = errors.New("no other process has the departure yet")

// Record is the record of this node that other processes have.
type Record interface {
	// SetTargets replaces the targets and departures in the record. It must not block.
	SetTargets(targets []tracker.Target, departures []tracker.Departure)
	// AwaitStored waits until another process holds departure. It returns an error if ctx ends before.
	AwaitStored(ctx context.Context, departure tracker.Departure) error
}

// Enroller holds the announced targets and reports changes to them.
type Enroller struct {
	log    *slog.Logger
	record Record

	mu        sync.Mutex
	registrar registrar.Registrar
}

// New returns an Enroller without targets, which keeps record up to date. An announcement is valid for lifetime.
func New(lifetime time.Duration, log *slog.Logger, record Record) *Enroller {
	return &Enroller{log: log, record: record, registrar: registrar.New(lifetime)}
}

// Handler returns the HTTP handler for targets: POST /targets accepts an announcement.
func (e *Enroller) Handler() http.Handler {
	server := echo.New()
	server.POST("/targets", e.announce)
	return server
}

// announceMessage is the body of an announcement. ColdMillis is for how many milliseconds the target stays cold. It is optional.
type announceMessage struct {
	registrar.Announcement

	ColdMillis *float64 `json:"cold"`
}

func (e *Enroller) announce(c echo.Context) error {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return e.refuse(registrar.Announcement{}, err)
	}
	var message announceMessage
	if err := json.Unmarshal(body, &message); err != nil {
		return e.refuse(message.Announcement, err)
	}
	announcement := message.Announcement
	if message.ColdMillis != nil {
		announcement.Cold = warmer.NewStatement(time.Now(), warmer.Seconds(*message.ColdMillis/1000))
	}
	if err := e.Announce(c.Request().Context(), announcement); err != nil {
		return e.refuse(announcement, err)
	}
	return c.NoContent(http.StatusNoContent)
}

func (e *Enroller) refuse(announcement registrar.Announcement, err error) error {
	e.log.Warn("announcement refused", "target", announcement.Name, "reason", err.Error())
	status := http.StatusBadRequest
	if errors.Is(err, ErrNotStored) {
		status = http.StatusServiceUnavailable
	}
	return echo.NewHTTPError(status, "the announcement is refused: "+err.Error())
}

// Announce adds or updates a target. It returns an error if the target cannot be used (see Announcement.Check), and
// ErrNotStored if it is leaving and no other process has that; it gets no requests then either.
func (e *Enroller) Announce(ctx context.Context, announcement registrar.Announcement) error {
	if err := announcement.Check(time.Now()); err != nil {
		return errors.Wrap(err, "check announcement")
	}
	e.apply(announcement)
	if !announcement.Leaving {
		return nil
	}
	return e.awaitStored(ctx, announcement.Name)
}

// Leave removes the target with that name at once. Requests that it already runs continue. It returns ErrNotStored if no
// other process has the departure.
func (e *Enroller) Leave(ctx context.Context, name string) error {
	e.leave(name)
	return e.awaitStored(ctx, name)
}

// awaitStored waits until another process has the departure of the target called name, if it has one.
func (e *Enroller) awaitStored(ctx context.Context, name string) error {
	e.mu.Lock()
	departure, ok := e.registrar.Departure(name)
	e.mu.Unlock()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := e.record.AwaitStored(ctx, departure); err != nil {
		e.log.Warn("departure not acknowledged", "target", name, "reason", err.Error())
		return errors.Wrap(ErrNotStored, err.Error())
	}
	return nil
}

func (e *Enroller) leave(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before, _ := e.registrar.Departure(name)
	next, removed := e.registrar.WithDeparture(time.Now(), name)
	e.registrar = next
	reason := "announced by the target"
	if !removed {
		reason = "the target is unknown or has already left"
	}
	e.log.Info("target left", "target", name, "removed", removed, "reason", reason)
	if after, _ := next.Departure(name); after != before {
		e.report()
	}
}

// Inherit adds departures of targets of this VM that earlier incarnations of this node have reported.
func (e *Enroller) Inherit(departures []tracker.Departure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next, changed := e.registrar.WithDepartures(time.Now(), departures)
	if !changed {
		return
	}
	e.registrar = next
	e.log.Info("departures inherited", "number", len(departures), "reason", "this node reported them before it restarted")
	e.report()
}

// RecordLeaving removes the target of announcement, which has stated in an answer that it leaves, unless it has started
// again since.
func (e *Enroller) RecordLeaving(announcement registrar.Announcement) {
	if held, ok := e.Announcement(announcement.Name); ok && held.StartedAt == announcement.StartedAt {
		e.leave(announcement.Name)
	}
}

func (e *Enroller) apply(announcement registrar.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.registrar.Departed(announcement) {
		e.log.Info("announcement ignored", "target", announcement.Name, "born", announcement.StartedAt,
			"sequence", announcement.Sequence, "reason", "the target has left since")
		return
	}
	next, changed := e.registrar.With(time.Now(), announcement)
	e.registrar = next
	if changed {
		e.log.Info("target announced", "target", announcement.Name, "service", announcement.Service,
			"slots", announcement.Slots, "leaving", announcement.Leaving, "born", announcement.StartedAt,
			"sequence", announcement.Sequence)
		e.report()
	}
}

// Run removes targets whose announcements have expired, and old departures, until ctx ends.
func (e *Enroller) Run(ctx context.Context) error {
	ticker.Every(ctx, sweepInterval, func(time.Time) { e.sweep() })
	return nil
}

func (e *Enroller) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	next, expired, changed := e.registrar.WithoutExpired(time.Now())
	e.registrar = next
	for _, name := range expired {
		e.log.Info("target removed", "target", name, "reason", "announcement expired")
	}
	if changed {
		e.report()
	}
}

// Announcement returns the last announcement of the target with that name.
func (e *Enroller) Announcement(name string) (registrar.Announcement, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.registrar.Announcement(name)
}

// report must be called with mu held.
func (e *Enroller) report() {
	e.record.SetTargets(e.registrar.Targets(), e.registrar.Departures())
}
