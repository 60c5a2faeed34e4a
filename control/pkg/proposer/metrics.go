package proposer

import "expvar"

// metrics is served by expvar: counters since the start of the process, and the gauges.
var metrics = expvar.NewMap("replicate")

// gauges are the current values. leads is 1 on the leader and 0 elsewhere; log is the size of the log in bytes.
type gauges struct {
	leads  expvar.Int
	term   expvar.Int
	commit expvar.Int
	log    expvar.Int
}

var gauge = publishGauges()

func publishGauges() *gauges {
	g := &gauges{}
	metrics.Set("leads", &g.leads)
	metrics.Set("term", &g.term)
	metrics.Set("commit", &g.commit)
	metrics.Set("log_bytes", &g.log)
	return g
}
