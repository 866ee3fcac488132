package pool

import "github.com/fulmarloft/fulmarloft/pkg/code"

// Pool holds the configuration of a pool; the table records which VMs are its members.
type Pool struct {
	spec spec
}

type spec struct {
	Name           string `yaml:"name"`
	Size           int    `yaml:"size"`
	MaxUnavailable int    `yaml:"max-unavailable"`
	Spare          bool   `yaml:"spare,omitempty"`
	Kind           string `yaml:"kind"`
}

const (
	kindEndpoint = "endpoint"
	kindWorker   = "worker"
)

// New returns a pool of endpoint VMs with its nominal size and the number of VMs that may be unavailable at once.
func New(name string, size, maxUnavailable int, spare bool) Pool {
	return Pool{spec{Name: name, Size: size, MaxUnavailable: maxUnavailable, Spare: spare, Kind: kindEndpoint}}
}

// Name returns the pool's name.
func (pl Pool) Name() string { return pl.spec.Name }

// Size returns the nominal number of VMs in the pool.
func (pl Pool) Size() int { return pl.spec.Size }

// MaxUnavailable returns how many VMs of the pool may be unavailable at once.
func (pl Pool) MaxUnavailable() int { return pl.spec.MaxUnavailable }

// Spare reports whether the pool lends its VMs to other pools.
func (pl Pool) Spare() bool { return pl.spec.Spare }

// IsWorkerPool reports whether the pool's VMs run jobs rather than endpoints.
func (pl Pool) IsWorkerPool() bool { return pl.spec.Kind == kindWorker }

// Check returns an error of code BundleInvalid if the pool has no name, an unknown kind, or a size or maximum out of range.
func (pl Pool) Check() error {
	sp := pl.spec
	if sp.Name == "" {
		return code.BundleInvalid.New("pool without a name")
	}
	if sp.Kind != kindEndpoint && sp.Kind != kindWorker {
		return code.BundleInvalid.New("pool %s: expected kind endpoint or worker, got %q", sp.Name, sp.Kind)
	}
	if sp.Size < 0 || sp.MaxUnavailable < 0 || sp.MaxUnavailable > sp.Size {
		return code.BundleInvalid.New("pool %s: expected 0 <= max-unavailable <= size, got %d and %d", sp.Name, sp.MaxUnavailable, sp.Size)
	}
	return nil
}

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (pl *Pool) UnmarshalYAML(unmarshal func(any) error) error { return unmarshal(&pl.spec) }

// MarshalYAML implements yaml.InterfaceMarshaler.
func (pl Pool) MarshalYAML() (any, error) { return pl.spec, nil }
