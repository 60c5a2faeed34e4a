package bounder

import (
	"context"
	"expvar"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"samphiremount.example/core/ticker"
)

const (
	// memoryShare is the part of a process's memory that its clients may take: a quarter. The limit of the heap is 60 in 100, of
	// which the process itself needs some 25 MB at the size of the users' fleets; the rest is for the program's text and the kernel.
	memoryShare = 4
	// gateShare is the part of a process's memory for requests that other nodes send to its gate: an eighth. At 184 MB that is
	// 490 requests without a body, while a target of the users runs 8 at once and callers wait for 20 s at most.
	gateShare = 8
	// descriptorShare is the part of the descriptors that its clients may take: a third. The rest is for connections to other
	// processes of the fleet and to targets, two for a request that is hedged or sent again, and for files.
	descriptorShare = 3
	// handshakeShare is the part of the descriptors for handshakes in progress: a sixteenth. More are
	// taken while all of them are young, since the members of a fleet connect at once when a process is back.
	handshakeShare = 16
	// otherConnections and otherMemory are the parts of both for the clients of all listeners but the main one: an eighth and a
	// sixteenth. Neither side can take what the other has, so a crowd at the callers' listener keeps nobody from readiness, and the other
	// way round. The main part of 280 MB holds a body of 64 MB.
	otherConnections = 8
	otherMemory      = 16
	// freedShare is the part of both that is freed at once: a sixteenth. A search through all connections for each new one would
	// cost more than the connection.
	freedShare = 16

	sweepInterval  = 250 * time.Millisecond
	windowInterval = time.Second
	// searchInterval is the least time between two searches of which the first found nothing to close.
	searchInterval = 5 * time.Millisecond
	reportInterval = 5 * time.Second
)

// Limits bound what the clients of all HTTP listeners of a process take together: Memory in bytes, and Connections. Handshakes bounds
// the connections to its listener for the fleet that have not yet proved to belong to it.
type Limits struct {
	Memory      int64
	Connections int
	Handshakes  int
	// Gate bounds the memory of the requests that a gate has from other nodes, which are not clients.
	Gate int64
}

// LimitsOf returns the limits of a process that may use memory bytes and that number of descriptors.
func LimitsOf(memory int64, descriptors uint64) Limits {
	number := int(descriptors) //nolint:gosec // far below the maximum
	return Limits{
		Memory: memory / memoryShare, Connections: number / descriptorShare, Handshakes: max(1, number/handshakeShare),
		Gate: memory / gateShare,
	}
}

// Budget is the memory and the connections that the clients of all HTTP listeners of a process share. When either runs out,
// connections whose clients make least progress for what they hold are closed first. It is safe for concurrent use.
type Budget struct {
	limits Limits
	log    *slog.Logger
	counts *expvar.Map

	mu     sync.Mutex
	main   *part
	others *part
	since  map[string]int
}

// part is the part of a budget for the main listener, or for all others.
type part struct {
	limits Limits
	conns  map[*conn]struct{}
	memory int64
	// closing is the part of memory that requests on closed connections hold until their handlers return.
	closing    int64
	nextSearch time.Time
}

func newPart(memory int64, connections int) *part {
	return &part{limits: Limits{Memory: memory, Connections: connections}, conns: make(map[*conn]struct{})}
}

func (b *Budget) part(door Door) *part {
	if door.Main {
		return b.main
	}
	return b.others
}

// The reasons for which a connection is closed, and what is refused for want of room. Metrics and log lines use these names.
const (
	closedShort     = "short"
	closedSlow      = "slow"
	closedPipelined = "pipelined"

	rejectedConnections = "connections"
	rejectedRequests    = "requests"
)

// NewBudget returns a budget of which nothing is taken. It counts in counts.
func NewBudget(limits Limits, counts *expvar.Map, log *slog.Logger) *Budget {
	memory, connections := limits.Memory/otherMemory, limits.Connections/otherConnections
	b := &Budget{
		limits: limits, log: log, counts: counts, since: make(map[string]int),
		main: newPart(limits.Memory-memory, limits.Connections-connections), others: newPart(memory, connections),
	}
	counts.Set("connections", expvar.Func(func() any { return b.usage().Connections }))
	counts.Set("memory", expvar.Func(func() any { return b.usage().Memory }))
	return b
}

// Limits returns the limits, which are all 0 without a budget.
func (b *Budget) Limits() Limits {
	if b == nil {
		return Limits{}
	}
	return b.limits
}

func (b *Budget) usage() Limits {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Limits{Memory: b.main.memory + b.others.memory, Connections: len(b.main.conns) + len(b.others.conns)}
}

