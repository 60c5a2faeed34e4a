package configurer

import (
	"maps"
	"slices"
)

// Configuration is one version of everything that operators set. It is immutable: With returns the next version.
// The zero value is the empty configuration at version 0.
type Configuration struct {
	version    uint64
	workspaces map[string]Workspace
	keys       map[string]Key
	routes     map[string]Route
	services   map[string]Service
	revisions  map[object]uint64
	receipts   []operationReceipt
}

// object identifies one thing that a change touches.
type object struct {
	kind string
	name string
}

// operationReceipt remembers the answer to an operation for as long as an operator may resend it.
type operationReceipt struct {
	operation string
	receipt   Receipt
}

// Version returns the number of batches that made this configuration.
func (c Configuration) Version() uint64 { return c.version }

// Workspace returns the workspace called name.
func (c Configuration) Workspace(name string) (Workspace, bool) {
	workspace, ok := c.workspaces[name]
	return workspace, ok
}

// Key returns the key with the identifier.
func (c Configuration) Key(id string) (Key, bool) {
	key, ok := c.keys[id]
	return key, ok
}

// Service returns the service called name.
func (c Configuration) Service(name string) (Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// Workspaces returns all workspaces, sorted by name.
func (c Configuration) Workspaces() []Workspace { return sorted(c.workspaces) }

// Keys returns all keys, sorted by identifier.
func (c Configuration) Keys() []Key { return sorted(c.keys) }

// Routes returns all routes, sorted by name.
func (c Configuration) Routes() []Route { return sorted(c.routes) }

// Services returns all services, sorted by name.
func (c Configuration) Services() []Service { return sorted(c.services) }

// Receipt returns the answer that operation got when it was accepted, if it is still remembered.
func (c Configuration) Receipt(operation string) (Receipt, bool) {
	for _, past := range c.receipts {
		if past.operation == operation {
			return past.receipt, true
		}
	}
	return Receipt{}, false
}

// Records returns the configuration as the changes that build it from nothing.
func (c Configuration) Records() []Record {
	records := make([]Record, 0, len(c.services)+len(c.workspaces)+len(c.routes)+len(c.keys))
	for _, service := range c.Services() {
		records = append(records, NewRecord(PutService{service}))
	}
	for _, workspace := range c.Workspaces() {
		records = append(records, NewRecord(PutWorkspace{workspace}))
	}
	for _, route := range c.Routes() {
		records = append(records, NewRecord(PutRoute{route}))
	}
	for _, key := range c.Keys() {
		records = append(records, NewRecord(IssueKey{key}))
	}
	return records
}

func sorted[T any](items map[string]T) []T {
	values := make([]T, 0, len(items))
	for _, name := range slices.Sorted(maps.Keys(items)) {
		values = append(values, items[name])
	}
	return values
}
