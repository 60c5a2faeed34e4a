package proposer

import "expvar"

// metrics are served by expvar: counts since the start, and the gauges.
var metrics = expvar.NewMap("replicate")

// gauges are the newest values. Leads is 1 on the leader; log is the size of the log in bytes.
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
