package config

import (
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/configuration/bundledelta"
	"github.com/fulmarloft/fulmarloft/internal/configuration/keyring"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Config is the configuration version that an entry holds, with the versions before it as bases for deltas; it is safe for concurrent use.
type Config struct {
	ck      *clock.Clock
	current atomic.Pointer[revision]

	mu     sync.Mutex
	recent []*revision
}

// revision is one adopted version in its parsed and canonical forms.
type revision struct {
	head      *configpb.Head
	bd        *bundle.Bundle
	kr        *keyring.Keyring
	raw       []byte
	adoptedMS int64
}

const maxRecent = 8

// New returns a config without a version.
func New(ck *clock.Clock) *Config {
	return &Config{ck: ck}
}

// Adopt replaces the held version by a newer one, whose canonical form must have the hash and version of the head; it returns false if the version isn't newer than the held one.
func (cf *Config) Adopt(head *configpb.Head, raw []byte) (bool, error) {
	if head.GetVersion() <= cf.Version() {
		return false, nil
	}
	if bundledelta.Hash(raw) != head.GetHash() {
		return false, code.BundleMalformed.New("the content of bundle version %d does not have the hash %s of its head", head.GetVersion(), head.GetHash())
	}
	bd, err := bundle.Restore(raw, cf.Bundle())
	if err != nil {
		return false, err
	}
	if bd.Version() != head.GetVersion() {
		return false, code.BundleMalformed.New("the bundle has version %d, but its head has version %d", bd.Version(), head.GetVersion())
	}
	next := &revision{head: proto.CloneOf(head), bd: bd, kr: keyring.New(bd), raw: raw, adoptedMS: cf.ck.Now()}
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if head.GetVersion() <= cf.Version() {
		return false, nil
	}
	cf.current.Store(next)
	cf.recent = append(cf.recent, next)
	if len(cf.recent) > maxRecent {
		cf.recent = cf.recent[1:]
	}
	return true, nil
}

// Bundle returns the held bundle, or nil if there is none yet.
func (cf *Config) Bundle() *bundle.Bundle {
	if rv := cf.current.Load(); rv != nil {
		return rv.bd
	}
	return nil
}

// Keyring returns the keyring and the version that it belongs to, or nil and 0 if there is none yet.
func (cf *Config) Keyring() (*keyring.Keyring, uint64) {
	if rv := cf.current.Load(); rv != nil {
		return rv.kr, rv.head.GetVersion()
	}
	return nil, 0
}

// Version returns the held version, 0 if there is none yet.
func (cf *Config) Version() uint64 { return cf.Head().GetVersion() }

// Head returns the content of the head row of the held version, or nil; the caller must not change it.
func (cf *Config) Head() *configpb.Head {
	if rv := cf.current.Load(); rv != nil {
		return rv.head
	}
	return nil
}

// Raw returns the canonical form of the held version; the caller must not change it.
func (cf *Config) Raw() []byte {
	if rv := cf.current.Load(); rv != nil {
		return rv.raw
	}
	return nil
}

// AgeMS returns the time since the held version was adopted.
func (cf *Config) AgeMS() int64 {
	if rv := cf.current.Load(); rv != nil {
		return cf.ck.Now() - rv.adoptedMS
	}
	return 0
}

// DeltaSince returns the delta from an earlier version to the held one, or nil if the earlier one isn't among the last maxRecent versions adopted.
func (cf *Config) DeltaSince(version uint64) *configpb.Delta {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	for _, rv := range cf.recent {
		if rv.head.GetVersion() == version {
			return bundledelta.Between(rv.raw, cf.recent[len(cf.recent)-1].raw)
		}
	}
	return nil
}

// Content returns the full canonical form that a push or a fetch reply carries, either complete or as a delta from the held version.
func (cf *Config) Content(dl *configpb.Delta, complete []byte) ([]byte, error) {
	if len(complete) > 0 {
		return complete, nil
	}
	if dl == nil {
		return nil, code.BundleMalformed.New("the message has neither a delta nor the complete bundle")
	}
	return bundledelta.Apply(cf.Raw(), dl)
}
