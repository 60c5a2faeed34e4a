package transporter

import "expvar"

// metrics are served by expvar and count since the start what was sent and acknowledged.
var metrics = expvar.NewMap("transport")
