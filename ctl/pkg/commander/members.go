package commander

import (
	"github.com/cockroachdb/errors"

	"samphiremount.example/ctl/pkg/client"
)

type members struct {
	*tool `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *members) Execute([]string) error {
	caller, err := c.operator()
	if err != nil {
		return err
	}
	var found client.Members
	err = c.watch("asking control", func() error {
		found, err = caller.Members(c.ctx)
		return err
	})
	if err != nil {
		return err
	}
	return c.showMembers(found)
}

func (t *tool) showMembers(found client.Members) error {
	return t.show(found, func() error {
		var rows [][]string
		for _, member := range found.Members {
			rows = append(rows, []string{member.Name, member.Role, member.Identity})
		}
		err := t.print("leader %s\nterm %d\ncommitted %d\n", orDash(found.Leader), found.Term, found.Commit)
		return errors.CombineErrors(err, t.table("MEMBER ROLE IDENTITY", rows))
	})
}

type membersReplace struct {
	*tool `no-flag:"true"`

	Arguments struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *membersReplace) Execute([]string) error {
	caller, err := c.operator()
	if err != nil {
		return err
	}
	var found client.Members
	err = c.watch("waiting for control to accept", func() error {
		found, err = caller.Replace(c.ctx, c.Arguments.Name)
		return err
	})
	if err != nil {
		return err
	}
	return c.showMembers(found)
}
