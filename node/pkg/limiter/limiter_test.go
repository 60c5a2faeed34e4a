package limiter_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/core/allocator"
	"samphiremount.example/core/borrower"
	"samphiremount.example/core/refuser"
	"samphiremount.example/node/pkg/limiter"
)

// stock lends what it has to whoever asks at its address, and takes back what is returned.
type stock struct {
	mu      sync.Mutex
	address string
	tokens  int
	reply   borrower.Reply
	lent    map[uint64]int
	spent   map[uint64]int
	back    int
}

func newStock(tokens int) *stock {
	return &stock{address: "near", tokens: tokens, lent: make(map[uint64]int), spent: make(map[uint64]int)}
}

func (s *stock) Borrow(_ context.Context, address string, message borrower.Message) (borrower.Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != s.address {
		return borrower.Reply{}, errors.New("cut")
	}
	for _, report := range message.Reports {
		s.spent[report.ID] = max(s.spent[report.ID], report.Spent)
		if report.Returned {
			s.back += s.lent[report.ID] - report.Spent
		}
	}
	tokens := min(message.Wanted, s.tokens)
	if tokens == 0 {
		return s.reply, nil
	}
	s.tokens -= tokens
	id := uint64(len(s.lent) + 1)
	s.lent[id] = tokens
	return borrower.Reply{Grants: []borrower.Grant{{Lender: "control", ID: id, Tokens: tokens}}}, nil
}

func (s *stock) answer(reply borrower.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply = reply
}

func newDrawer(s *stock) *limiter.Limiter {
	return limiter.New(s, limiter.Sources{Lenders: func(string) []string { return []string{"near", "far"} }}, slog.New(slog.DiscardHandler))
}

// soon is the end of a request that has little time.
func soon() time.Time { return time.Now().Add(time.Second) }

func kindOf(err error) refuser.Kind {
	if err == nil {
		return ""
	}
	return refuser.From(err).Kind
}

func TestEachTokenIsSpentOnceAndTheRestIsReturned(t *testing.T) {
	s := newStock(5000)
	d := newDrawer(s)
	ctx, stop := context.WithCancel(t.Context())
	var running, callers errgroup.Group
	running.Go(func() error { return d.Run(ctx) })
	for range 8 {
		callers.Go(func() error {
			for range 200 {
				if _, err := d.Acquire(t.Context(), "kowhai", soon()); err != nil {
					return err
				}
			}
			return nil
		})
	}
	assert.NilError(t, callers.Wait())
	stop()
	assert.NilError(t, running.Wait())
	spent, lent := 0, 0
	for id, tokens := range s.lent {
		spent += s.spent[id]
		lent += tokens
	}
	assert.Equal(t, spent, 8*200)
	assert.Equal(t, s.back, lent-spent)
	// Most requests found a token that had been asked for before.
	assert.Assert(t, len(s.lent) < 400, "%d messages lent tokens", len(s.lent))
}

func TestRefusalSaysWhatIsKnown(t *testing.T) {
	s := newStock(1)
	d := newDrawer(s)
	_, err := d.Acquire(t.Context(), "kowhai", soon())
	assert.NilError(t, err)
	later := time.Now().Add(time.Minute)
	s.answer(borrower.Reply{Exhausted: true, Reason: "exhausted", RetryAt: later})
	_, err = d.Acquire(t.Context(), "kowhai", soon())
	assert.Equal(t, kindOf(err), refuser.RateExceeded)
	s.answer(borrower.Reply{Reason: "starting", RetryAt: later})
	_, err = d.Acquire(t.Context(), "caroni", soon())
	assert.Equal(t, kindOf(err), refuser.AllowanceShort)
	// Before it may help to ask again, the node refuses by itself.
	s.answer(borrower.Reply{})
	_, err = d.Acquire(t.Context(), "kowhai", soon())
	assert.Equal(t, kindOf(err), refuser.RateExceeded)
}

