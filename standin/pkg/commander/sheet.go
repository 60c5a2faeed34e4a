package commander

import (
	"io"

	"samphiremount.example/standin/pkg/sloper"
)

type sheet struct {
	out io.Writer
}

// Execute implements flags.Commander.
func (c *sheet) Execute([]string) error {
	return sloper.WriteSheet(c.out)
}
