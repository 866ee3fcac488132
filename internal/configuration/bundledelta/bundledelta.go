package bundledelta

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/blocks"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Between returns the delta from one canonical bundle to another. It compares items: a section's line, or one list element with all of its lines.
func Between(base, target []byte) *configpb.Delta {
	baseItems := items(base)
	positions := make(map[string]int, len(baseItems))
	for i, it := range baseItems {
		positions[string(it)] = i
	}
	dl := &configpb.Delta{BaseHash: Hash(base)}
	next := -1
	for _, it := range items(target) {
		at, known := positions[string(it)]
		if next >= 0 && next < len(baseItems) && bytes.Equal(baseItems[next], it) {
			at, known = next, true
		}
		if known {
			dl.Pieces = appendCopy(dl.GetPieces(), at)
			next = at + 1
			continue
		}
		dl.Pieces = appendText(dl.GetPieces(), it)
	}
	return dl
}

// Apply returns the target of a delta; the caller must compare the target's hash with the one in the head.
func Apply(base []byte, dl *configpb.Delta) ([]byte, error) {
	if Hash(base) != dl.GetBaseHash() {
		return nil, code.EpochStale.New("the delta applies to the bundle with hash %s, not to the given one", dl.GetBaseHash())
	}
	baseItems := items(base)
	var out []byte
	for _, pc := range dl.GetPieces() {
		out = append(out, pc.GetText()...)
		from, end := uint64(pc.GetFrom()), uint64(pc.GetFrom())+uint64(pc.GetCount())
		if end > uint64(len(baseItems)) {
			return nil, code.BundleMalformed.New("the delta refers to items up to %d, but its base has %d", end, len(baseItems))
		}
		for _, it := range baseItems[from:end] {
			out = append(out, it...)
		}
	}
	return out, nil
}

// Lines returns the lines of the items that only one of two canonical bundles contains, prefixed with "-" for the base and "+" for the target.
func Lines(base, target []byte) []string {
	return append(missingFrom("-", base, target), missingFrom("+", target, base)...)
}

func missingFrom(prefix string, raw, other []byte) []string {
	known := map[string]bool{}
	for _, it := range items(other) {
		known[string(it)] = true
	}
	var list []string
	for _, it := range items(raw) {
		if known[string(it)] {
			continue
		}
		for line := range strings.Lines(string(it)) {
			list = append(list, prefix+" "+strings.TrimSuffix(line, "\n"))
		}
	}
	return list
}

// Hash returns the SHA-256 of a canonical bundle in hexadecimal.
func Hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

func appendCopy(pieces []*configpb.Piece, at int) []*configpb.Piece {
	if n := len(pieces); n > 0 && pieces[n-1].GetCount() > 0 && int(pieces[n-1].GetFrom()+pieces[n-1].GetCount()) == at {
		pieces[n-1].Count++
		return pieces
	}
	return append(pieces, &configpb.Piece{From: uint32(at), Count: 1})
}

func appendText(pieces []*configpb.Piece, it []byte) []*configpb.Piece {
	if n := len(pieces); n > 0 && pieces[n-1].GetCount() == 0 {
		pieces[n-1].Text = append(pieces[n-1].GetText(), it...)
		return pieces
	}
	return append(pieces, &configpb.Piece{Text: bytes.Clone(it)})
}

func items(raw []byte) [][]byte { return blocks.Split(raw, startsItem) }

func startsItem(line []byte) bool {
	return line[0] != ' ' || bytes.HasPrefix(bytes.TrimLeft(line, " "), []byte("- "))
}
