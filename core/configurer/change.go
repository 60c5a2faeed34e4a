package configurer

// Change is one step of a batch: PutWorkspace, RemoveWorkspace, PutRoute, RemoveRoute, PutService, RemoveService,
// IssueKey, WithdrawKey, RemoveKey, PutDocument or RemoveDocument.
type Change interface {
	change()
}

// PutWorkspace creates or replaces a workspace.
type PutWorkspace struct{ Workspace Workspace }

// RemoveWorkspace removes a workspace that holds no key in force.
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

// WithdrawKey ends a key for good. Withdrawing twice, or withdrawing a key that is not known yet, is allowed.
type WithdrawKey struct{ ID string }

// RemoveKey takes a key out of force. Unlike a withdrawn key it may be issued again.
type RemoveKey struct{ ID string }

// PutDocument creates or replaces a document.
type PutDocument struct{ Document Document }

// RemoveDocument removes a document.
type RemoveDocument struct{ Name string }

func (PutWorkspace) change()    {}
func (RemoveWorkspace) change() {}
func (PutRoute) change()        {}
func (RemoveRoute) change()     {}
func (PutService) change()      {}
func (RemoveService) change()   {}
func (IssueKey) change()        {}
func (WithdrawKey) change()     {}
func (RemoveKey) change()       {}
func (PutDocument) change()     {}
func (RemoveDocument) change()  {}

// Batch is a set of changes that apply together or not at all. Operation identifies the operator's intent, so that a
// resent batch gets its first receipt again. Base is the version that the operator looked at; 0 states no expectation.
// Numbering is set by operators who number their configurations themselves.
type Batch struct {
	Operation   string
	BaseVersion uint64
	Changes     []Change
	Numbering   Numbering
}

// Numbering is an operator's own number for the configuration that a batch makes, and the number that must be in force
// before it. Numbers grow in steps of any size. A Number of 0 states no numbering.
type Numbering struct {
	Number   uint64
	Expected uint64
}

// Receipt answers an accepted batch with the version that contains it.
type Receipt struct {
	Version uint64
}
