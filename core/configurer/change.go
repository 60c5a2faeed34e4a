package configurer

// Change is one step of a batch: PutWorkspace, RemoveWorkspace, PutRoute, RemoveRoute, PutService, RemoveService,
// IssueKey, WithdrawKey, RemoveKey, PutDocument, RemoveDocument, Evacuate, WithdrawEvacuation or PutLenders.
type Change interface {
	change()
}

// PutWorkspace creates or replaces a workspace.
type PutWorkspace struct{ Workspace Workspace }

// RemoveWorkspace removes a workspace that has no key in force.
type RemoveWorkspace struct{ Name string }

// PutRoute creates or replaces a route.
type PutRoute struct{ Route Route }

// RemoveRoute removes a route.
type RemoveRoute struct{ Name string }

// PutService creates or replaces a service.
type PutService struct{ Service Service }

// RemoveService removes a service that no route names.
type RemoveService struct{ Name string }

// IssueKey puts a key in force.
type IssueKey struct{ Key Key }

// WithdrawKey withdraws a key permanently. Withdrawing a key twice, or before it is known, is allowed.
type WithdrawKey struct{ ID string }

// RemoveKey removes a key. Unlike a withdrawn key, it may be issued again.
type RemoveKey struct{ ID string }

// PutDocument creates or replaces a document.
type PutDocument struct{ Document Document }

// RemoveDocument removes a document.
type RemoveDocument struct{ Name string }

// Evacuate puts an evacuation in force. Evacuating a data centre twice, or one where no process runs, is allowed.
type Evacuate struct{ Evacuation Evacuation }

// WithdrawEvacuation withdraws the evacuation of a data centre. Without an evacuation it changes nothing.
type WithdrawEvacuation struct{ Centre string }

func (PutWorkspace) change()       {}
func (RemoveWorkspace) change()    {}
func (PutRoute) change()           {}
func (RemoveRoute) change()        {}
func (PutService) change()         {}
func (RemoveService) change()      {}
func (IssueKey) change()           {}
func (WithdrawKey) change()        {}
func (RemoveKey) change()          {}
func (PutDocument) change()        {}
func (RemoveDocument) change()     {}
func (Evacuate) change()           {}
func (WithdrawEvacuation) change() {}

// Batch is a set of changes that apply all together or not at all. Operation identifies the operator's intent, so that
// a resent batch gets its first receipt again. BaseVersion is the version on which the operator based the changes, or 0
// to skip the check for conflicts. Numbering is set by operators who number their configurations themselves.
type Batch struct {
	Operation   string
	BaseVersion uint64
	Changes     []Change
	Numbering   Numbering
}

// Numbering holds an operator's own Number for the configuration that a batch creates, and the number Expected to be in
// force before it. Numbers must increase, by any step. A Number of 0 means that the batch has none.
type Numbering struct {
	Number   uint64
	Expected uint64
}

// Receipt answers an accepted batch. Version is the version that contains it.
type Receipt struct {
	Version uint64
}
