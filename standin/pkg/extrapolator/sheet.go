package extrapolator

import (
	"bufio"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// WriteSheet writes a sheet in CSV format of the size that the fleet is designed for, with one key for each workspace.
func WriteSheet(out io.Writer) error {
	writer := bufio.NewWriter(out)
	_, _ = fmt.Fprintln(writer, "kind,name,rate,burst,weight,keys,prefix,service,milliseconds,floor")
	for i := range designServices {
		_, _ = fmt.Fprintf(writer, "service,%s,,,,,,,,20\n", serviceName(i))
	}
	for i := range designWorkspaces {
		_, _ = fmt.Fprintf(writer, "workspace,workspace-%06d,20,40,1,1,,,,\n", i)
	}
	for i := range designRoutes {
		_, _ = fmt.Fprintf(writer, "route,route-%05d,,,,,/service/%03d/part/%05d,%s,10000,\n", i, i%designServices, i, serviceName(i))
	}
	return errors.Wrap(writer.Flush(), "write sheet")
}
