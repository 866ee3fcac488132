package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/limits/unit"
	"github.com/fulmarloft/fulmarloft/internal/machines/vmlist"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// A VM that isn't listed can't be asked for its jobs. It must count as busy, or a drain would end while jobs run there; only VMs that aren't workers never are.
func TestUnlistedWorkerIsBusy(t *testing.T) {
	en := &Entry{ck: clock.NewFake(1000), vms: vmlist.New(nil)}
	en.vms.Adopt(&platformpb.VMList{AsOfMs: 1000, Vms: []*platformpb.VM{{Name: "e-1", Kind: kindEndpoint}}})
	for _, tc := range []struct {
		vm   string
		busy bool
		want code.Code
	}{
		{"e-1", false, code.OK},
		{"w-1", true, code.VMUnknown},
	} {
		busy, err := en.workerBusy(context.Background(), tc.vm)
		qt.Check(t, busy, qt.Equals, tc.busy, qt.Commentf(tc.vm))
		qt.Check(t, code.Of(err), qt.Equals, tc.want, qt.Commentf(tc.vm))
	}
}

// A unit that lapsed before the request was sent must name its reason beside the code that callers get.
func TestLapsedUnitNamesItsReason(t *testing.T) {
	un := unit.New(func() error { return code.LeaseLapsed.New("limit of team a was reduced") }, func() {}, func(int64) {})
	err := checkUnit(un)
	qt.Check(t, code.Of(err), qt.Equals, code.LimitReached)
	qt.Check(t, err, qt.ErrorMatches, "(?s).*limit of team a was reduced.*")
}
