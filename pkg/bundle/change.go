package bundle

import (
	"slices"

	"github.com/goccy/go-yaml"

	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/key"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

// WithKey returns the next version, in which the team has an additional key.
func (bd *Bundle) WithKey(name string, ky key.Key) (*Bundle, error) {
	sp := bd.spec
	sp.Teams = slices.Clone(sp.Teams)
	at := slices.IndexFunc(sp.Teams, func(tm team.Team) bool { return tm.Name() == name })
	if at < 0 {
		return nil, code.BundleInvalid.New("team %q is not in bundle version %d", name, sp.Version)
	}
	tm := sp.Teams[at]
	keys := append(slices.Clone(tm.Keys()), ky)
	sp.Teams[at] = team.New(tm.Name(), tm.Share(), tm.Limit(), tm.JobLimit(), keys...)
	return nextVersion(sp)
}

// WithoutKey returns the next version, in which the key is withdrawn permanently.
func (bd *Bundle) WithoutKey(id string) (*Bundle, error) {
	sp := bd.spec
	sp.Teams = slices.Clone(sp.Teams)
	found := false
	for i, tm := range sp.Teams {
		keys := slices.DeleteFunc(slices.Clone(tm.Keys()), func(ky key.Key) bool { return ky.ID() == id })
		if len(keys) == len(tm.Keys()) {
			continue
		}
		found = true
		sp.Teams[i] = team.New(tm.Name(), tm.Share(), tm.Limit(), tm.JobLimit(), keys...)
	}
	if !found {
		return nil, code.BundleInvalid.New("no team of bundle version %d has the key %q", sp.Version, id)
	}
	sp.WithdrawnKeys = append(slices.Clone(sp.WithdrawnKeys), id)
	return nextVersion(sp)
}

// WithVersion returns the bundle with the given version number.
func (bd *Bundle) WithVersion(version uint64) (*Bundle, error) {
	sp := bd.spec
	sp.Version = version
	return reparse(sp)
}

func nextVersion(sp spec) (*Bundle, error) {
	sp.Version++
	return reparse(sp)
}

func reparse(sp spec) (*Bundle, error) {
	raw, err := yaml.Marshal(sp)
	if err != nil {
		return nil, code.BundleMalformed.Wrap(err)
	}
	return Parse(raw)
}
