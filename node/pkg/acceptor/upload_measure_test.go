package acceptor_test

import (
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// TestUploadsAtOnceBesideSmallRequests sends 200 uploads at once through one entry and one gate, from callers that send 32 KB in
// each 50 ms, to targets with twice as many slots, and small requests beside them. The heap of callers, entry, gate and targets
// together must fit into a machine of 184 MB. It prints the times of the small requests with and without the uploads.
func TestUploadsAtOnceBesideSmallRequests(t *testing.T) {
	const uploads, length, maxHeap = 200, 1_200_000, 184 << 20
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n, err := io.Copy(io.Discard, r.Body); err != nil || strings.HasPrefix(r.URL.Path, "/bookings") && n != length {
			w.WriteHeader(http.StatusBadRequest)
		}
	})
	f := newFleet(t, slices.Repeat([]http.Handler{handler}, 2*uploads/slotsPerTarget)...)
	small := func() (times []time.Duration) {
		for range 200 {
			began := time.Now()
			assert.Equal(t, do(t, f.request(t, http.MethodPost, "/catalogue")).status, http.StatusOK)
			times = append(times, time.Since(began))
		}
		slices.Sort(times)
		return times
	}
	small()
	alone := small()
	var group errgroup.Group
	served := make(chan bool, uploads)
	for range uploads {
		group.Go(func() error {
			request := f.request(t, http.MethodPost, "/bookings")
			body := &pacedReader{io.LimitReader(zeros{}, length), 50 * time.Millisecond}
			request.Body, request.ContentLength = io.NopCloser(body), length
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return err
			}
			told, err := io.ReadAll(response.Body)
			if served <- response.StatusCode == http.StatusOK; response.StatusCode != http.StatusOK {
				t.Logf("upload answered with %d: %s", response.StatusCode, told)
			}
			return errors.CombineErrors(err, response.Body.Close())
		})
	}
	time.Sleep(100 * time.Millisecond)
	beside := small()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	inProgress := uploads - len(served)
	assert.NilError(t, group.Wait())
	close(served)
	count := 0
	for ok := range served {
		if ok {
			count++
		}
	}
	t.Logf("%d of %d uploads served, %d in progress at the end; heap %d MB; small requests p50/p99 %s/%s alone, %s/%s beside them",
		count, uploads, inProgress, stats.HeapAlloc>>20, alone[100], alone[198], beside[100], beside[198])
	assert.Equal(t, count, uploads)
	assert.Assert(t, stats.HeapAlloc < maxHeap, "%d bytes", stats.HeapAlloc)
}
