package configurer

// Configuration is one version of everything that operators set. It is immutable: With returns the next version. The
// zero value is the empty configuration at version 0. number is the operators' own number of the version; lastRemoval
// is the version that last removed an object.
type Configuration struct {
	version     uint64
	number      uint64
	lastRemoval uint64
	documents   shards[Document]
	workspaces  shards[Workspace]
	keys        shards[Key]
	routes      shards[Route]
	services    shards[Service]
	evacuations shards[Evacuation]
	lenders     versioned[Lenders]
	receipts    []OperationReceipt
}

// OperationReceipt records the version that an operation created, in case the operator resends it.
type OperationReceipt struct {
	Operation string `cbor:"1,keyasint" json:"operation"`
	Version   uint64 `cbor:"2,keyasint" json:"version"`
}

// Version returns the number of batches that led to this configuration.
func (c Configuration) Version() uint64 { return c.version }

// Number returns the operators' own number of the configuration, or 0 if they never set one.
func (c Configuration) Number() uint64 { return c.number }

// WithVersion returns the configuration with its version set to version.
func (c Configuration) WithVersion(version uint64) Configuration {
	c.version = version
	return c
}

// Workspace returns the workspace called name.
func (c Configuration) Workspace(name string) (Workspace, bool) { return find(c.workspaces, name) }

// Key returns the key with identifier id.
func (c Configuration) Key(id string) (Key, bool) { return find(c.keys, id) }

// Route returns the route called name.
func (c Configuration) Route(name string) (Route, bool) { return find(c.routes, name) }

// SameRoutes reports whether no change between c and other touched a route. If it returns false, the routes may still
// be equal.
func (c Configuration) SameRoutes(other Configuration) bool {
	return c.routes.buckets == other.routes.buckets
}

// Service returns the service called name.
func (c Configuration) Service(name string) (Service, bool) { return find(c.services, name) }

// Evacuated reports whether the data centre called centre is evacuated.
func (c Configuration) Evacuated(centre string) bool {
	_, ok := c.evacuations.get(centre)
	return ok
}

// AnyEvacuated reports whether any data centre is evacuated.
func (c Configuration) AnyEvacuated() bool { return c.evacuations.len() > 0 }

// Evacuations returns all evacuations, sorted by data centre.
func (c Configuration) Evacuations() []Evacuation { return values(c.evacuations) }

// Document returns the document called name.
func (c Configuration) Document(name string) (Document, bool) { return find(c.documents, name) }

// Documents returns all documents, sorted by name.
func (c Configuration) Documents() []Document { return values(c.documents) }

// WithoutDocuments returns the configuration without its documents, which nodes do not need.
func (c Configuration) WithoutDocuments() Configuration {
	c.documents = shards[Document]{}
	return c
}

// Workspaces returns all workspaces, sorted by name.
func (c Configuration) Workspaces() []Workspace { return values(c.workspaces) }

// Keys returns all keys, sorted by identifier.
func (c Configuration) Keys() []Key { return values(c.keys) }

// Routes returns all routes, sorted by name.
func (c Configuration) Routes() []Route { return values(c.routes) }

// Services returns all services, sorted by name.
func (c Configuration) Services() []Service { return values(c.services) }

// Receipt returns the receipt of operation, if it was accepted and its receipt is still kept.
func (c Configuration) Receipt(operation string) (Receipt, bool) {
	for _, past := range c.receipts {
		if past.Operation == operation {
			return Receipt{Version: past.Version}, true
		}
	}
	return Receipt{}, false
}

// objects returns the number of all objects.
func (c Configuration) objects() int {
	return c.services.len() + c.workspaces.len() + c.routes.len() + c.keys.len() + c.documents.len() + c.evacuations.len()
}

// Records returns the changes that create the configuration from an empty one.
func (c Configuration) Records() []Record {
	records := append(make([]Record, 0, c.objects()+1), c.lenderRecords()...)
	records = appendRecords(records, c.documents, func(d Document) Change { return PutDocument{d} })
	records = appendRecords(records, c.services, func(s Service) Change { return PutService{s} })
	records = appendRecords(records, c.workspaces, func(w Workspace) Change { return PutWorkspace{w} })
	records = appendRecords(records, c.routes, func(r Route) Change { return PutRoute{r} })
	records = appendRecords(records, c.keys, func(k Key) Change { return IssueKey{k} })
	return appendRecords(records, c.evacuations, func(e Evacuation) Change { return Evacuate{e} })
}

func appendRecords[V named](records []Record, objects shards[V], put func(V) Change) []Record {
	for _, object := range objects.sorted() {
		record := NewRecord(put(object.value))
		record.Revision = object.revision
		records = append(records, record)
	}
	return records
}

func find[V named](objects shards[V], name string) (V, bool) {
	object, ok := objects.get(name)
	return object.value, ok
}

func values[V named](objects shards[V]) []V {
	sorted := objects.sorted()
	all := make([]V, 0, len(sorted))
	for _, object := range sorted {
		all = append(all, object.value)
	}
	return all
}
