package jobcontrol

import "github.com/fulmarloft/fulmarloft/internal/pb/workpb"

// proof says why a run counts as over though its VM hasn't listed its end.
type proof string

const (
	proofLeaseExpired  proof = "lease-expired"
	proofMachineEnded  proof = "machine-ended"
	proofMachineDown   proof = "machine-down"
	proofOtherVM       proof = "another-vm-at-its-address"
	proofEarlierFenced proof = "earlier-owner-fenced"
)

// giveUpRun ends a run on a proof other than its VM's word. The line holds what tells a sound proof from one that doesn't hold.
func (ct *Controller) giveUpRun(rn *run, why proof) {
	vm, nowMS := rn.vm, ct.ck.Now()
	ct.lg.Warn("run-given-up", "vm", vm.id, "task", rn.key.task, "run", rn.key.run, "proof", string(why), "token", rn.token,
		"age-ms", nowMS-rn.startedMS, "silent-ms", nowMS-max(vm.answeredMS, vm.firstSeenMS), "lease-over-ms", nowMS-vm.leaseUntilMS, "born", vm.incarnation())
	ct.endRun(rn, workpb.End_END_LEASE_EXPIRED, "")
}
