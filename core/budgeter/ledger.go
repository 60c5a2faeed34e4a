package budgeter

import "time"

// Report is what a node has counted of a service since its previous report. Requests are new requests, Charged the
// estimated number of extra attempts that were sent without a grant.
type Report struct {
	Service  string
	Requests int
	Charged  float64
}

// Ledger holds the buckets of all services whose budget one control process keeps.
type Ledger struct {
	allowance Allowance
	buckets   map[string]Bucket
}

// NewLedger returns a ledger with empty buckets, which grants within allowance for each service.
func NewLedger(allowance Allowance) *Ledger {
	return &Ledger{allowance: allowance, buckets: make(map[string]Bucket)}
}

// Apply records a node's report at now.
func (l *Ledger) Apply(now time.Time, report Report) {
	bucket := l.buckets[report.Service].WithRequests(now, l.allowance, max(report.Requests, 0))
	l.buckets[report.Service] = bucket.WithCharge(l.allowance, max(report.Charged, 0))
}

// Acquire takes a token for an extra attempt of service at now and reports whether there was one.
func (l *Ledger) Acquire(now time.Time, service string) bool {
	bucket, granted := l.buckets[service].Acquire(now, l.allowance)
	l.buckets[service] = bucket
	return granted
}

// Level returns the tokens of service at its last update. It is negative if more attempts were charged than granted.
func (l *Ledger) Level(service string) float64 { return l.buckets[service].level }
