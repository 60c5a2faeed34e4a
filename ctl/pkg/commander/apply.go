package commander

import (
	"crypto/rand"
	"strings"

	"github.com/cockroachdb/errors"

	"samphiremount.example/core/configurer"
	"samphiremount.example/core/refuser"
	"samphiremount.example/ctl/pkg/client"
	"samphiremount.example/ctl/pkg/issuer"
	"samphiremount.example/ctl/pkg/planner"
)

type sheetDiff struct {
	sheetOptions
}

type diffReply struct {
	BaseVersion uint64                `json:"base"`
	Removals    []configurer.Record   `json:"removals"`
	Changes     []configurer.Record   `json:"changes"`
	Keys        []planner.MissingKeys `json:"keys"`
	Dangers     []string              `json:"dangers"`
}

// Execute implements flags.Commander.
func (c *sheetDiff) Execute([]string) error {
	plan, _, err := c.compare()
	if err != nil {
		return err
	}
	reply := diffReply{plan.BaseVersion, plan.Removals, plan.Changes, plan.MissingKeys, plan.Dangers(c.permissions())}
	return c.show(reply, func() error {
		if plan.Empty(c.Remove) {
			return errors.CombineErrors(c.printPlan(plan), c.print("nothing to change\n"))
		}
		return c.printPlan(plan)
	})
}

type sheetApply struct {
	sheetOptions

	KeyFile string `long:"keys" description:"New file for the keys that the sheet asks for, readable by its owner only"`
	Wait    bool   `long:"wait" description:"Wait until the sheet is in force on all nodes"`
}

// Execute implements flags.Commander.
func (c *sheetApply) Execute([]string) error {
	plan, state, err := c.compare()
	if err != nil {
		return err
	}
	if err := c.printPlan(plan); err != nil {
		return err
	}
	if dangers := plan.Dangers(c.permissions()); len(dangers) > 0 {
		return errors.Mark(errors.Newf("nothing was changed: %s", strings.Join(dangers, "; ")), errRefused)
	}
	if plan.Empty(c.Remove) {
		return c.print("nothing to change\n")
	}
	keys, err := c.issueKeys(plan, state)
	if err != nil {
		return err
	}
	records := plan.Records(c.Remove, keys)
	operation, err := planner.OperationID(plan.BaseVersion, records)
	if err != nil {
		return err
	}
	err = c.submit(client.Batch{Operation: operation, BaseVersion: plan.BaseVersion, Changes: records}, c.Wait)
	var refusal *client.Refusal
	if errors.As(err, &refusal) && refusal.Kind == refuser.ChangeConflict {
		return errors.Wrap(err, "nothing was changed; run sheet diff again")
	}
	return err
}

// issueKeys returns the keys that plan needs, after they were written to the key file.
func (c *sheetApply) issueKeys(plan planner.Plan, state planner.State) ([]configurer.Key, error) {
	if len(plan.MissingKeys) == 0 {
		return nil, nil
	}
	if c.KeyFile == "" {
		return nil, errors.Mark(errors.New("the sheet asks for new keys: name a file for them with --keys"), errUsage)
	}
	known := make(map[string]bool)
	for _, record := range state.Records {
		if record.Kind == "key" {
			known[record.Name] = true
		}
	}
	return issuer.Prepare(c.KeyFile, plan.MissingKeys, func(id string) bool { return known[id] }, rand.Reader)
}
