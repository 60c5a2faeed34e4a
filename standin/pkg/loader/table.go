package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Print writes a table with a row for each step: the counts of its outcomes, and the p50 and p99 latencies of its
// served requests in milliseconds, sent directly to a target and through the fleet, and the difference.
func Print(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "step\tsent\tserved\trefused or failed\tok\tdirect p50/p99 ms\tthrough p50/p99 ms\tadded p50/p99 ms")
	for _, result := range results {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%t", result.Step.Name, result.Step.Count, result.Counts[outcomeServed],
			formatFailures(result.Counts), result.OK())
		if result.Direct.TotalCount() == 0 {
			_, _ = fmt.Fprintln(table, "\t-\t-\t-")
			continue
		}
		for _, histogram := range []interface{ ValueAtQuantile(q float64) int64 }{
			result.Direct, result.Proxied, result.Overhead,
		} {
			_, _ = fmt.Fprintf(table, "\t%.2f/%.2f", millis(histogram.ValueAtQuantile(50)),
				millis(histogram.ValueAtQuantile(99)))
		}
		_, _ = fmt.Fprintln(table)
	}
	return errors.Wrap(table.Flush(), "print table")
}

// formatFailures lists the outcomes other than served with their counts, or returns "-" if there are none.
func formatFailures(counts map[string]int) string {
	var parts []string
	for _, outcome := range slices.Sorted(maps.Keys(counts)) {
		if outcome != outcomeServed {
			parts = append(parts, fmt.Sprintf("%s %d", outcome, counts[outcome]))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

func millis(micros int64) float64 {
	return float64(micros) / 1000
}
