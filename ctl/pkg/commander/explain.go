package commander

import (
	"strings"

	"github.com/cockroachdb/errors"

	"samphiremount.example/ctl/pkg/client"
)

const clockFormat = "15:04:05.000000"

type explain struct {
	*cli `no-flag:"true"`

	Arguments struct {
		ID string `positional-arg-name:"ID" required:"yes" description:"Value of the header Samphire-Request of an answer"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explain) Execute([]string) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	var found client.Explanation
	err = c.withProgress("asking nodes", func() error {
		found, err = api.Explain(c.ctx, c.Arguments.ID)
		return err
	})
	if err != nil {
		return err
	}
	if err := c.show(found, func() error { return c.printExplanation(found) }); err != nil {
		return err
	}
	if len(found.Decisions) == 0 {
		return errors.New("no node that answered has a record of the request: nodes keep only their newest decisions")
	}
	return nil
}

func (c *explain) printExplanation(found client.Explanation) error {
	var rows [][]string
	for _, decision := range found.Decisions {
		var details []string
		for _, detail := range decision.Details {
			details = append(details, detail.Name+"="+detail.Value)
		}
		rows = append(rows, []string{
			decision.Time.UTC().Format(clockFormat), decision.Node, decision.Message, strings.Join(details, " "),
		})
	}
	err := c.table("TIME NODE DECISION DETAILS", rows)
	if len(found.Silent) > 0 {
		err = c.print("no answer from: %s\n", strings.Join(found.Silent, ", "))
	}
	return err
}
