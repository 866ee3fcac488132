package team

import (
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/key"
)

// Team holds the configuration of a team.
type Team struct {
	spec spec
}

type spec struct {
	Name     string    `yaml:"name"`
	Share    int       `yaml:"share"`
	Limit    int       `yaml:"limit"`
	JobLimit int       `yaml:"job-limit"`
	Keys     []key.Key `yaml:"keys,omitempty"`
}

// New returns a team with a share and limits on how many of its requests and jobs run concurrently in the whole fleet.
func New(name string, share, limit, jobLimit int, keys ...key.Key) Team {
	return Team{spec{Name: name, Share: share, Limit: limit, JobLimit: jobLimit, Keys: keys}}
}

// Name returns the team's name.
func (tm Team) Name() string { return tm.spec.Name }

// Share returns the team's weight in fair sharing among backlogged teams; 0 means that it uses only capacity that other teams leave idle.
func (tm Team) Share() int { return tm.spec.Share }

// Limit returns how many requests of the team may run concurrently in the whole fleet.
func (tm Team) Limit() int { return tm.spec.Limit }

// JobLimit returns how many jobs of the team may run concurrently in the whole fleet.
func (tm Team) JobLimit() int { return tm.spec.JobLimit }

// Keys returns the team's keys; the caller must not change the slice.
func (tm Team) Keys() []key.Key { return tm.spec.Keys }

// Check returns an error of code BundleInvalid if the team has no name, a negative share or limit, or an invalid key.
func (tm Team) Check() error {
	if tm.spec.Name == "" {
		return code.BundleInvalid.New("team without a name")
	}
	if tm.spec.Share < 0 || tm.spec.Limit < 0 || tm.spec.JobLimit < 0 {
		return code.BundleInvalid.New("team %s: expected share, limit and job-limit of 0 or more, got %d, %d and %d", tm.spec.Name, tm.spec.Share, tm.spec.Limit, tm.spec.JobLimit)
	}
	for _, ky := range tm.spec.Keys {
		if err := ky.Check(); err != nil {
			return err
		}
	}
	return nil
}

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (tm *Team) UnmarshalYAML(unmarshal func(any) error) error { return unmarshal(&tm.spec) }

// MarshalYAML implements yaml.InterfaceMarshaler.
func (tm Team) MarshalYAML() (any, error) { return tm.spec, nil }
