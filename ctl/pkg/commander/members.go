package commander

import (
	"github.com/cockroachdb/errors"

	"samphiremount.example/ctl/pkg/client"
)

type members struct {
	*cli `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *members) Execute([]string) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	var found client.Members
	err = c.withProgress("asking control", func() error {
		found, err = api.Members(c.ctx)
		return err
	})
	if err != nil {
		return err
	}
	return c.showMembers(found)
}

func (c *cli) showMembers(found client.Members) error {
	return c.show(found, func() error {
		var rows [][]string
		for _, member := range found.Members {
			rows = append(rows, []string{member.Name, member.Role, member.Identity})
		}
		err := c.print("leader %s\nterm %d\ncommitted %d\n", orDash(found.Leader), found.Term, found.Commit)
		return errors.CombineErrors(err, c.table("MEMBER ROLE IDENTITY", rows))
	})
}

type membersReplace struct {
	*cli `no-flag:"true"`

	Arguments struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *membersReplace) Execute([]string) error {
	api, err := c.client()
	if err != nil {
		return err
	}
	var found client.Members
	err = c.withProgress("waiting for control to accept", func() error {
		found, err = api.Replace(c.ctx, c.Arguments.Name)
		return err
	})
	if err != nil {
		return err
	}
	return c.showMembers(found)
}