func TestOtherLenderIsAskedWhenOneFails(t *testing.T) {
	s := newStock(1)
	s.address = "far"
	_, err := newDrawer(s).Acquire(t.Context(), "kowhai", soon())
	assert.NilError(t, err)
	s.address = "none"
	_, err = newDrawer(s).Acquire(t.Context(), "caroni", soon())
	assert.Equal(t, kindOf(err), refuser.AllowanceShort)
}

// TestDrawWaitsForALenderThatRestarts has a lender that lends nothing at first, without a word that the rate is used up.
func TestDrawWaitsForALenderThatRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender := newStock(0)
		lender.answer(borrower.Reply{Reason: "starting", RetryAt: time.Now().Add(50 * time.Millisecond)})
		d := limiter.New(lender, limiter.Sources{Lenders: func(string) []string { return []string{"near"} }}, slog.New(slog.DiscardHandler))
		time.AfterFunc(100*time.Millisecond, func() {
			lender.mu.Lock()
			defer lender.mu.Unlock()
			lender.tokens = 1
		})
		_, err := d.Acquire(t.Context(), "kowhai", soon())
		assert.NilError(t, err)
	})
}

// TestDrawOutlastsTheRestartOfAllLenders has lenders that are silent for longer than a request waits where nodes have
// shares. The node has none, and the request has the time.
func TestDrawOutlastsTheRestartOfAllLenders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender := newStock(0)
		lender.answer(borrower.Reply{Reason: "starting", RetryAt: time.Now().Add(allocator.LenderLeaseTTL)})
		d := newDrawer(lender)
		time.AfterFunc(allocator.LenderLeaseTTL, func() {
			lender.mu.Lock()
			defer lender.mu.Unlock()
			lender.tokens = 2
		})
		_, err := d.Acquire(t.Context(), "kowhai", time.Now().Add(5*time.Second))
		assert.NilError(t, err)
	})
}

// TestDrawIsRefusedAtOnceWhenNoTokenCanComeInTime has lenders that say when they lend again, which is too late.
func TestDrawIsRefusedAtOnceWhenNoTokenCanComeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender := newStock(0)
		lender.answer(borrower.Reply{Reason: "starting", RetryAt: time.Now().Add(allocator.LenderLeaseTTL)})
		began := time.Now()
		_, err := newDrawer(lender).Acquire(t.Context(), "kowhai", soon())
		assert.Equal(t, kindOf(err), refuser.AllowanceShort)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, refuser.From(err).RetryAt.Sub(began), allocator.LenderLeaseTTL)
	})
}

// TestShareIsUsedWhileNoLenderLends has lenders that wait out what they may have lent before their start.
func TestShareIsUsedWhileNoLenderLends(t *testing.T) {
	s := newStock(0)
	s.answer(borrower.Reply{Reason: "starting", RetryAt: time.Now().Add(time.Minute)})
	sources := limiter.Sources{
		Lenders:  func(string) []string { return []string{"near"} },
		Fallback: func(string) allocator.FallbackQuota { return allocator.FallbackQuota{Rate: 0.001, Slack: 4, Nodes: 2} },
	}
	d := limiter.New(s, sources, slog.New(slog.DiscardHandler))
	for range 2 {
		began := time.Now()
		_, err := d.Acquire(t.Context(), "kowhai", soon())
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) < 500*time.Millisecond, "a share is admitted at once")
	}
	_, err := d.Acquire(t.Context(), "kowhai", soon())
	assert.Equal(t, kindOf(err), refuser.AllowanceShort)
	// A rate that is used up is no reason to admit more.
	s.answer(borrower.Reply{Exhausted: true, Reason: "exhausted", RetryAt: time.Now().Add(time.Minute)})
	_, err = d.Acquire(t.Context(), "caroni", soon())
	assert.Equal(t, kindOf(err), refuser.RateExceeded)
}

