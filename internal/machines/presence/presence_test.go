package presence_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/machines/presence"
	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
)

// A VM must count as down if the list doesn't show its incarnation, is too old or is from the future, and must not count as returned by a list older than its state.
func TestUnknownCountsAsDown(t *testing.T) {
	row := vm.Register(&platformpb.VM{Name: "v", Incarnation: "i1"}, "p", 1000)
	for _, tc := range []struct {
		name     string
		asOfMS   int64
		listed   *platformpb.VM
		gone     []string
		failing  string
		up       bool
		returned bool
	}{
		{"listed", 2000, &platformpb.VM{Name: "v", Incarnation: "i1"}, nil, "", true, true},
		{"not listed", 2000, &platformpb.VM{Name: "w"}, nil, "", false, false},
		{"leaving", 2000, &platformpb.VM{Name: "v", Incarnation: "i1", Leaving: true}, nil, "", false, false},
		{"other incarnation", 2000, &platformpb.VM{Name: "v", Incarnation: "i2"}, nil, "", false, true},
		{"gone", 2000, &platformpb.VM{Name: "v", Incarnation: "i1"}, []string{"i1"}, "", false, false},
		{"failing", 2000, &platformpb.VM{Name: "v", Incarnation: "i1"}, nil, "v", false, true},
		{"old list", 500, &platformpb.VM{Name: "v", Incarnation: "i1"}, nil, "", false, false},
		{"list from the future", 9000, &platformpb.VM{Name: "v", Incarnation: "i1"}, nil, "", false, false},
		{"list older than the state", 1050, &platformpb.VM{Name: "v", Incarnation: "i1"}, nil, "", true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			list := &platformpb.VMList{AsOfMs: tc.asOfMS, Vms: []*platformpb.VM{tc.listed}, Gone: tc.gone}
			pr := presence.New(list, 3000, 2000, func(name string) bool { return name == tc.failing })
			qt.Check(t, pr.Up(row), qt.Equals, tc.up)
			qt.Check(t, pr.HasReturned(row, 100), qt.Equals, tc.returned)
		})
	}
}
