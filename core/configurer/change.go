package configurer

// Change is one step of a batch: PutWorkspace, RemoveWorkspace, PutRoute, RemoveRoute, PutService, RemoveService,
// IssueKey or WithdrawKey.
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

func (PutWorkspace) change()    {}
func (RemoveWorkspace) change() {}
func (PutRoute) change()        {}
func (RemoveRoute) change()     {}
func (PutService) change()      {}
func (RemoveService) change()   {}
func (IssueKey) change()        {}
func (WithdrawKey) change()     {}

// Batch is a set of changes that apply together or not at all. Operation identifies the operator's intent, so that a
// resent batch gets its first receipt again. Base is the version that the operator looked at; 0 states no expectation.
type Batch struct {
	Operation string
	Base      uint64
	Changes   []Change
}

// Receipt answers an accepted batch with the version that contains it.
type Receipt struct {
	Version uint64
}
