package gatekeeper_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/gossiper"
)

// TestSlowCallersAreNoEvidenceAgainstTheirTarget has uploads of which the rest takes several times their objective to arrive. Their
// target must stay healthy, until it takes that long itself.
func TestSlowCallersAreNoEvidenceAgainstTheirTarget(t *testing.T) {
	const objective, uploads = 50 * time.Millisecond, 3
	hang := make(chan struct{})
	gate := newGate(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-hang
	}, uploads)
	release := sync.OnceFunc(func() { close(hang) })
	t.Cleanup(release)
	var group errgroup.Group
	var writers []*io.PipeWriter
	for i := range uploads {
		reader, writer := io.Pipe()
		writers = append(writers, writer)
		t.Cleanup(func() { _ = writer.Close() })
		upload := head(string(rune('x'+i)), "w")
		upload.Upload, upload.Withheld, upload.Length, upload.Objective = true, true, -1, objective
		upload.ObjectiveDeadline = time.Now().Add(objective)
		group.Go(func() error {
			answer, err := gate.Run(t.Context(), upload, reader)
			if err != nil {
				return err
			}
			return answer.Body.Close()
		})
		_, err := writer.Write([]byte("start"))
		assert.NilError(t, err)
	}
	for began := time.Now(); time.Since(began) < 5*objective; time.Sleep(objective / 5) {
		assert.Equal(t, len(gate.Verdicts(time.Now())), 0)
	}
	for _, writer := range writers {
		assert.NilError(t, writer.Close())
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(objective / 5) {
		verdicts := gate.Verdicts(time.Now())
		if len(verdicts) == 1 && verdicts[0].State == gossiper.Suspect {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "%+v", verdicts)
	}
	release()
	assert.NilError(t, group.Wait())
}
