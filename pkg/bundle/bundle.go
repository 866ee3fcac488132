package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/goccy/go-yaml"

	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/operator"
	"github.com/fulmarloft/fulmarloft/pkg/pool"
	"github.com/fulmarloft/fulmarloft/pkg/service"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

// Bundle is one version of the configuration; it is immutable.
type Bundle struct {
	spec  spec
	hash  string
	cache itemCache
}

type spec struct {
	Format           int                 `yaml:"format"`
	Version          uint64              `yaml:"version"`
	Timing           timing              `yaml:"timing"`
	RequiredSignOffs int                 `yaml:"sign-offs-needed"`
	Operators        []operator.Operator `yaml:"operators"`
	Teams            []team.Team         `yaml:"teams"`
	WithdrawnKeys    []string            `yaml:"withdrawn-keys,omitempty"`
	Services         []service.Service   `yaml:"services"`
	Pools            []pool.Pool         `yaml:"pools"`
	Weights          weights             `yaml:"weights"`
}

type timing struct {
	ConfigLeaseMS   int64 `yaml:"config-lease-ms"`
	LoanLeaseMS     int64 `yaml:"loan-lease-ms"`
	JobLeaseMS      int64 `yaml:"job-lease-ms"`
	RequestMemoryMS int64 `yaml:"request-memory-ms"`
	BalancerWaitMS  int64 `yaml:"balancer-wait-ms"`
}

type weights struct {
	Share   float64 `yaml:"share"`
	RollOut float64 `yaml:"roll-out-time"`
	Buffer  float64 `yaml:"buffer-cost"`
	Moves   float64 `yaml:"moves"`
}

const currentFormat = 1

// Parse decodes a bundle from YAML and validates it. Unknown keys are errors that name their line and column.
func Parse(raw []byte) (*Bundle, error) {
	bd := &Bundle{}
	dec := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict())
	if err := dec.Decode(&bd.spec); err != nil {
		return nil, code.BundleMalformed.Wrap(err)
	}
	if err := bd.check(); err != nil {
		return nil, err
	}
	canon, err := bd.Bytes()
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(canon)
	bd.hash = hex.EncodeToString(sum[:])
	return bd, nil
}

// Bytes returns the canonical YAML of the bundle, of which Hash is the hash.
func (bd *Bundle) Bytes() ([]byte, error) {
	raw, err := yaml.Marshal(bd.spec)
	if err != nil {
		return nil, code.BundleMalformed.Wrap(err)
	}
	return raw, nil
}

// Hash returns the SHA-256 of the canonical form in hexadecimal, which sign-offs are made for.
func (bd *Bundle) Hash() string { return bd.hash }

// Version returns the version number, one above that of the bundle it replaces.
func (bd *Bundle) Version() uint64 { return bd.spec.Version }

// RequiredSignOffs returns how many operators must sign the next bundle.
func (bd *Bundle) RequiredSignOffs() int { return bd.spec.RequiredSignOffs }

// Operators returns the operators; the caller must not change the slice.
func (bd *Bundle) Operators() []operator.Operator { return bd.spec.Operators }

// Teams returns the teams; the caller must not change the slice.
func (bd *Bundle) Teams() []team.Team { return bd.spec.Teams }

// WithdrawnKeys returns the ids of the withdrawn keys; the caller must not change the slice.
func (bd *Bundle) WithdrawnKeys() []string { return bd.spec.WithdrawnKeys }

// Services returns the services; the caller must not change the slice.
func (bd *Bundle) Services() []service.Service { return bd.spec.Services }

// Pools returns the pools; the caller must not change the slice.
func (bd *Bundle) Pools() []pool.Pool { return bd.spec.Pools }

// ConfigLeaseMS returns the length of the configuration lease in milliseconds: how long an entry may accept keyed work without a confirmation that its version is the newest.
func (bd *Bundle) ConfigLeaseMS() int64 { return bd.spec.Timing.ConfigLeaseMS }

// LoanLeaseMS returns the length of a loan of concurrency limit units between entries, in milliseconds.
func (bd *Bundle) LoanLeaseMS() int64 { return bd.spec.Timing.LoanLeaseMS }

// JobLeaseMS returns how long a worker runs a job whose lease isn't renewed, in milliseconds.
func (bd *Bundle) JobLeaseMS() int64 { return bd.spec.Timing.JobLeaseMS }

// RequestMemoryMS returns how long the outcome of a request id is remembered, in milliseconds.
func (bd *Bundle) RequestMemoryMS() int64 { return bd.spec.Timing.RequestMemoryMS }

// BalancerWaitMS returns how long a draining entry keeps accepting requests, so that the load balancer can notice the drain, in milliseconds.
func (bd *Bundle) BalancerWaitMS() int64 { return bd.spec.Timing.BalancerWaitMS }

// MaxRunMS returns the largest maximum run time of all services, in milliseconds.
func (bd *Bundle) MaxRunMS() int64 {
	var maxMS int64
	for _, sv := range bd.spec.Services {
		maxMS = max(maxMS, sv.MaxRunMS())
	}
	return maxMS
}

// WeightShare returns the configured weight of the share error. The weights are kept in the format; no decision depends on them.
func (bd *Bundle) WeightShare() float64 { return bd.spec.Weights.Share }

// WeightRollOut returns the configured weight of the roll-out time.
func (bd *Bundle) WeightRollOut() float64 { return bd.spec.Weights.RollOut }

// WeightBuffer returns the configured weight of idle capacity.
func (bd *Bundle) WeightBuffer() float64 { return bd.spec.Weights.Buffer }

// WeightMoves returns the configured weight of VM moves.
func (bd *Bundle) WeightMoves() float64 { return bd.spec.Weights.Moves }
