package responder

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Faults configures how a stand-in target misbehaves. The zero value is a healthy target. Fail, Hang and Shed are
// fractions of the requests, from 0 to 1; a request gets at most one of them.
type Faults struct {
	// Slow is the factor on the processing time of requests. Values up to 1 have no effect.
	Slow float64 `json:"slow" long:"slow" description:"Factor on the time that a request takes"`
	// Fail, Hang and Shed are the fractions of requests that get status 500, no response, and status 503.
	Fail float64 `json:"fail" long:"fail" description:"Share of requests that get status 500"`
	Hang float64 `json:"hang" long:"hang" description:"Share of requests that get no answer"`
	Shed float64 `json:"shed" long:"shed" description:"Share of requests that get status 503"`
	// Flap is the length of a period in milliseconds. All other faults except Lie and Drain are active only in every second
	// period, starting with the first.
	Flap int `json:"flap" long:"flap" description:"Milliseconds for which the other faults act and then rest, in turns"`
	// Cold is the time in milliseconds after the start of the target during which requests take ten times as long.
	Cold int `json:"cold" long:"cold" description:"Milliseconds after the start in which requests take ten times as long"`
	// Lie makes the health check at /health succeed despite other faults.
	Lie bool `json:"lie" long:"lie" description:"Answer health checks well whatever else is wrong"`
	// Crash is a text that ends the process if it occurs in the first 4 KiB of a request body. Empty means no crash.
	Crash string `json:"crash" long:"crash" description:"End the process when a request's body contains this text"`
	// Drain makes the target announce that it leaves, while it still runs.
	Drain bool `json:"drain" long:"drain" description:"Announce that the target leaves"`
}

const (
	healthPath = "/health"
	coldFactor = 10
	// minSlowedTime is the minimum processing time to which Slow and coldFactor are applied, so that they also slow down
	// requests that otherwise take no time.
	minSlowedTime = time.Millisecond
)

// active returns the faults that are active at uptime, the time since the start of the target.
func (f Faults) active(uptime time.Duration) Faults {
	if f.Flap > 0 && (uptime/(time.Duration(f.Flap)*time.Millisecond))%2 == 1 {
		return Faults{Lie: f.Lie, Drain: f.Drain}
	}
	return f
}

// unhealthy reports whether a truthful health check fails. Cold and Crash do not make it fail.
func (f Faults) unhealthy() bool {
	return f.Slow > 1 || f.Fail > 0 || f.Hang > 0 || f.Shed > 0 || f.Drain
}

// processingTime returns the processing time of a request at uptime, where base is that of a healthy target.
func (f Faults) processingTime(base, uptime time.Duration) time.Duration {
	factor := max(f.Slow, 1)
	if uptime < time.Duration(f.Cold)*time.Millisecond {
		factor *= coldFactor
	}
	if factor == 1 {
		return base
	}
	return time.Duration(factor * float64(max(base, minSlowedTime)))
}

// randomStatus returns a random HTTP status for a request, with the configured probabilities. 0 means no response.
func (f Faults) randomStatus() int {
	random := rand.Float64()
	for _, fault := range []struct {
		share  float64
		status int
	}{{f.Fail, http.StatusInternalServerError}, {f.Shed, http.StatusServiceUnavailable}, {f.Hang, 0}} {
		if random < fault.share {
			return fault.status
		}
		random -= fault.share
	}
	return http.StatusOK
}

// ControlHandler returns the HTTP handler with which tests set the faults: PUT /faults replaces them, GET /faults
// returns them.
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

// health responds to a health check with status 503 if the active faults make the target unhealthy and Lie is not set,
// otherwise with 200.
func (r *Responder) health(c echo.Context) error {
	faults := r.faults.Load().active(time.Since(r.started))
	if faults.unhealthy() && !faults.Lie {
		return c.String(http.StatusServiceUnavailable, "sick")
	}
	return c.String(http.StatusOK, "healthy")
}

// applyFaults applies the active faults to a request whose body starts with body: it crashes, hangs until ctx ends, or
// waits for the processing time and returns the status of the response.
func (r *Responder) applyFaults(ctx context.Context, body []byte) (int, error) {
	uptime := time.Since(r.started)
	faults := r.faults.Load().active(uptime)
	if faults.Crash != "" && bytes.Contains(body, []byte(faults.Crash)) {
		r.log.Error("request body contains the crash text, exiting")
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
	case <-time.After(faults.processingTime(r.processingTime, uptime)):
		return status, nil
	}
}
