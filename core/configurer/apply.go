package configurer

import (
	"maps"
	"strings"
	"time"

	"samphiremount.example/core/refuser"
)

const (
	receiptsKept = 4096
	maxLimit     = time.Hour
)

// With returns the configuration after batch. A resent operation returns the configuration unchanged with its first
// receipt. It refuses the whole batch with ChangeConflict if a touched object changed after batch.Base, and with
// ChangeInvalid if the result would break a rule.
func (c Configuration) With(batch Batch) (Configuration, Receipt, error) {
	if receipt, ok := c.Receipt(batch.Operation); ok {
		return c, receipt, nil
	}
	if batch.Operation == "" {
		return c, Receipt{}, refuser.Refuse(refuser.ChangeInvalid, "the batch names no operation")
	}
	if err := c.conflict(batch); err != nil {
		return c, Receipt{}, err
	}
	next := c.clone(batch)
	next.version = c.version + 1
	for _, change := range batch.Changes {
		if err := next.apply(change); err != nil {
			return c, Receipt{}, err
		}
		next.revisions[touched(change)] = next.version
	}
	if err := next.check(batch); err != nil {
		return c, Receipt{}, err
	}
	receipt := Receipt{Version: next.version}
	next.receipts = appendReceipt(c.receipts, operationReceipt{batch.Operation, receipt})
	return next, receipt, nil
}

// At returns the configuration with its version set, for one that was built from a snapshot.
func (c Configuration) At(version uint64) Configuration {
	c.version = version
	return c
}

// FromRecords builds the configuration that a snapshot of records at version describes.
func FromRecords(version uint64, records []Record) (Configuration, error) {
	changes, err := Changes(records)
	if err != nil {
		return Configuration{}, err
	}
	configuration, _, err := Configuration{}.With(Batch{Operation: "snapshot", Changes: changes})
	if err != nil {
		return Configuration{}, err
	}
	configuration.receipts = nil
	return configuration.At(version), nil
}

func (c Configuration) conflict(batch Batch) error {
	if batch.Base == 0 {
		return nil
	}
	for _, change := range batch.Changes {
		object := touched(change)
		if c.revisions[object] > batch.Base {
			return refuser.Refuse(refuser.ChangeConflict, object.kind+" "+object.name+" changed since")
		}
	}
	return nil
}

// clone copies only the maps that the batch writes to; the others are shared between versions.
func (c Configuration) clone(batch Batch) Configuration {
	kinds := make(map[string]bool)
	for _, change := range batch.Changes {
		kinds[touched(change).kind] = true
	}
	next := c
	next.workspaces = cloneIf(kinds[kindWorkspace], c.workspaces)
	next.keys = cloneIf(kinds[kindKey], c.keys)
	next.routes = cloneIf(kinds[kindRoute], c.routes)
	next.services = cloneIf(kinds[kindService], c.services)
	next.revisions = cloneIf(true, c.revisions)
	return next
}

func cloneIf[K comparable, V any](written bool, items map[K]V) map[K]V {
	if !written {
		return items
	}
	if items == nil {
		return make(map[K]V)
	}
	return maps.Clone(items)
}

func touched(change Change) object {
	record := NewRecord(change)
	return object{record.Kind, record.Name}
}

func (c *Configuration) apply(change Change) error {
	switch change := change.(type) {
	case PutWorkspace:
		c.workspaces[change.Workspace.Name] = change.Workspace
	case RemoveWorkspace:
		delete(c.workspaces, change.Name)
	case PutRoute:
		c.routes[change.Route.Name] = change.Route
	case RemoveRoute:
		delete(c.routes, change.Name)
	case PutService:
		c.services[change.Service.Name] = change.Service
	case RemoveService:
		delete(c.services, change.Name)
	case IssueKey:
		return c.issue(change.Key)
	case WithdrawKey:
		key := c.keys[change.ID]
		key.ID = change.ID
		key.Withdrawn = true
		c.keys[change.ID] = key
	}
	return nil
}

// issue never brings a withdrawn key back: a withdrawal that arrived before the key itself wins.
func (c *Configuration) issue(key Key) error {
	old, ok := c.keys[key.ID]
	if ok && old.Digest != key.Digest && !old.Withdrawn {
		return refuser.Refuse(refuser.ChangeInvalid, "key "+key.ID+" exists with another digest")
	}
	key.Withdrawn = key.Withdrawn || old.Withdrawn
	c.keys[key.ID] = key
	return nil
}

func (c Configuration) check(batch Batch) error {
	for _, change := range batch.Changes {
		if err := c.checkChange(change); err != nil {
			return err
		}
	}
	return nil
}

func (c Configuration) checkChange(change Change) error {
	switch change := change.(type) {
	case PutWorkspace:
		return checkWorkspace(change.Workspace)
	case PutRoute:
		return c.checkRoute(change.Route)
	case PutService:
		if change.Service.Name == "" || change.Service.Floor < 0 {
			return invalid("service " + change.Service.Name + " needs a name and a floor of 0 or more")
		}
	case IssueKey:
		if _, ok := c.workspaces[change.Key.Workspace]; !ok && !change.Key.Withdrawn {
			return invalid("key " + change.Key.ID + " names workspace " + change.Key.Workspace + ", which is not there")
		}
	case RemoveWorkspace:
		return c.checkNoKey(change.Name)
	case RemoveService:
		return c.checkNoRoute(change.Name)
	case RemoveRoute, WithdrawKey:
	}
	return nil
}

func checkWorkspace(workspace Workspace) error {
	if workspace.Name == "" || workspace.Rate <= 0 || workspace.Burst < 1 || workspace.Weight < 0 {
		return invalid("workspace " + workspace.Name + " needs a name, a rate above 0 and a burst of 1 or more")
	}
	return nil
}

func (c Configuration) checkRoute(route Route) error {
	if route.Name == "" || !strings.HasPrefix(route.Prefix, "/") {
		return invalid("route " + route.Name + " needs a name and a prefix that starts with /")
	}
	if route.Limit <= 0 || route.Limit > maxLimit {
		return invalid("route " + route.Name + " needs a limit between 1 ms and 1 h")
	}
	if _, ok := c.services[route.Service]; !ok {
		return invalid("route " + route.Name + " names service " + route.Service + ", which is not there")
	}
	return nil
}

func (c Configuration) checkNoKey(workspace string) error {
	for _, key := range c.keys {
		if key.Workspace == workspace && !key.Withdrawn {
			return invalid("workspace " + workspace + " still has key " + key.ID)
		}
	}
	return nil
}

func (c Configuration) checkNoRoute(service string) error {
	for _, route := range c.routes {
		if route.Service == service {
			return invalid("service " + service + " still has route " + route.Name)
		}
	}
	return nil
}

func invalid(detail string) error {
	return refuser.Refuse(refuser.ChangeInvalid, detail)
}

func appendReceipt(past []operationReceipt, added operationReceipt) []operationReceipt {
	keep := past[max(0, len(past)+1-receiptsKept):]
	return append(append(make([]operationReceipt, 0, len(keep)+1), keep...), added)
}
