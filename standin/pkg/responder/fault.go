package responder

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Faults are the ways in which a stand-in target misbehaves. Shares are from 0 to 1. The zero value is healthy.
type Faults struct {
	// Slow multiplies the time that a request takes, if it is above 1.
	Slow float64 `json:"slow" long:"slow" description:"Factor on the time that a request takes"`
	// Fail, Hang and Shed are the shares of requests that get status 500, no answer, and status 503.
	Fail float64 `json:"fail" long:"fail" description:"Share of requests that get status 500"`
	Hang float64 `json:"hang" long:"hang" description:"Share of requests that get no answer"`
	Shed float64 `json:"shed" long:"shed" description:"Share of requests that get status 503"`
	// Flap is the length of a period in milliseconds: the other faults act in every second period only.
	Flap int `json:"flap" long:"flap" description:"Milliseconds for which the other faults act and then rest, in turns"`
	// Cold is the time in milliseconds after the start during which requests take ten times as long.
	Cold int `json:"cold" long:"cold" description:"Milliseconds after the start in which requests take ten times as long"`
	// Lie makes the health check at /health answer well whatever else is wrong.
	Lie bool `json:"lie" long:"lie" description:"Answer health checks well whatever else is wrong"`
	// Crash ends the process when a request's body contains it.
	Crash string `json:"crash" long:"crash" description:"End the process when a request's body contains this text"`
	// Drain announces that the target leaves while it still runs.
	Drain bool `json:"drain" long:"drain" description:"Announce that the target leaves"`
}

const (
	healthPath = "/health"
	coldFactor = 10
	// minSlowedTime is what a slow target takes for a request that otherwise takes no time.
	minSlowedTime = time.Millisecond
)

// active returns the faults that act at a time since the target's start.
func (f Faults) active(since time.Duration) Faults {
	if f.Flap > 0 && (since/(time.Duration(f.Flap)*time.Millisecond))%2 == 1 {
		return Faults{Lie: f.Lie, Drain: f.Drain}
	}
	return f
}

// unhealthy reports whether requests suffer.
func (f Faults) unhealthy() bool {
	return f.Slow > 1 || f.Fail > 0 || f.Hang > 0 || f.Shed > 0 || f.Drain
}

// processingTime returns the time that a request takes which takes work on a healthy target.
func (f Faults) processingTime(work, since time.Duration) time.Duration {
	factor := max(f.Slow, 1)
	if since < time.Duration(f.Cold)*time.Millisecond {
		factor *= coldFactor
	}
	if factor == 1 {
		return work
	}
	return time.Duration(factor * float64(max(work, minSlowedTime)))
}

// randomStatus draws what becomes of a request: a status, or 0 for no answer.
func (f Faults) randomStatus() int {
	draw := rand.Float64()
	for _, fault := range []struct {
		share  float64
		status int
	}{{f.Fail, http.StatusInternalServerError}, {f.Shed, http.StatusServiceUnavailable}, {f.Hang, 0}} {
		if draw < fault.share {
			return fault.status
		}
		draw -= fault.share
	}
	return http.StatusOK
}

// ControlHandler serves the interface by which tests set the faults: PUT /faults replaces them, GET /faults returns them.
func (r *Responder) ControlHandler() http.Handler {
	server := echo.New()
	server.PUT("/faults", func(c echo.Context) error {
		var faults Faults
		if err := c.Bind(&faults); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "the faults are malformed")
		}
		r.faults.Store(&faults)
		r.log.Info("faults changed", "faults", faults)
		return c.NoContent(http.StatusNoContent)
	})
	server.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, r.faults.Load()) })
	return server
}

// health answers a health check by the state of the target, or well if it lies.
func (r *Responder) health(c echo.Context) error {
	faults := r.faults.Load().active(time.Since(r.started))
	if faults.unhealthy() && !faults.Lie {
		return c.String(http.StatusServiceUnavailable, "sick")
	}
	return c.String(http.StatusOK, "healthy")
}

// applyFaults lets a request with body pass the active faults. It returns the status to answer with.
func (r *Responder) applyFaults(ctx context.Context, body []byte) (int, error) {
	since := time.Since(r.started)
	faults := r.faults.Load().active(since)
	if faults.Crash != "" && bytes.Contains(body, []byte(faults.Crash)) {
		r.log.Error("crashed by a request")
		r.exit()
	}
	status := faults.randomStatus()
	if status == 0 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(faults.processingTime(r.processingTime, since)):
		return status, nil
	}
}
