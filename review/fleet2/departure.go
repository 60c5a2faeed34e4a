package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the rule and of the disruptions.
const (
	drain     = 2500 * time.Millisecond
	coreOff   = 1950 * time.Millisecond
	nodeOff   = 500 * time.Millisecond
	lateAfter = 4500 * time.Millisecond
	// servesOn is how long the server goes on after its DELETE was acknowledged.
	servesOn = 9 * time.Second
)

var subscribed = regexp.MustCompile(`msg="subscribe: subscribed" address=(\S+)`)

// followsPeer reports whether the last publisher that m has followed, as its log says, is another node.
func (f *fleet) followsPeer(m *machine) bool {
	text, err := os.ReadFile(filepath.Join(f.folder, m.name+".log"))
	if err != nil {
		return false
	}
	found := subscribed.FindAllStringSubmatch(string(text), -1)
	if len(found) == 0 {
		return false
	}
	address := strings.Trim(found[len(found)-1][1], `"`)
	return !slices.ContainsFunc(f.cores, func(core *machine) bool { return core.address(portFleet) == address })
}

// runDeparture has a server leave while its node follows another node, restarts that node, and has an old heartbeat of the server
// come late.
func runDeparture(f *fleet, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	var mu sync.Mutex
	var leaving *server
	var acknowledged time.Time
	late := 0
	handle := func(s *server, w http.ResponseWriter, r *http.Request, body []byte) {
		mu.Lock()
		if s == leaving && !acknowledged.IsZero() {
			since := time.Since(acknowledged)
			f.record.write("server %s runs %s, %s after its DELETE was acknowledged", s.instance, r.Header.Get("Attempt-Id"), since)
			if since > drain {
				late++
			}
		}
		mu.Unlock()
		serveAll(s, w, r, body)
	}
	servers, err := prepare(ctx, f, &group, 24, handle)
	if err != nil {
		return false, err
	}
	chosen := 0
	if trouble {
		if chosen, err = f.awaitPeer(ctx); err != nil {
			return false, err
		}
	}
	s := servers[chosen]
	group.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			node := f.nodes[(chosen+1+i%(len(f.nodes)-1))%len(f.nodes)]
			r := request{method: http.MethodPost, path: "/book0/7", id: fmt.Sprintf("d%015d", i), key: key, deadline: 2 * time.Second, body: "x"}
			group.Go(func() { f.record.write("client gets for %s: %s", r.id, send(node, r)) })
			pause(ctx, 20*time.Millisecond)
		}
	})
	pause(ctx, time.Second)
	s.mu.Lock()
	s.up = false
	s.sequence++
	id, old := s.instance, s.heartbeat("ready", s.sequence)
	s.mu.Unlock()
	f.record.write("a heartbeat of server %s is held up on its way", id)
	for i := 0; !s.call(http.MethodDelete, id, nil); i++ {
		if i > 20 {
			return false, fmt.Errorf("%w: the DELETE is not acknowledged", errCannotRun)
		}
		pause(ctx, 200*time.Millisecond)
	}
	mu.Lock()
	leaving, acknowledged = s, time.Now()
	mu.Unlock()
	f.record.write("the DELETE of server %s is acknowledged by %s", id, s.machine.name)
	pause(ctx, 300*time.Millisecond)
	if trouble {
		f.kill(s.machine)
		pause(ctx, nodeOff)
		if err := f.start(s.machine); err != nil {
			return false, err
		}
	}
	pause(ctx, time.Until(acknowledged.Add(lateAfter)))
	f.record.write("the late heartbeat of server %s arrives; acknowledged: %t", id, s.call(http.MethodPut, id, old))
	pause(ctx, time.Until(acknowledged.Add(servesOn)))
	f.record.write("server %s exits", id)
	s.crash()
	cancel()
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	f.record.write("%d requests reached the server later than %s after the acknowledgement", late, drain)
	return late > 0, nil
}

// awaitPeer takes the power of all core machines for coreOff until a node follows another one. It returns the index of that node.
func (f *fleet) awaitPeer(ctx context.Context) (int, error) {
	for range 9 {
		for _, core := range f.cores {
			f.signal(core, syscall.SIGKILL)
		}
		for _, core := range f.cores {
			_, _ = core.command.Process.Wait()
		}
		pause(ctx, coreOff)
		for _, core := range f.cores {
			if err := f.start(core); err != nil {
				return 0, err
			}
		}
		// The core is stable, and the machines are in touch again.
		pause(ctx, 2*stability+time.Second)
		for i, m := range f.nodes {
			if f.followsPeer(m) {
				f.record.write("%s follows another node", m.name)
				return i, nil
			}
		}
	}
	return 0, fmt.Errorf("%w: no node follows another one", errCannotRun)
}
