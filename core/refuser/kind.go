// Package refuser defines the closed list of error kinds and the table that maps each kind to the answer for the
// caller.
package refuser

// Kind is a reason for which the fleet refuses or fails a request. The list is closed: every Kind has a row in the
// table of answers.
type Kind string

// The kinds, in the order of the steps at which a request can fail.
const (
	RequestInvalid     Kind = "request-invalid"
	HeadTooLarge       Kind = "head-too-large"
	BodyTooLarge       Kind = "body-too-large"
	UpgradeUnsupported Kind = "upgrade-unsupported"
	RouteUnknown       Kind = "route-unknown"
	KeyMissing         Kind = "key-missing"
	KeyRepeated        Kind = "key-repeated"
	KeyUnknown         Kind = "key-unknown"
	KeyWithdrawn       Kind = "key-withdrawn"
	ConfigurationStale Kind = "configuration-stale"
	RateExceeded       Kind = "rate-exceeded"
	AllowanceShort     Kind = "allowance-short"
	Quarantined        Kind = "quarantined"
	InProgress         Kind = "in-progress"
	CapacityShort      Kind = "capacity-short"
	CallShort          Kind = "call-short"
	TargetUnknown      Kind = "target-unknown"
	TargetLimited      Kind = "target-limited"
	TargetSuspect      Kind = "target-suspect"
	TargetDeclined     Kind = "target-declined"
	TargetUnreachable  Kind = "target-unreachable"
	NodeUnreachable    Kind = "node-unreachable"
	NodeStopping       Kind = "node-stopping"
	BodyCut            Kind = "body-cut"
	BodyStalled        Kind = "body-stalled"
	DeadlinePassed     Kind = "deadline-passed"
	AnswerCut          Kind = "answer-cut"
	OutcomeUnknown     Kind = "outcome-unknown"
	ChangeInvalid      Kind = "change-invalid"
	ChangeConflict     Kind = "change-conflict"
	LeaderUnknown      Kind = "leader-unknown"
	OperatorUnknown    Kind = "operator-unknown"
	Internal           Kind = "internal"
)

// Answer is the answer to a caller for a Kind: the HTTP status, a message, and whether the same request may succeed if
// it is retried later.
type Answer struct {
	Status    int
	Message   string
	Retryable bool
}
