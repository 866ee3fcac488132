package vmlist_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/machines/vmlist"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// An older list or a failed refresh must not replace the list held, and an unchanged one must only make it newer.
func TestRefresh(t *testing.T) {
	ctx := context.Background()
	full := &platformpb.VMList{AsOfMs: 10, Vms: []*platformpb.VM{{Name: "a", Kind: "endpoint"}}, Gone: []string{"x"}}
	var next *platformpb.VMList
	var etag string
	var fail error
	vw := vmlist.New(func(context.Context, string) (*platformpb.VMList, string, error) { return next, etag, fail })
	for _, tc := range []struct {
		name       string
		list       *platformpb.VMList
		etag       string
		fail       error
		asOfMS     int64
		vms        int
		generation uint64
	}{
		{"first", full, "m1", nil, 10, 1, 1},
		{"unchanged", &platformpb.VMList{AsOfMs: 20}, "m1", nil, 20, 1, 1},
		{"older", &platformpb.VMList{AsOfMs: 15}, "m0", nil, 20, 1, 1},
		{"platform down", nil, "", code.TableUnavailable, 20, 1, 1},
		{"changed", &platformpb.VMList{AsOfMs: 30}, "m2", nil, 30, 0, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			next, etag, fail = tc.list, tc.etag, tc.fail
			qt.Check(t, code.Of(vw.Refresh(ctx)), qt.Equals, code.Of(tc.fail))
			qt.Check(t, vw.List().GetAsOfMs(), qt.Equals, tc.asOfMS)
			qt.Check(t, vw.List().GetVms(), qt.HasLen, tc.vms)
			qt.Check(t, vw.Generation(), qt.Equals, tc.generation)
			qt.Check(t, vw.Gone("x"), qt.IsTrue)
		})
	}
	vw.Adopt(&platformpb.VMList{AsOfMs: 5})
	qt.Check(t, vw.List().GetAsOfMs(), qt.Equals, int64(30))
	vw.Adopt(full)
	qt.Check(t, vw.Named("a"), qt.IsNil)
}