// Run closes connections whose clients are too slow or send too much ahead, and logs what was closed and refused, until ctx ends.
func (b *Budget) Run(ctx context.Context) error {
	nextWindow, nextReport := time.Now(), time.Now()
	ticker.Every(ctx, sweepInterval, func(now time.Time) {
		newWindow := !now.Before(nextWindow)
		if newWindow {
			nextWindow = now.Add(windowInterval)
		}
		for _, c := range b.all() {
			if reason := c.sweep(now, newWindow); reason != "" {
				b.close(c, reason)
			}
		}
		if !now.Before(nextReport) && b.report() {
			nextReport = now.Add(reportInterval)
		}
	})
	return nil
}

func (b *Budget) all() []*conn {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.AppendSeq(slices.Collect(maps.Keys(b.main.conns)), maps.Keys(b.others.conns))
}

// report logs what was closed and refused since the last report, and reports whether there was anything.
func (b *Budget) report() bool {
	b.mu.Lock()
	since := b.since
	b.since = make(map[string]int)
	b.mu.Unlock()
	if len(since) == 0 {
		return false
	}
	used := b.usage()
	attributes := []any{
		"memory", used.Memory, "max_memory", b.limits.Memory, "connections", used.Connections, "max_connections", b.limits.Connections,
	}
	for _, name := range slices.Sorted(maps.Keys(since)) {
		attributes = append(attributes, name, since[name])
	}
	b.log.Warn("clients hold too much", attributes...)
	return true
}

// reject counts that a connection or a request is refused.
func (b *Budget) reject(what string) {
	b.counts.Add("rejected_"+what, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since["rejected_"+what]++
}

// close closes a connection for reason. What a request on it still holds is freed when its handler returns.
func (b *Budget) close(c *conn, reason string) {
	if !b.leave(c) {
		return
	}
	c.abort()
	b.counts.Add("closed_"+reason, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since["closed_"+reason]++
}

// join takes the memory of a new connection, and reports whether there was room for it.
func (b *Budget) join(c *conn) bool {
	if !b.free(c.door, connMemory, 1) {
		b.reject(rejectedConnections)
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.part(c.door)
	p.conns[c] = struct{}{}
	p.memory += connMemory
	c.held.Add(connMemory)
	return true
}

// leave returns the memory of a connection that is closed, and reports whether it had not left before.
func (b *Budget) leave(c *conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.part(c.door)
	if _, ok := p.conns[c]; !ok {
		return false
	}
	delete(p.conns, c)
	p.memory -= connMemory
	c.left = true
	p.closing += c.held.Add(-connMemory)
	return true
}

// take takes memory for the request on c, and reports whether there was any.
func (b *Budget) take(c *conn, memory int64) bool {
	if !b.free(c.door, memory, 0) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.part(c.door)
	p.memory += memory
	c.held.Add(memory)
	if c.left {
		p.closing += memory
	}
	return true
}

// give returns memory that take took.
func (b *Budget) give(c *conn, memory int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.part(c.door)
	p.memory -= memory
	c.held.Add(-memory)
	if c.left {
		p.closing -= memory
	}
}

// expected returns the memory that is taken without what closed connections are about to return. That counts for a quarter of the
// limit at most, so that slow handlers are noticed. The caller holds the budget's mu.
func (p *part) expected() int64 { return p.memory - min(p.closing, p.limits.Memory/4) }

// lacks returns how much memory and how many connections exceed the limits if that much is added. The caller holds the budget's mu.
func (p *part) lacks(memory int64, connections int) (shortMemory int64, shortConnections int) {
	return p.expected() + memory - p.limits.Memory, len(p.conns) + connections - p.limits.Connections
}

// hasRoom reports whether that much may be added. A request takes no connection, so it is not refused for those. The caller holds
// the budget's mu.
func (p *part) hasRoom(memory int64, connections int) bool {
	shortMemory, shortConnections := p.lacks(memory, connections)
	return shortMemory <= 0 && (connections == 0 || shortConnections <= 0)
}

// free makes room for memory and connections, and reports whether there is enough. Requests that begin at once may exceed the limits
// by what they take.
func (b *Budget) free(door Door, memory int64, connections int) bool {
	now, p := time.Now(), b.part(door)
	b.mu.Lock()
	if p.hasRoom(memory, connections) || now.Before(p.nextSearch) {
		defer b.mu.Unlock()
		return p.hasRoom(memory, connections)
	}
	conns := slices.Collect(maps.Keys(p.conns))
	shortMemory, shortConnections := p.lacks(memory, connections)
	b.mu.Unlock()
	holders := make([]Holder, 0, len(conns))
	var longest time.Duration
	for _, c := range conns {
		holder := c.holder(now)
		holders = append(holders, holder)
		longest = max(longest, holder.Waited)
	}
	if shortMemory > 0 {
		shortMemory += p.limits.Memory / freedShare
	}
	if shortConnections > 0 {
		shortConnections += p.limits.Connections / freedShare
	}
	chosen := Choose(holders, shortMemory, shortConnections)
	for _, i := range chosen {
		b.close(conns[i], closedShort)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(chosen) == 0 {
		// Nothing may be chosen before.
		p.nextSearch = now.Add(max(searchInterval, minWait-longest))
	}
	return p.hasRoom(memory, connections)
}
