package keyring

import (
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/key"
)

// Keyring maps the keys of one bundle to their teams; it is immutable.
type Keyring struct {
	owners    map[string]owner
	withdrawn map[string]struct{}
}

type owner struct {
	team string
	ky   key.Key
}

// dummyKey is compared with the secret if no key has its id, so that an unknown id takes as long to refuse as a known one.
var dummyKey, _ = key.New("unused")

// New builds the keyring of a bundle.
func New(bd *bundle.Bundle) *Keyring {
	kr := &Keyring{owners: map[string]owner{}, withdrawn: make(map[string]struct{}, len(bd.WithdrawnKeys()))}
	for _, tm := range bd.Teams() {
		for _, ky := range tm.Keys() {
			kr.owners[ky.ID()] = owner{team: tm.Name(), ky: ky}
		}
	}
	for _, id := range bd.WithdrawnKeys() {
		kr.withdrawn[id] = struct{}{}
	}
	return kr
}

// Team returns the team that the secret belongs to, or an error of code KeyMissing, KeyUnknown or KeyWithdrawn, which never contains the secret.
func (kr *Keyring) Team(secret string) (string, error) {
	if secret == "" {
		return "", code.KeyMissing
	}
	id, ok := key.IDOf(secret)
	if !ok {
		return "", code.KeyUnknown
	}
	own, ok := kr.owners[id]
	if !ok {
		own = owner{ky: dummyKey}
	}
	matches := own.ky.Matches(secret)
	if _, withdrawn := kr.withdrawn[id]; withdrawn {
		return "", code.KeyWithdrawn
	}
	if !ok || !matches {
		return "", code.KeyUnknown
	}
	return own.team, nil
}

// Len returns the number of valid keys.
func (kr *Keyring) Len() int { return len(kr.owners) }