// TestRequestWaitsForItsTurnInTheNodesShare has lenders that are away for long, and a share that refills every 400 ms.
func TestRequestWaitsForItsTurnInTheNodesShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStock(0)
		s.answer(borrower.Reply{Reason: "starting", RetryAt: time.Now().Add(time.Minute)})
		d := limiter.New(s, limiter.Sources{
			Lenders:  func(string) []string { return []string{"near"} },
			Fallback: func(string) allocator.FallbackQuota { return allocator.FallbackQuota{Rate: 5, Slack: 2, Nodes: 2} },
		}, slog.New(slog.DiscardHandler))
		_, err := d.Acquire(t.Context(), "kowhai", soon())
		assert.NilError(t, err)
		var callers errgroup.Group
		began := time.Now()
		callers.Go(func() error {
			_, err := d.Acquire(t.Context(), "kowhai", soon())
			return err
		})
		synctest.Wait()
		_, err = d.Acquire(t.Context(), "kowhai", soon())
		assert.Equal(t, kindOf(err), refuser.AllowanceShort)
		assert.Equal(t, time.Since(began), time.Duration(0), "no token comes in time, so the request is refused at once")
		assert.NilError(t, callers.Wait())
		assert.Equal(t, time.Since(began), 400*time.Millisecond)
	})
}

// cut is a borrower that reaches no lender, but another node.
type cut struct {
	peer   borrower.Proxier
	denied int
}

func (c *cut) Borrow(ctx context.Context, address string, message borrower.Message) (borrower.Reply, error) {
	if address == "peer" {
		return c.peer.Proxy(ctx, message)
	}
	c.denied++
	return borrower.Reply{}, errors.New("cut")
}

// TestNodeThatReachesNoLenderBorrowsThroughAPeer has a share that admits nothing, so that only lent tokens count.
func TestNodeThatReachesNoLenderBorrowsThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lender := newStock(100)
		wires := &cut{peer: newDrawer(lender)}
		sources := limiter.Sources{
			Lenders:  func(string) []string { return []string{"near", "far"} },
			Fallback: func(string) allocator.FallbackQuota { return allocator.FallbackQuota{Rate: 0.001, Nodes: 2} },
			Peers:    func() []string { return []string{"peer"} },
		}
		d := limiter.New(wires, sources, slog.New(slog.DiscardHandler))
		ctx, stop := context.WithCancel(t.Context())
		var running errgroup.Group
		running.Go(func() error { return d.Run(ctx) })
		for range 50 {
			_, err := d.Acquire(t.Context(), "kowhai", soon())
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, wires.denied < 10, "%d questions to lenders that are cut off", wires.denied)
		stop()
		assert.NilError(t, running.Wait())
		spent := 0
		for _, count := range lender.spent {
			spent += count
		}
		assert.Equal(t, spent, 50, "what was spent is told through the peer too")
	})
}

func TestMessageIsPassedOnce(t *testing.T) {
	lender := newStock(1)
	_, err := newDrawer(lender).Proxy(t.Context(), borrower.Message{Workspace: "kowhai", Wanted: 1, Proxied: true})
	assert.ErrorContains(t, err, "passed before")
	lender.address = "none"
	_, err = newDrawer(lender).Proxy(t.Context(), borrower.Message{Workspace: "kowhai", Wanted: 1})
	assert.ErrorContains(t, err, "no lender")
}

// TestBurstIsSharedAfterAStartOnly counts what a node admits at once without lenders, after its start and after it borrowed.
func TestBurstIsSharedAfterAStartOnly(t *testing.T) {
	const burst = 6
	admitted := func(tokens int) (count int) {
		s := newStock(tokens)
		d := limiter.New(s, limiter.Sources{
			Lenders: func(string) []string { return []string{"near"} },
			Fallback: func(string) allocator.FallbackQuota {
				return allocator.FallbackQuota{Rate: 0.001, Burst: 2 * burst, Nodes: 2}
			},
		}, slog.New(slog.DiscardHandler))
		for range tokens {
			_, err := d.Acquire(t.Context(), "caroni", soon())
			assert.NilError(t, err)
		}
		s.answer(borrower.Reply{Reason: "starting", RetryAt: time.Now().Add(time.Minute)})
		for {
			if _, err := d.Acquire(t.Context(), "kowhai", soon()); err != nil {
				return count
			}
			count++
		}
	}
	assert.Equal(t, admitted(0), burst)
	assert.Equal(t, admitted(1), 0)
}
