package bundledelta_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/configuration/bundledelta"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
)

// FuzzApply applies arbitrary messages from another entry; the size of a result must be bounded by the sizes of base and message.
func FuzzApply(f *testing.F) {
	base := []byte("teams:\n- name: a\n- name: b\n")
	good, err := proto.Marshal(bundledelta.Between(base, []byte("teams:\n- name: a\n- name: c\n")))
	qt.Assert(f, err, qt.IsNil)
	huge, err := proto.Marshal(&configpb.Delta{BaseHash: bundledelta.Hash(base), Pieces: []*configpb.Piece{{From: 4_000_000_000, Count: 4_000_000_000}}})
	qt.Assert(f, err, qt.IsNil)
	f.Add(base, good)
	f.Add(base, huge)
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(t *testing.T, base, raw []byte) {
		dl := &configpb.Delta{}
		if proto.Unmarshal(raw, dl) != nil {
			return
		}
		got, err := bundledelta.Apply(base, dl)
		if err == nil {
			qt.Check(t, len(got) <= (len(base)+1)*(len(dl.GetPieces())+1)+len(raw), qt.IsTrue, qt.Commentf("%d bytes from a base of %d and a message of %d with %d pieces", len(got), len(base), len(raw), len(dl.GetPieces())))
		}
	})
}

// FuzzBetween checks that applying a delta to its base gives its target.
func FuzzBetween(f *testing.F) {
	f.Add([]byte("a:\n- b\n"), []byte("a:\n- c\n- b\n"))
	f.Add([]byte{}, []byte("x"))
	f.Add([]byte("x"), []byte{})
	f.Fuzz(func(t *testing.T, base, target []byte) {
		got, err := bundledelta.Apply(base, bundledelta.Between(base, target))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, string(target))
	})
}
