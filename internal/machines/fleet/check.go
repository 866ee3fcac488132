package fleet

import (
	"context"

	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
)

// Check returns a BundleInvalid error if the bundle removes a pool that still has VMs or changes the kind of one.
func (fl *Fleet) Check(ctx context.Context, old, next *bundle.Bundle) error {
	kept := map[string]pool.Pool{}
	for _, pl := range next.Pools() {
		kept[pl.Name()] = pl
	}
	kinds := map[string]bool{}
	if old != nil {
		for _, pl := range old.Pools() {
			kinds[pl.Name()] = pl.IsWorkerPool()
		}
	}
	pools, err := fl.tab.AllPools(ctx)
	if err != nil {
		return err
	}
	for _, mb := range pools {
		if len(mb.Members()) == 0 {
			continue
		}
		pl, ok := kept[mb.Name()]
		if !ok {
			return code.BundleInvalid.New("pool %s still holds %d VMs: move them first", mb.Name(), len(mb.Members()))
		}
		if workers, known := kinds[mb.Name()]; known && workers != pl.IsWorkerPool() {
			return code.BundleInvalid.New("pool %s holds %d VMs: its kind cannot change", mb.Name(), len(mb.Members()))
		}
	}
	return nil
}
