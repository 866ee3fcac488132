package pace

import "github.com/fulmarloft/fulmarloft/pkg/code"

// Pace is the speed of maintenance over a fleet.
type Pace struct {
	vms      int
	pools    int
	perVMMS  int64
	periodMS int64
	usable   float64
}

// SixWeeksMS is the period within which every VM is to be maintained, in milliseconds.
const SixWeeksMS = 6 * 7 * 24 * 3600 * 1000

// writesPerVM is how many table writes the maintenance of one VM takes: drain, reboot, return, serve.
const writesPerVM = 4

// New returns the pace for a number of VMs in a number of pools of which the largest holds no more than its even part times two, when one VM takes perVMMS and waves may go on during the usable part of the period.
func New(vms, pools int, perVMMS, periodMS int64, usable float64) (*Pace, error) {
	if vms < 0 || pools < 1 || perVMMS <= 0 || periodMS <= 0 || usable <= 0 || usable > 1 {
		return nil, code.SettingsInvalid.New("pace: expected VMs, pools, times above 0 and a usable part of up to 1")
	}
	return &Pace{vms: vms, pools: pools, perVMMS: perVMMS, periodMS: periodMS, usable: usable}, nil
}

// Parallel returns how many VMs must be under way at once over the whole fleet.
func (pc *Pace) Parallel() int {
	work := float64(pc.vms) * float64(pc.perVMMS)
	have := float64(pc.periodMS) * pc.usable
	return ceil(work / have)
}

// ParallelPerPool returns how many VMs of one pool must be under way at once.
func (pc *Pace) ParallelPerPool() int {
	largest := ceil(2 * float64(pc.vms) / float64(pc.pools))
	return ceil(float64(largest) * float64(pc.perVMMS) / (float64(pc.periodMS) * pc.usable))
}

// NeededMS returns how long the largest pool takes with so many VMs under way at once, halts included.
func (pc *Pace) NeededMS(parallel int) int64 {
	largest := ceil(2 * float64(pc.vms) / float64(pc.pools))
	rounds := ceil(float64(largest) / float64(max(parallel, 1)))
	return int64(float64(int64(rounds)*pc.perVMMS) / pc.usable)
}

// Fits reports whether every VM is maintained within the period with so many VMs of a pool under way at once.
func (pc *Pace) Fits(parallel int) bool { return pc.NeededMS(parallel) <= pc.periodMS }

// WritesPerSecond returns the table writes a second that the pace costs.
func (pc *Pace) WritesPerSecond() float64 {
	return float64(pc.vms) * writesPerVM * 1000 / (float64(pc.periodMS) * pc.usable)
}

func ceil(val float64) int {
	whole := int(val)
	if float64(whole) < val {
		whole++
	}
	return whole
}
