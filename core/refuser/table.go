package refuser

import (
	"maps"
	"net/http"
	"slices"
)

// table holds the answer for each kind: status, message and whether a retry may succeed.
var table = map[Kind]Answer{
	RequestInvalid:     {http.StatusBadRequest, "the request is malformed", false},
	HeadTooLarge:       {http.StatusRequestHeaderFieldsTooLarge, "the request head is too large", false},
	UpgradeUnsupported: {http.StatusNotImplemented, "connection upgrades are not supported", false},
	RouteUnknown:       {http.StatusNotFound, "no route matches the request", false},
	KeyMissing:         {http.StatusUnauthorized, "the route needs a key", false},
	KeyRepeated:        {http.StatusBadRequest, "the request carries more than one Authorization header", false},
	KeyUnknown:         {http.StatusUnauthorized, "the key is not known", false},
	KeyWithdrawn:       {http.StatusUnauthorized, "the key is withdrawn", false},
	ConfigurationStale: {http.StatusServiceUnavailable, "the node cannot confirm that the key is still valid", true},
	RateExceeded:       {http.StatusTooManyRequests, "the workspace is past its rate", true},
	AllowanceShort:     {http.StatusServiceUnavailable, "the node can get no share of the workspace's rate now", true},
	Quarantined:        {http.StatusUnprocessableEntity, "requests with this content crashed targets", false},
	InProgress:         {http.StatusConflict, "a request with this idempotency key is in progress", true},
	CapacityShort:      {http.StatusServiceUnavailable, "no target has capacity", true},
	CallShort:          {http.StatusServiceUnavailable, "a service that the request calls has no capacity", true},
	TargetUnknown:      {http.StatusServiceUnavailable, "the chosen target is not known to its node", true},
	TargetLimited:      {http.StatusServiceUnavailable, "the target limits the requests that it takes", true},
	TargetSuspect:      {http.StatusServiceUnavailable, "the target fails too many requests at the moment", true},
	TargetDeclined:     {http.StatusServiceUnavailable, "the target declined the request", true},
	TargetUnreachable:  {http.StatusBadGateway, "the target accepts no connection", true},
	NodeUnreachable:    {http.StatusBadGateway, "the node beside the target cannot be reached", true},
	NodeStopping:       {http.StatusServiceUnavailable, "the node is stopping", true},
	BodyStalled:        {http.StatusRequestTimeout, "the request body stopped arriving", true},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, "the request body is too large", false},
	BodyCut:            {http.StatusBadRequest, "the request body ended early", false},
	DeadlinePassed:     {http.StatusGatewayTimeout, "the deadline passed", true},
	AnswerCut:          {http.StatusBadGateway, "the answer ended early", true},
	OutcomeUnknown:     {http.StatusGatewayTimeout, "whether the request ran is not known", false},
	ChangeInvalid:      {http.StatusUnprocessableEntity, "the change is not valid", false},
	ChangeConflict:     {http.StatusConflict, "the change builds on a version that is no longer current", false},
	LeaderUnknown:      {http.StatusServiceUnavailable, "no leader can accept the change now", true},
	OperatorUnknown:    {http.StatusUnauthorized, "the operator token is not valid", false},
	Internal:           {http.StatusInternalServerError, "the fleet failed to handle the request", true},
}

// Kinds returns every kind in alphabetical order.
func Kinds() []Kind {
	return slices.Sorted(maps.Keys(table))
}

// Answer returns the answer for the kind. For a kind that is not in the list, such as one of a newer process, it is
// that of Internal.
func (k Kind) Answer() Answer {
	answer, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return answer
}
