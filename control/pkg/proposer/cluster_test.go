package proposer_test

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"samphiremount.example/control/pkg/proposer"
	"samphiremount.example/control/pkg/storer"
	"samphiremount.example/core/configurer"
	"samphiremount.example/core/messenger"
	"samphiremount.example/core/replicator"
	"samphiremount.example/core/synchronizer"
)

// member is one member of the log, run in the test process with a real data folder and real connections.
type member struct {
	*proposer.Replica

	hub    *synchronizer.Hub
	folder *storer.Folder
	cancel context.CancelFunc
	group  *errgroup.Group
}

// cluster runs members on the loopback address. A member listens at its address, or at the one in listenAt if it is set.
// wrapDisk is applied to the data folder of each member that starts.
type cluster struct {
	tb        testing.TB
	path      string
	addresses map[string]string
	listenAt  map[string]string
	members   map[string]*member
	wrapDisk  func(storer.Disk) storer.Disk
	starts    int
}

func newCluster(tb testing.TB, size int) *cluster {
	tb.Helper()
	return newClusterWith(tb, size, func(disk storer.Disk) storer.Disk { return disk })
}

// newClusterWith is newCluster with a function that is applied to the data folder of each member that starts.
func newClusterWith(tb testing.TB, size int, wrapDisk func(storer.Disk) storer.Disk) *cluster {
	tb.Helper()
	c := &cluster{tb: tb, path: tb.TempDir(), addresses: make(map[string]string), members: make(map[string]*member), wrapDisk: wrapDisk}
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(tb, err)
		c.addresses[fmt.Sprintf("m%d", i)] = listener.Addr().String()
		assert.NilError(tb, listener.Close())
	}
	for name := range c.addresses {
		c.start(name)
	}
	tb.Cleanup(func() {
		for name := range c.members {
			c.stop(name)
		}
	})
	return c
}

func (c *cluster) start(name string) *member {
	c.tb.Helper()
	c.starts++
	folder, err := storer.NewFolder(filepath.Join(c.path, name))
	assert.NilError(c.tb, err)
	credentials := messenger.NewCredentials("test", []byte("a-secret-of-a-test-fleet"))
	log := slog.New(slog.DiscardHandler)
	m := &member{hub: synchronizer.NewHub(), folder: folder}
	settings := proposer.Settings{Name: name, Address: c.addresses[name], MayBootstrap: true}
	for peer, address := range c.addresses {
		settings.BootstrapPeers = append(settings.BootstrapPeers, proposer.BootstrapPeer{Name: peer, Address: address})
	}
	newIdentity := replicator.Identity(fmt.Sprintf("%s.%d", name, c.starts))
	m.Replica, err = proposer.New(settings, c.wrapDisk(folder), newIdentity, m.hub, messenger.NewPool(credentials), log)
	assert.NilError(c.tb, err)
	mux := messenger.Mux{}
	m.Register(mux)
	listener, err := net.Listen("tcp", cmp.Or(c.listenAt[name], c.addresses[name]))
	assert.NilError(c.tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.group, ctx = errgroup.WithContext(ctx)
	m.group.Go(func() error { return messenger.NewServer(credentials, mux, log).Serve(ctx, listener) })
	m.group.Go(func() error { return m.Run(ctx) })
	c.members[name] = m
	return m
}

func (c *cluster) stop(name string) {
	m := c.members[name]
	m.cancel()
	_ = m.group.Wait()
	_ = m.folder.Close()
	delete(c.members, name)
}

// waitForLeader waits until a member leads and a quorum confirms it.
func (c *cluster) waitForLeader() *member {
	c.tb.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for name, m := range c.members {
			if m.Status().Leader == name && m.ReadBarrier(c.tb.Context()) == nil {
				return m
			}
		}
	}
	c.tb.Fatal("no member leads")
	return nil
}

func workspace(name string, rate int) configurer.Change {
	return configurer.PutWorkspace{
		Workspace: configurer.Workspace{Name: name, Rate: configurer.PerSecond(rate), Burst: 1},
	}
}

func batch(operation string, changes ...configurer.Change) configurer.Batch {
	return configurer.Batch{Operation: operation, Changes: changes}
}
