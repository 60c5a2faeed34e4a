package commander

import (
	"io"

	"samphiremount.example/standin/pkg/extrapolator"
)

type sheet struct {
	out io.Writer
}

// Execute implements flags.Commander.
func (c *sheet) Execute([]string) error {
	return extrapolator.WriteSheet(c.out)
}
