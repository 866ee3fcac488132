package jobcontrol

// SetLatestToken sets the highest fencing token that this ownership may use: it is above all earlier ones of the ownership, and below those of its successors.
func (ct *Controller) SetLatestToken(token int64) { ct.latestToken = token }

// TokenOf returns the fencing token of calls to a VM. A call with a lower one was made for an earlier incarnation of the VM. For a VM that was forgotten it returns the one that it would get.
func (ct *Controller) TokenOf(id string) int64 {
	vm, ok := ct.vms[id]
	if !ok {
		return max(ct.token, ct.latestToken)
	}
	return ct.tokenOf(vm)
}

func (ct *Controller) tokenOf(vm *vmState) int64 { return max(ct.token, vm.token) }

// raiseToken asks for a higher fencing token for the calls to a VM that has started again: its new incarnation has seen none, so that it would execute unanswered calls which were made for the one before.
func (ct *Controller) raiseToken(vm *vmState) {
	vm.tokenDue = true
	ct.grantToken(vm)
}

// grantToken gives a VM a higher token if it needs one, and reports whether it may be called: the next commit brings one.
func (ct *Controller) grantToken(vm *vmState) bool {
	if !vm.tokenDue || ct.latestToken == 0 {
		return true
	}
	if ct.latestToken <= ct.tokenOf(vm) {
		return false
	}
	vm.token, vm.tokenDue = ct.latestToken, false
	return true
}
