package commander

import (
	"io"

	"samphiremount.example/standin/pkg/extrapolator"
)

// sheet prints a sheet of the size that the fleet is designed for.
type sheet struct {
	out io.Writer
}

// Execute implements flags.Commander.
func (c *sheet) Execute([]string) error {
	return extrapolator.WriteSheet(c.out)
}
