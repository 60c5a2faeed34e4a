package transporter

import "expvar"

// counters are served by expvar and count since the start: messages of the log that were acknowledged, and the bytes of
// their encoded form.
type counters struct {
	messages expvar.Int
	bytes    expvar.Int
}

var metrics = publishCounters()

func publishCounters() *counters {
	c := &counters{}
	published := expvar.NewMap("transport")
	published.Set("messages", &c.messages)
	published.Set("bytes", &c.bytes)
	return c
}
