package maintenancerate

import "github.com/fulmarloft/fulmarloft/pkg/code"

// Rate is the speed at which a fleet is maintained.
type Rate struct {
	vms            int
	pools          int
	perVMMS        int64
	periodMS       int64
	usableFraction float64
}

// SixWeeksMS is the period of six weeks within which every VM is to be maintained, in milliseconds.
const SixWeeksMS = 6 * 7 * 24 * 3600 * 1000

// writesPerVM is the number of table writes per maintained VM: drain, reboot, return, serve.
const writesPerVM = 4

// New returns the rate for a fleet whose largest pool holds at most twice the mean number of VMs per pool; one VM takes perVMMS, and waves may run during usableFraction of the period.
func New(vms, pools int, perVMMS, periodMS int64, usableFraction float64) (*Rate, error) {
	if vms < 0 || pools < 1 || perVMMS <= 0 || periodMS <= 0 || usableFraction <= 0 || usableFraction > 1 {
		return nil, code.SettingsInvalid.New("maintenance rate: expected 0 or more VMs, 1 or more pools, times above 0 ms and a usable fraction above 0 and at most 1, got %d VMs, %d pools, %d ms per VM, a period of %d ms and a fraction of %v",
			vms, pools, perVMMS, periodMS, usableFraction)
	}
	return &Rate{vms: vms, pools: pools, perVMMS: perVMMS, periodMS: periodMS, usableFraction: usableFraction}, nil
}

// Parallel returns how many VMs of the whole fleet must be in maintenance in parallel.
func (rt *Rate) Parallel() int {
	work := float64(rt.vms) * float64(rt.perVMMS)
	available := float64(rt.periodMS) * rt.usableFraction
	return ceil(work / available)
}

// ParallelPerPool returns how many VMs of the largest pool must be in maintenance in parallel.
func (rt *Rate) ParallelPerPool() int {
	largest := ceil(2 * float64(rt.vms) / float64(rt.pools))
	return ceil(float64(largest) * float64(rt.perVMMS) / (float64(rt.periodMS) * rt.usableFraction))
}

// NeededMS returns how long the largest pool takes with the given number of VMs in maintenance in parallel, including the time in which waves may not run.
func (rt *Rate) NeededMS(parallel int) int64 {
	largest := ceil(2 * float64(rt.vms) / float64(rt.pools))
	rounds := ceil(float64(largest) / float64(max(parallel, 1)))
	return int64(float64(int64(rounds)*rt.perVMMS) / rt.usableFraction)
}

// Fits reports whether every VM is maintained within the period with the given number of VMs per pool in maintenance in parallel.
func (rt *Rate) Fits(parallel int) bool { return rt.NeededMS(parallel) <= rt.periodMS }

// WritesPerSecond returns the rate of table writes that the maintenance causes.
func (rt *Rate) WritesPerSecond() float64 {
	return float64(rt.vms) * writesPerVM * 1000 / (float64(rt.periodMS) * rt.usableFraction)
}

func ceil(val float64) int {
	whole := int(val)
	if float64(whole) < val {
		whole++
	}
	return whole
}
