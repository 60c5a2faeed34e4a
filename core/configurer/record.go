package configurer

import (
	"time"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/keyer"
)

// Record is the flat form of a Change, for the operators' API (JSON) and for messages and storage of the fleet (CBOR).
// Revision is the version that last changed the object; it is set only in the records of a whole configuration.
type Record struct {
	Verb          string    `cbor:"1,keyasint" json:"verb"`
	Kind          string    `cbor:"2,keyasint" json:"kind"`
	Name          string    `cbor:"3,keyasint" json:"name"`
	Workspace     string    `cbor:"4,keyasint,omitempty" json:"workspace,omitempty"`
	Rate          PerSecond `cbor:"5,keyasint,omitempty" json:"rate,omitempty"`
	Burst         int       `cbor:"6,keyasint,omitempty" json:"burst,omitempty"`
	Weight        int       `cbor:"7,keyasint,omitempty" json:"weight,omitempty"`
	Digest        []byte    `cbor:"8,keyasint,omitempty" json:"digest,omitempty"`
	Withdrawn     bool      `cbor:"9,keyasint,omitempty" json:"withdrawn,omitempty"`
	Host          string    `cbor:"10,keyasint,omitempty" json:"host,omitempty"`
	Prefix        string    `cbor:"11,keyasint,omitempty" json:"prefix,omitempty"`
	Service       string    `cbor:"12,keyasint,omitempty" json:"service,omitempty"`
	Open          bool      `cbor:"13,keyasint,omitempty" json:"open,omitempty"`
	Repeatable    bool      `cbor:"14,keyasint,omitempty" json:"repeatable,omitempty"`
	TimeoutMillis int64     `cbor:"15,keyasint,omitempty" json:"milliseconds,omitempty"`
	Floor         int       `cbor:"16,keyasint,omitempty" json:"floor,omitempty"`
	Revision      uint64    `cbor:"17,keyasint,omitempty" json:"revision,omitempty"`

	Rank            Rank    `cbor:"18,keyasint,omitempty" json:"rank,omitempty"`
	Splits          []Split `cbor:"19,keyasint,omitempty" json:"splits,omitempty"`
	ObjectiveMillis int64   `cbor:"20,keyasint,omitempty" json:"objective,omitempty"`
	MaxAttempts     int     `cbor:"21,keyasint,omitempty" json:"attempts,omitempty"`
	FloorShare      float64 `cbor:"22,keyasint,omitempty" json:"share,omitempty"`
	MaxConnections  int     `cbor:"23,keyasint,omitempty" json:"connections,omitempty"`
	Text            string  `cbor:"24,keyasint,omitempty" json:"text,omitempty"`
	Upload          bool    `cbor:"25,keyasint,omitempty" json:"upload,omitempty"`

	Regions    []string  `cbor:"26,keyasint,omitempty" json:"regions,omitempty"`
	ColdMillis int64     `cbor:"27,keyasint,omitempty" json:"cold,omitempty"`
	ColdRate   PerSecond `cbor:"28,keyasint,omitempty" json:"coldrate,omitempty"`
}

// MaxRecordBytes bounds the size of a record that is sent to nodes.
const MaxRecordBytes = 1 << 20

// Size returns an upper bound of the encoded size in bytes, as long as no number is negative.
func (r Record) Size() int {
	const fixedBytes, splitBytes, textBytes = 256, 32, 8
	size := fixedBytes + len(r.Verb) + len(r.Kind) + len(r.Name) + len(r.Workspace) + len(r.Digest) + len(r.Host) + len(r.Prefix) +
		len(r.Service) + len(r.Text)
	for _, region := range r.Regions {
		size += textBytes + len(region)
	}
	for _, split := range r.Splits {
		size += splitBytes + len(split.Service)
	}
	return size
}

const (
	verbPut    = "put"
	verbRemove = "remove"
	verbForget = "forget"

	kindWorkspace = "workspace"
	kindRoute     = "route"
	kindService   = "service"
	kindKey       = "key"
	kindDocument  = "document"

	kindEvacuation = "evacuation"
)

// NewRecord returns the flat form of change.
func NewRecord(change Change) Record {
	switch change := change.(type) {
	case PutWorkspace:
		w := change.Workspace
		return Record{
			Verb: verbPut, Kind: kindWorkspace, Name: w.Name, Rate: w.Rate, Burst: w.Burst, Weight: w.Weight, Rank: w.Rank,
			Regions: w.Regions,
		}
	case PutRoute:
		return routeRecord(change.Route)
	case PutService:
		s := change.Service
		return Record{
			Verb: verbPut, Kind: kindService, Name: s.Name, Floor: s.Floor, FloorShare: s.FloorShare, MaxConnections: s.MaxConnections,
			ColdMillis: s.ColdDuration.Milliseconds(), ColdRate: s.ColdRate,
		}
	case IssueKey:
		k := change.Key
		return Record{
			Verb: verbPut, Kind: kindKey, Name: k.ID, Workspace: k.Workspace, Digest: k.Digest[:], Withdrawn: k.Withdrawn,
		}
	case WithdrawKey:
		return Record{Verb: verbRemove, Kind: kindKey, Name: change.ID}
	case RemoveKey:
		return Record{Verb: verbForget, Kind: kindKey, Name: change.ID}
	case PutDocument:
		return Record{Verb: verbPut, Kind: kindDocument, Name: change.Document.Name, Text: change.Document.Text}
	case Evacuate:
		return Record{Verb: verbPut, Kind: kindEvacuation, Name: change.Evacuation.Centre}
	case PutLenders:
		return change.Lenders.record()
	case RemoveWorkspace, RemoveService, RemoveRoute, RemoveDocument, WithdrawEvacuation:
		return removalRecord(change)
	}
	return Record{}
}

