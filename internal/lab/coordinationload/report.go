package coordinationload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Report holds the measurements of a load test.
type Report struct {
	// Elapsed is the time from the start of the load to the last answer.
	Elapsed time.Duration
	// SyncBefore and SyncAfter are the mean times of a sync of a small record before and after the load. They differ if other work
	// uses the same disk.
	SyncBefore, SyncAfter time.Duration
	// Before and After are the views of the control plane before and after the load.
	Before, After View
	// Unsent is the number of open-loop operations that were not sent because too many were in flight.
	Unsent int
	// LoadBefore and LoadAfter are the one-minute load averages of the machine.
	LoadBefore, LoadAfter string

	tally *tally
}

// View summarizes a view of the control plane.
type View struct {
	// Number increases with each change of the members.
	Number uint64
	// Chain is the number of members that sync each write one after another.
	Chain int
}

// Print writes the table of latencies and the bound that the disk sets for writes.
func (r *Report) Print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "operation\tcalls/s\tp50 ms\tp90 ms\tp99 ms\tmax ms\tfailures by status")
	for _, name := range operations {
		if counts := r.tally.byOperation[name]; counts.isUsed() {
			fmt.Fprintln(table, counts.row(name, r.Elapsed))
		}
	}
	table.Flush()
	if r.Unsent > 0 {
		fmt.Fprintf(out, "%d operations were not sent: too many in flight\n", r.Unsent)
	}
	fmt.Fprintln(out, r.diskBound())
	fmt.Fprintf(out, "load average of the machine: %s before, %s after\n", r.LoadBefore, r.LoadAfter)
}

// diskBound describes the lower bound that the disk sets for the latency of writes.
func (r *Report) diskBound() string {
	inRow := func(syncTime time.Duration) string { return milliseconds(syncTime * time.Duration(r.Before.Chain)) }
	text := fmt.Sprintf("sync of a small record: %s ms on average before the run, %s ms after\n", milliseconds(r.SyncBefore),
		milliseconds(r.SyncAfter))
	text += fmt.Sprintf("a write takes %d in a row, one for each member of the chain: %s ms, or %s ms by the syncs after the run",
		r.Before.Chain, inRow(r.SyncBefore), inRow(r.SyncAfter))
	if r.After != r.Before {
		text += fmt.Sprintf("\nthe view changed in the run: %d to %d, with %d in the chain after it", r.Before.Number, r.After.Number, r.After.Chain)
	}
	return text
}

// isUsed reports whether any call of the operation was recorded.
func (c *counts) isUsed() bool { return c.times.TotalCount() > 0 || len(c.failures) > 0 }

// row formats the line of an operation in the table.
func (c *counts) row(name operation, lasted time.Duration) string {
	quantile := func(percent float64) string {
		return milliseconds(time.Duration(c.times.ValueAtQuantile(percent)) * time.Microsecond)
	}
	perSecond := float64(c.times.TotalCount()) / lasted.Seconds()
	return fmt.Sprintf("%s\t%.1f\t%s\t%s\t%s\t%s\t%s", name, perSecond, quantile(50), quantile(90), quantile(99), quantile(100),
		describeFailures(c.failures))
}

// describeFailures lists statuses with their counts.
func describeFailures(failures map[int]int) string {
	if len(failures) == 0 {
		return "-"
	}
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(failures)) {
		name := fmt.Sprint(status)
		if status == noAnswer {
			name = "no answer"
		}
		parts = append(parts, fmt.Sprintf("%s: %d", name, failures[status]))
	}
	return strings.Join(parts, ", ")
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond))
}
