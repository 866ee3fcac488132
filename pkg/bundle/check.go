package bundle

import "github.com/fulmarloft/fulmarloft/pkg/code"

func (bd *Bundle) check() error {
	sp := bd.spec
	if sp.Format != currentFormat {
		return code.BundleInvalid.New("format: expected %d, got %d", currentFormat, sp.Format)
	}
	if sp.Version == 0 {
		return code.BundleInvalid.New("version: expected 1 or more, got %d", sp.Version)
	}
	if sp.Timing.ConfigLeaseMS <= 0 || sp.Timing.LoanLeaseMS <= 0 || sp.Timing.JobLeaseMS <= 0 || sp.Timing.RequestMemoryMS <= 0 || sp.Timing.BalancerWaitMS < 0 {
		return code.BundleInvalid.New("timing: expected config-lease-ms, loan-lease-ms, job-lease-ms and request-memory-ms above 0 and balancer-wait-ms of 0 or more, got %d, %d, %d, %d and %d",
			sp.Timing.ConfigLeaseMS, sp.Timing.LoanLeaseMS, sp.Timing.JobLeaseMS, sp.Timing.RequestMemoryMS, sp.Timing.BalancerWaitMS)
	}
	if sp.RequiredSignOffs < 1 || sp.RequiredSignOffs > len(sp.Operators) {
		return code.BundleInvalid.New("sign-offs-needed: expected 1 to %d, the number of operators, got %d", len(sp.Operators), sp.RequiredSignOffs)
	}
	for _, step := range []func() error{bd.checkOperators, bd.checkTeams, bd.checkPools, bd.checkServices} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (bd *Bundle) checkOperators() error {
	seen := map[string]bool{}
	for _, op := range bd.spec.Operators {
		if err := op.Check(); err != nil {
			return err
		}
		if err := checkUnique(seen, "operator", op.Name()); err != nil {
			return err
		}
	}
	return nil
}

func (bd *Bundle) checkTeams() error {
	seen := map[string]bool{}
	keys := map[string]bool{}
	// A withdrawn key's id must not be used again, so withdrawn and current ids share one set.
	for _, id := range bd.spec.WithdrawnKeys {
		if err := checkUnique(keys, "withdrawn key", id); err != nil {
			return err
		}
	}
	for _, tm := range bd.spec.Teams {
		if err := tm.Check(); err != nil {
			return err
		}
		if err := checkUnique(seen, "team", tm.Name()); err != nil {
			return err
		}
		for _, ky := range tm.Keys() {
			if err := checkUnique(keys, "key", ky.ID()); err != nil {
				return err
			}
		}
	}
	return nil
}

func (bd *Bundle) checkPools() error {
	seen := map[string]bool{}
	for _, pl := range bd.spec.Pools {
		if err := pl.Check(); err != nil {
			return err
		}
		if err := checkUnique(seen, "pool", pl.Name()); err != nil {
			return err
		}
	}
	return nil
}

func (bd *Bundle) checkServices() error {
	pools := map[string]bool{}
	for _, pl := range bd.spec.Pools {
		pools[pl.Name()] = !pl.IsWorkerPool()
	}
	seen := map[string]bool{}
	for _, sv := range bd.spec.Services {
		if err := sv.Check(); err != nil {
			return err
		}
		if err := checkUnique(seen, "service", sv.Name()); err != nil {
			return err
		}
		if !pools[sv.Pool()] {
			return code.BundleInvalid.New("service %s: endpoint pool %q does not exist", sv.Name(), sv.Pool())
		}
	}
	return nil
}

func checkUnique(seen map[string]bool, kind, name string) error {
	if seen[name] {
		return code.BundleInvalid.New("%s %q appears more than once", kind, name)
	}
	seen[name] = true
	return nil
}
