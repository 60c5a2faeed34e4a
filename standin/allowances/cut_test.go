package allowances_test

import (
	"context"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/configurer"
)

// The limit of a workspace as the platform counts it: in any window, (rate x window + burst) x (1 + overage) + tolerance.
const (
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaTolerance = 20.0
)

// TestNodesWithoutLenderExceedTheLimit has a workspace that asks for far more than its rate while some nodes are cut off
// from all lenders, whose tokens the other nodes can use.
func TestNodesWithoutLenderExceedTheLimit(t *testing.T) {
	// One thread, for the reason that TestRateIsKeptAndUsed gives.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			l := load{workspaces: 1, rate: 80, burst: 80, offered: 640}
			ctx, stop := context.WithCancel(t.Context())
			r := &run{load: l, fleet: newFleet(ctx, configurationOf(l)), duration: 24 * time.Second}
			r.fleet.fallback = func(workspace configurer.Workspace) allocator.FallbackQuota {
				return allocator.Margin{Overage: quotaOverage, Tolerance: quotaTolerance, Window: quotaWindow}.FallbackQuota(workspace, nodes)
			}
			for node := range nodes {
				r.limiters = append(r.limiters, r.fleet.startNode(centreOf(node)))
			}
			time.Sleep(2 * allocator.LenderLeaseLifetime)
			var fault sync.WaitGroup
			fault.Go(func() {
				for range 2 {
					time.Sleep(r.duration / 6)
					r.fleet.isolated.Store(true)
					time.Sleep(r.duration / 4)
					r.fleet.isolated.Store(false)
				}
			})
			r.load.usesNode = anyNode
			r.offer(rand.New(rand.NewPCG(seed, 1)))
			fault.Wait()
			stop()
			assert.NilError(t, r.fleet.group.Wait())
			slices.SortFunc(r.admitted, func(a, b event) int { return a.at.Compare(b.at) })
			allowed := (l.rate*quotaWindow.Seconds()+float64(l.burst))*(1+quotaOverage) + quotaTolerance
			most := 0
			for first, last := 0, 0; last < len(r.admitted); last++ {
				for r.admitted[last].at.Sub(r.admitted[first].at) >= quotaWindow {
					first++
				}
				most = max(most, last-first+1)
			}
			t.Logf("seed %d: %d admitted, at most %d in %v, %.0f allowed", seed, len(r.admitted), most, quotaWindow, allowed)
			assert.Check(t, float64(most) <= allowed, "seed %d: %d in %v, %.0f allowed", seed, most, quotaWindow, allowed)
		})
	}
}
