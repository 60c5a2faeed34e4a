package configurer

import (
	"math"
	"strconv"
	"strings"
	"time"

	"samphiremount.example/core/refuser"
)

const (
	// maxReceipts bounds the receipts that are kept for operators who resend an operation.
	maxReceipts     = 4096
	maxRouteTimeout = time.Hour
	// MaxNumber bounds bursts, floors, ranks and the like, so that what is computed from them cannot overflow.
	MaxNumber = math.MaxInt32
	// MaxRate bounds rates, in requests per second.
	MaxRate = 1e9
	// MaxColdDuration bounds the time for which a target is cold after it starts.
	MaxColdDuration = 24 * time.Hour
	// maxObjects bounds the objects of a configuration. With more, a snapshot of it could not be decoded.
	maxObjects = 1 << 20
	// maxWeight bounds the weights of a route's services. Their sum does not overflow.
	maxWeight = 1 << 40
)

// With returns the configuration after batch. For an operation that was applied before it returns the configuration
// unchanged with the receipt of the first time. It refuses the whole batch with ChangeConflict if an object in it
// changed after batch.BaseVersion or the number in force is not the expected one, and with ChangeInvalid if the result
// would break a rule.
func (c Configuration) With(batch Batch) (Configuration, Receipt, error) {
	if receipt, ok := c.Receipt(batch.Operation); ok {
		return c, receipt, nil
	}
	if batch.Operation == "" {
		return c, Receipt{}, refuser.Refuse(refuser.ChangeInvalid, "the batch names no operation")
	}
	if err := c.checkNumbering(batch.Numbering); err != nil {
		return c, Receipt{}, err
	}
	if err := c.checkConflict(batch); err != nil {
		return c, Receipt{}, err
	}
	if err := c.checkLenders(batch); err != nil {
		return c, Receipt{}, err
	}
	draft := newDraft(c, c.version+1)
	for _, change := range batch.Changes {
		if err := draft.apply(change); err != nil {
			return c, Receipt{}, err
		}
	}
	next := draft.build(c.version + 1)
	if next.objects() > maxObjects {
		return c, Receipt{}, invalid("the configuration would have too many objects")
	}
	if err := next.check(batch.Changes); err != nil {
		return c, Receipt{}, err
	}
	if batch.Numbering.Number > 0 {
		next.number = batch.Numbering.Number
	}
	next.receipts = appendReceipt(c.receipts, OperationReceipt{batch.Operation, next.version})
	return next, Receipt{Version: next.version}, nil
}

// checkNumbering refuses a batch if the number in force is not the one that it expects, or if its own number is not
// greater than the number in force.
func (c Configuration) checkNumbering(numbering Numbering) error {
	switch {
	case numbering.Number == 0:
		return nil
	case numbering.Expected != c.number:
		return refuser.Refuse(refuser.ChangeConflict, "number "+strconv.FormatUint(c.number, 10)+" is in force")
	case numbering.Number <= c.number:
		return invalid("the number must be above " + strconv.FormatUint(c.number, 10))
	}
	return nil
}

// checkConflict refuses a batch if an object in it changed after batch.BaseVersion. For removed objects only the
// version of the last removal is kept, so a change of an object that does not exist conflicts with any later removal.
func (c Configuration) checkConflict(batch Batch) error {
	if batch.BaseVersion == 0 {
		return nil
	}
	for _, change := range batch.Changes {
		record := NewRecord(change)
		revision, ok := c.revision(record)
		if !ok {
			revision = c.lastRemoval
		}
		if revision > batch.BaseVersion {
			return refuser.Refuse(refuser.ChangeConflict, record.Kind+" "+record.Name+" changed since")
		}
	}
	return nil
}

func (c Configuration) revision(record Record) (uint64, bool) {
	switch record.Kind {
	case kindWorkspace:
		object, ok := c.workspaces.get(record.Name)
		return object.revision, ok
	case kindRoute:
		object, ok := c.routes.get(record.Name)
		return object.revision, ok
	case kindService:
		object, ok := c.services.get(record.Name)
		return object.revision, ok
	case kindDocument:
		object, ok := c.documents.get(record.Name)
		return object.revision, ok
	case kindEvacuation:
		object, ok := c.evacuations.get(record.Name)
		return object.revision, ok
	case kindLenders:
		return c.lenders.revision, c.lenders.value.Epoch > 0
	default:
		object, ok := c.keys.get(record.Name)
		return object.revision, ok
	}
}

func (c Configuration) check(changes []Change) error {
	removed := make(map[string]bool)
	for _, change := range changes {
		if err := c.checkChange(change); err != nil {
			return err
		}
		switch change := change.(type) {
		case RemoveWorkspace:
			removed[change.Name] = true
		case RemoveService:
			removed[change.Name] = true
		case PutWorkspace, PutRoute, RemoveRoute, PutService, IssueKey, WithdrawKey, RemoveKey, PutDocument, RemoveDocument,
			Evacuate, WithdrawEvacuation, PutLenders:
		}
	}
	if len(removed) == 0 {
		return nil
	}
	return c.checkUnused(removed)
}

