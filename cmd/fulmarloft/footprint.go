package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/fulmarloft/fulmarloft/internal/testbed/footprint"
)

// compareFootprint prints the resource use per entry of idle fleets of increasing size.
func compareFootprint(idleMS int64) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "entries\tfurther VMs\tcore per entry\theap KB per entry\ttable reads/s per entry\ttable writes/s per entry\tpeer bytes/s per entry\t")
	for _, size := range []struct{ entries, vms int }{{3, 0}, {8, 0}, {24, 0}, {8, 500}, {8, 2000}, {8, 8000}} {
		fp, err := footprint.New(context.Background(), size.entries, size.vms, idleMS)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(tw, "%d\t%d\t%.4f\t%.0f\t%.2f\t%.2f\t%.0f\t\n",
			fp.Entries(), fp.VMs(), fp.CPU(), fp.HeapKB(), fp.Reads(), fp.Writes(), fp.PeerBytes())
	}
	return tw.Flush()
}
