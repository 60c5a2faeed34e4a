package transporter

import "expvar"

// metrics is served by expvar. It counts what was sent and acknowledged since the start of the process.
var metrics = expvar.NewMap("transport")