func (c Configuration) checkChange(change Change) error {
	record := NewRecord(change)
	if record.Kind != kindDocument && record.Size() > MaxRecordBytes {
		return invalid("a " + record.Kind + " has too long texts or too many services")
	}
	switch change := change.(type) {
	case PutWorkspace:
		return checkWorkspace(change.Workspace)
	case PutRoute:
		return c.checkRoute(change.Route)
	case PutService:
		return checkService(change.Service)
	case IssueKey:
		if _, ok := c.Workspace(change.Key.Workspace); !ok && !change.Key.Withdrawn {
			return invalid("key " + change.Key.ID + " names workspace " + change.Key.Workspace + ", which is not there")
		}
	case Evacuate, WithdrawEvacuation:
		if !ValidPlace(record.Name) {
			return invalid("an evacuation needs a data centre with a valid name")
		}
	case RemoveWorkspace, RemoveService, RemoveRoute, WithdrawKey, RemoveKey, PutDocument, RemoveDocument, PutLenders:
	}
	return nil
}

func checkService(service Service) error {
	if service.Name == "" || service.Floor < 0 || service.FloorShare < 0 || service.FloorShare > 1 || service.MaxConnections < 0 {
		return invalid("service " + service.Name + " needs a name, a floor of 0 or more and a floor share from 0 to 1")
	}
	if service.Floor > MaxNumber || service.MaxConnections > MaxNumber {
		return invalid("service " + service.Name + " has a number that is too large")
	}
	if service.ColdDuration < 0 || service.ColdDuration > MaxColdDuration || service.ColdRate < 0 || service.ColdRate > MaxRate {
		return invalid("service " + service.Name + " needs a cold start of up to 24 h and a rate for it of 0 or more")
	}
	return nil
}

// checkUnused refuses the removal of a workspace that has a key in force, and of a service that a route names.
func (c Configuration) checkUnused(removed map[string]bool) error {
	for _, key := range c.Keys() {
		if _, ok := c.Workspace(key.Workspace); !ok && removed[key.Workspace] && !key.Withdrawn {
			return invalid("workspace " + key.Workspace + " still has key " + key.ID)
		}
	}
	for _, route := range c.Routes() {
		for _, service := range route.Services() {
			if _, ok := c.Service(service); !ok && removed[service] {
				return invalid("service " + service + " still has route " + route.Name)
			}
		}
	}
	return nil
}

func checkWorkspace(workspace Workspace) error {
	limited := workspace.Rate > 0 && workspace.Burst >= 1 || workspace.Rate == 0 && workspace.Burst == 0
	if workspace.Name == "" || !limited || workspace.Weight < 0 || workspace.Rank < 0 {
		return invalid("workspace " + workspace.Name + " needs a name, and a rate above 0 and a burst of 1 or more, or neither")
	}
	if workspace.Rate > MaxRate || max(workspace.Burst, workspace.Weight, int(workspace.Rank)) > MaxNumber {
		return invalid("workspace " + workspace.Name + " has a number that is too large")
	}
	if !validRegions(workspace.Regions) {
		return invalid("workspace " + workspace.Name + " has a region without a valid name")
	}
	return nil
}

func (c Configuration) checkRoute(route Route) error {
	if route.Name == "" || !strings.HasPrefix(route.Prefix, "/") {
		return invalid("route " + route.Name + " needs a name and a prefix that starts with /")
	}
	if route.Timeout <= 0 || route.Timeout > maxRouteTimeout {
		return invalid("route " + route.Name + " needs a limit between 1 ms and 1 h")
	}
	if route.MaxAttempts < 0 || route.Objective < 0 || route.Rank < 0 {
		return invalid("route " + route.Name + " has attempts, an objective or a rank below 0")
	}
	if max(route.MaxAttempts, int(route.Rank)) > MaxNumber {
		return invalid("route " + route.Name + " has a number that is too large")
	}
	if route.Repeatable && route.Upload {
		return invalid("route " + route.Name + " is repeatable and for uploads, which run at most once")
	}
	if !validRegions(route.Regions) {
		return invalid("route " + route.Name + " has a region without a valid name")
	}
	return c.checkServices(route)
}

func (c Configuration) checkServices(route Route) error {
	total := 0
	for _, split := range route.Splits {
		if split.Weight < 0 || split.Weight > maxWeight {
			return invalid("route " + route.Name + " has a weight below 0 or one that is too large")
		}
		total += split.Weight
	}
	if len(route.Splits) > 0 && (total == 0 || route.Service != "") {
		return invalid("route " + route.Name + " needs one service, or several with a weight above 0")
	}
	for _, service := range route.Services() {
		if _, ok := c.Service(service); !ok {
			return invalid("route " + route.Name + " names service " + service + ", which is not there")
		}
	}
	return nil
}

func invalid(detail string) error {
	return refuser.Refuse(refuser.ChangeInvalid, detail)
}

func appendReceipt(past []OperationReceipt, added OperationReceipt) []OperationReceipt {
	keep := past[max(0, len(past)+1-maxReceipts):]
	return append(append(make([]OperationReceipt, 0, len(keep)+1), keep...), added)
}
