package commander

import "github.com/jessevdk/go-flags"

type help struct {
	parser *flags.Parser
}

// Execute implements flags.Commander.
func (c *help) Execute([]string) error {
	c.parser.Active = nil
	_, err := c.parser.ParseArgs([]string{"--help"})
	return err
}
