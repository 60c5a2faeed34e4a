package proposer

import "expvar"

// counters are served by expvar. Leads is 1 on the leader; term and commit are the newest ones; log is the size of the
// log in bytes. Elections are those that this
// process won. All but the first four count since the start.
type counters struct {
	leads            expvar.Int
	term             expvar.Int
	commit           expvar.Int
	log              expvar.Int
	syncs            expvar.Int
	syncMicroseconds expvar.Int
	snapshots        expvar.Int
	elections        expvar.Int
}

var metrics = publishCounters()

func publishCounters() *counters {
	c := &counters{}
	published := expvar.NewMap("replicate")
	for name, counter := range map[string]*expvar.Int{
		"leads": &c.leads, "term": &c.term, "commit": &c.commit, "log_bytes": &c.log, "syncs": &c.syncs,
		"sync_microseconds": &c.syncMicroseconds, "snapshots": &c.snapshots, "elections": &c.elections,
	} {
		published.Set(name, counter)
	}
	return c
}
