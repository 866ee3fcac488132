package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/goccy/go-yaml"

	"github.com/fulmarloft/fulmarloft/internal/blocks"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/operator"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
	"github.com/fulmarloft/fulmarloft/pkg/service"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

// itemCache holds the decoded elements of the bundle's lists by their canonical text; the next version reuses those whose text is unchanged.
type itemCache struct {
	operators map[string]operator.Operator
	teams     map[string]team.Team
	services  map[string]service.Service
	pools     map[string]pool.Pool
}

const listItem = "- "

// Restore decodes a bundle from its canonical form and validates it. List elements that are unchanged since the earlier bundle, which may be nil, are reused instead of decoded. The bundle's hash is that of the given bytes.
func Restore(raw []byte, earlier *Bundle) (*Bundle, error) {
	if earlier == nil {
		earlier = &Bundle{}
	}
	bd := &Bundle{}
	var rest []byte
	for _, part := range splitSections(raw) {
		restored, err := bd.restoreSection(part, earlier)
		if err != nil {
			return nil, err
		}
		if !restored {
			rest = append(rest, part...)
		}
	}
	lists := bd.spec
	if err := yaml.NewDecoder(bytes.NewReader(rest), yaml.Strict()).Decode(&bd.spec); err != nil {
		return nil, code.BundleMalformed.Wrap(err)
	}
	bd.spec.Operators, bd.spec.Teams, bd.spec.Services, bd.spec.Pools = lists.Operators, lists.Teams, lists.Services, lists.Pools
	if err := bd.check(); err != nil {
		return nil, err
	}
	sum := sha256.Sum256(raw)
	bd.hash = hex.EncodeToString(sum[:])
	return bd, nil
}

// restoreSection decodes a top-level section that is one of the lists; it reports false for any other section.
func (bd *Bundle) restoreSection(part []byte, earlier *Bundle) (bool, error) {
	name, text, _ := bytes.Cut(part, []byte(":"))
	var err error
	switch string(name) {
	case "operators":
		bd.spec.Operators, bd.cache.operators, err = restoreList(text, earlier.cache.operators)
	case "teams":
		bd.spec.Teams, bd.cache.teams, err = restoreList(text, earlier.cache.teams)
	case "services":
		bd.spec.Services, bd.cache.services, err = restoreList(text, earlier.cache.services)
	case "pools":
		bd.spec.Pools, bd.cache.pools, err = restoreList(text, earlier.cache.pools)
	default:
		return false, nil
	}
	return true, err
}

func restoreList[T any](text []byte, cached map[string]T) ([]T, map[string]T, error) {
	head, text, _ := bytes.Cut(text, []byte("\n"))
	cache := map[string]T{}
	var out []T
	if len(bytes.TrimSpace(head)) > 0 {
		err := yaml.NewDecoder(bytes.NewReader(head), yaml.Strict()).Decode(&out)
		return out, cache, wrapMalformed(err)
	}
	for _, part := range blocks.Split(text, func(line []byte) bool { return bytes.HasPrefix(line, []byte(listItem)) }) {
		val, ok := cached[string(part)]
		if !ok {
			var one []T
			if err := yaml.NewDecoder(bytes.NewReader(part), yaml.Strict()).Decode(&one); err != nil {
				return nil, nil, code.BundleMalformed.New("list element is not in canonical form: %w", err)
			}
			if len(one) != 1 {
				return nil, nil, code.BundleMalformed.New("%q: expected one list element, got %d", part, len(one))
			}
			val = one[0]
		}
		cache[string(part)] = val
		out = append(out, val)
	}
	return out, cache, nil
}

func wrapMalformed(err error) error {
	if err == nil {
		return nil
	}
	return code.BundleMalformed.Wrap(err)
}

// splitSections splits the canonical form before each top-level key.
func splitSections(raw []byte) [][]byte {
	return blocks.Split(raw, func(line []byte) bool { return line[0] != ' ' && !bytes.HasPrefix(line, []byte(listItem)) })
}
