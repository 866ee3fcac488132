package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/machines/maintenancerate"
	"github.com/fulmarloft/fulmarloft/internal/testbed/zonemodel"
)

func compareCommands(app *kingpin.Application) []command {
	cm := app.Command("compare", "Evaluate strategies on models of the fleet.")
	sl := cm.Command("slots", "Compare strategies for sharing the endpoints' slots among the entries of a zone.")
	seed := sl.Flag("seed", "Seed of the simulation.").Default("1").Uint64()
	al := cm.Command("allot", "Compare methods of apportioning whole units by weight.")
	apportionSeed := al.Flag("seed", "Seed of the random weights.").Default("1").Uint64()
	ft := cm.Command("footprint", "Measure the resource use of idle fleets of increasing size.")
	idle := ft.Flag("idle-ms", "How long each fleet is measured, in milliseconds.").Default("8000").Int64()
	pc := cm.Command("pace", "Calculate how many VMs must be in maintenance in parallel for every VM to be maintained within six weeks.")
	vms := pc.Flag("vms", "Number of VMs.").Default("22000").Int()
	pools := pc.Flag("pools", "Number of pools.").Default("306").Int()
	perVM := pc.Flag("per-vm-ms", "Duration of the maintenance of one VM, in milliseconds.").Default("900000").Int64()
	usable := pc.Flag("usable", "Fraction of the time in which waves may run.").Default("0.5").Float64()
	return []command{
		{pc.FullCommand(), func() error { return compareMaintenanceRate(*vms, *pools, *perVM, *usable) }},
		{ft.FullCommand(), func() error { return compareFootprint(*idle) }},
		{sl.FullCommand(), func() error { return compareSlots(*seed) }},
		{al.FullCommand(), func() error { return compareApportioning(*apportionSeed) }},
	}
}

const compareDurationMS = 20_000

func compareSlots(seed uint64) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "endpoints\tload\tstrategy\twait p50 ms\twait p99 ms\trefused for full slots\tshare error\tgoodput\t")
	for _, kind := range []struct {
		name          string
		slow, failing bool
	}{{"healthy", false, false}, {"one slow", true, false}, {"one failing", false, true}} {
		for _, load := range []float64{0.5, 0.95, 2, 5} {
			for _, strategy := range []string{zonemodel.Uncoordinated, zonemodel.Partitioned, zonemodel.PartitionedProbing, zonemodel.HomeEntry} {
				md := zonemodel.New(strategy, load, kind.slow, kind.failing, seed)
				md.Run(compareDurationMS)
				_, _ = fmt.Fprintf(tw, "%s\t%.2f\t%s\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t\n", kind.name, load, strategy,
					md.WaitMS(50), md.WaitMS(99), md.RefusedFraction(), md.ShareError(), md.Goodput(compareDurationMS))
			}
		}
	}
	return tw.Flush()
}

// compareMaintenanceRate prints how many VMs must be in maintenance in parallel for every VM to be maintained within six weeks.
func compareMaintenanceRate(vms, pools int, perVMMS int64, usable float64) error {
	rt, err := maintenancerate.New(vms, pools, perVMMS, maintenancerate.SixWeeksMS, usable)
	if err != nil {
		return err
	}
	fmt.Printf("at-once=%d at-once-per-pool=%d writes-per-second=%.3f one-at-a-time-fits=%t\n", rt.Parallel(), rt.ParallelPerPool(), rt.WritesPerSecond(), rt.Fits(1))
	return nil
}
