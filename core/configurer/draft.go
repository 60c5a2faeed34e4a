package configurer

import "samphiremount.example/core/refuser"

// draft is a copy of a configuration to which a batch is being applied.
type draft struct {
	base        Configuration
	revision    uint64
	removed     bool
	documents   *editor[Document]
	workspaces  *editor[Workspace]
	keys        *editor[Key]
	routes      *editor[Route]
	services    *editor[Service]
	evacuations *editor[Evacuation]
	lenders     versioned[Lenders]
}

func newDraft(base Configuration, revision uint64) *draft {
	return &draft{
		base: base, revision: revision, workspaces: base.workspaces.edit(), keys: base.keys.edit(),
		routes: base.routes.edit(), services: base.services.edit(), documents: base.documents.edit(),
		evacuations: base.evacuations.edit(), lenders: base.lenders,
	}
}

func (d *draft) build(version uint64) Configuration {
	next := d.base
	next.version = version
	if d.removed {
		next.lastRemoval = version
	}
	next.workspaces, next.keys = d.workspaces.build(), d.keys.build()
	next.routes, next.services, next.documents = d.routes.build(), d.services.build(), d.documents.build()
	next.evacuations = d.evacuations.build()
	next.lenders = d.lenders
	return next
}

func (d *draft) apply(change Change) error {
	switch change := change.(type) {
	case PutWorkspace:
		d.workspaces.put(change.Workspace, d.revision)
	case PutRoute:
		d.routes.put(change.Route, d.revision)
	case PutService:
		d.services.put(change.Service, d.revision)
	case IssueKey:
		return d.issue(change.Key)
	case WithdrawKey:
		d.withdraw(change.ID)
	case PutDocument:
		d.documents.put(change.Document, d.revision)
	case Evacuate:
		d.evacuations.put(change.Evacuation, d.revision)
	case WithdrawEvacuation:
		// It counts as no removal, with which changes that are based on an earlier version would conflict.
		d.evacuations.remove(change.Centre)
	case PutLenders:
		d.lenders = versioned[Lenders]{change.Lenders, d.revision}
	case RemoveWorkspace, RemoveRoute, RemoveService, RemoveKey, RemoveDocument:
		d.remove(change)
	}
	return nil
}

func (d *draft) remove(change Change) {
	d.removed = true
	switch change := change.(type) {
	case RemoveWorkspace:
		d.workspaces.remove(change.Name)
	case RemoveRoute:
		d.routes.remove(change.Name)
	case RemoveService:
		d.services.remove(change.Name)
	case RemoveKey:
		d.keys.remove(change.ID)
	case RemoveDocument:
		d.documents.remove(change.Name)
	case PutWorkspace, PutRoute, PutService, IssueKey, WithdrawKey, PutDocument, Evacuate, WithdrawEvacuation, PutLenders:
	}
}

// issue adds or replaces a key. A withdrawn key stays withdrawn, even if the withdrawal arrived before the key itself.
func (d *draft) issue(key Key) error {
	old, ok := d.keys.get(key.ID)
	if ok && old.value.Digest != key.Digest && !old.value.Withdrawn {
		return refuser.Refuse(refuser.ChangeInvalid, "key "+key.ID+" exists with another digest")
	}
	key.Withdrawn = key.Withdrawn || old.value.Withdrawn
	// The key shares the workspace's copy of its name, to save memory.
	if workspace, ok := d.workspaces.get(key.Workspace); ok {
		key.Workspace = workspace.value.Name
	}
	d.keys.put(key, d.revision)
	return nil
}

func (d *draft) withdraw(id string) {
	old, _ := d.keys.get(id)
	old.value.ID = id
	old.value.Withdrawn = true
	d.keys.put(old.value, d.revision)
}