// removalRecord returns the flat form of a change that removes an object.
func removalRecord(change Change) Record {
	record := Record{Verb: verbRemove}
	switch change := change.(type) {
	case RemoveWorkspace:
		record.Kind, record.Name = kindWorkspace, change.Name
	case RemoveRoute:
		record.Kind, record.Name = kindRoute, change.Name
	case RemoveService:
		record.Kind, record.Name = kindService, change.Name
	case RemoveDocument:
		record.Kind, record.Name = kindDocument, change.Name
	case WithdrawEvacuation:
		record.Kind, record.Name = kindEvacuation, change.Centre
	case PutWorkspace, PutRoute, PutService, IssueKey, WithdrawKey, RemoveKey, PutDocument, Evacuate, PutLenders:
	}
	return record
}

func routeRecord(r Route) Record {
	return Record{
		Verb: verbPut, Kind: kindRoute, Name: r.Name, Host: r.Host, Prefix: r.Prefix, Service: r.Service,
		Open: r.Open, Repeatable: r.Repeatable, Upload: r.Upload, TimeoutMillis: r.Timeout.Milliseconds(), Splits: r.Splits,
		ObjectiveMillis: r.Objective.Milliseconds(), MaxAttempts: r.MaxAttempts, Rank: r.Rank,
		Regions: r.Regions,
	}
}

func (r Record) route() Route {
	return Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Service: r.Service, Open: r.Open, Repeatable: r.Repeatable, Upload: r.Upload,
		Timeout: time.Duration(r.TimeoutMillis) * time.Millisecond, Splits: r.Splits,
		Objective: time.Duration(r.ObjectiveMillis) * time.Millisecond, MaxAttempts: r.MaxAttempts, Rank: r.Rank,
		Regions: r.Regions,
	}
}

// Change returns the change that the record describes. It fails if the verb or kind is unknown, or if the digest of a
// key does not have the right length.
func (r Record) Change() (Change, error) {
	switch {
	case r.Verb == verbPut:
		return r.put()
	case r.Verb == verbRemove:
		return r.remove()
	case r.Verb == verbForget && r.Kind == kindKey:
		return RemoveKey{r.Name}, nil
	}
	return nil, errors.Newf("no change is called %q %q", r.Verb, r.Kind)
}

func (r Record) put() (Change, error) {
	switch r.Kind {
	case kindWorkspace:
		return PutWorkspace{Workspace{
			Name: r.Name, Rate: r.Rate, Burst: r.Burst, Weight: r.Weight, Rank: r.Rank, Regions: r.Regions,
		}}, nil
	case kindRoute:
		return PutRoute{r.route()}, nil
	case kindService:
		return PutService{Service{
			Name: r.Name, Floor: r.Floor, FloorShare: r.FloorShare, MaxConnections: r.MaxConnections,
			ColdDuration: time.Duration(r.ColdMillis) * time.Millisecond, ColdRate: r.ColdRate,
		}}, nil
	case kindKey:
		if len(r.Digest) != len(keyer.Digest{}) {
			return nil, errors.Newf("key %s: digest has %d bytes", r.Name, len(r.Digest))
		}
		return IssueKey{Key{r.Name, r.Workspace, keyer.Digest(r.Digest), r.Withdrawn}}, nil
	case kindDocument:
		return PutDocument{Document{r.Name, r.Text}}, nil
	case kindEvacuation:
		return Evacuate{Evacuation{r.Name}}, nil
	case kindLenders:
		return r.lenders()
	}
	return nil, errors.Newf("no change is called %q %q", r.Verb, r.Kind)
}

func (r Record) remove() (Change, error) {
	switch r.Kind {
	case kindWorkspace:
		return RemoveWorkspace{r.Name}, nil
	case kindRoute:
		return RemoveRoute{r.Name}, nil
	case kindService:
		return RemoveService{r.Name}, nil
	case kindKey:
		return WithdrawKey{r.Name}, nil
	case kindDocument:
		return RemoveDocument{r.Name}, nil
	case kindEvacuation:
		return WithdrawEvacuation{r.Name}, nil
	}
	return nil, errors.Newf("no change is called %q %q", r.Verb, r.Kind)
}

// NewRecords returns the flat forms of changes.
func NewRecords(changes []Change) []Record {
	records := make([]Record, 0, len(changes))
	for _, change := range changes {
		records = append(records, NewRecord(change))
	}
	return records
}

// Changes returns the changes that records describe, or the first error.
func Changes(records []Record) ([]Change, error) {
	changes := make([]Change, 0, len(records))
	for _, record := range records {
		change, err := record.Change()
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}
