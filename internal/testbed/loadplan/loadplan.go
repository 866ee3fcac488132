package loadplan

import (
	"bytes"
	"net/netip"
	"os"

	"github.com/goccy/go-yaml"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/testbed/load"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Plan defines the request streams of a load test, the entries that receive them, and the duration.
type Plan struct {
	spec spec
}

type spec struct {
	Seed       uint64   `yaml:"seed"`
	DurationMS int64    `yaml:"duration-ms"`
	Entries    []string `yaml:"entries"`
	Streams    []stream `yaml:"streams"`
}

type stream struct {
	Team      string  `yaml:"team"`
	KeyFile   string  `yaml:"key-file,omitempty"`
	Service   string  `yaml:"service"`
	PerSecond float64 `yaml:"per-second"`
	BodyBytes int     `yaml:"body-bytes"`
	Peak      *peak   `yaml:"turn,omitempty"`
}

// peak varies a stream's rate: time is divided into phases of LengthMS, and in each cycle of Count phases the rate is Burst times PerSecond in the phase with the given Index and Low times PerSecond in the others.
type peak struct {
	LengthMS int64   `yaml:"length-ms"`
	Index    int64   `yaml:"index"`
	Count    int64   `yaml:"count"`
	Burst    float64 `yaml:"burst"`
	Low      float64 `yaml:"low"`
}

// Parse parses and validates a plan; unknown keys are errors with line and column.
func Parse(raw []byte) (*Plan, error) {
	pl := &Plan{}
	if err := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict()).Decode(&pl.spec); err != nil {
		return nil, code.SettingsInvalid.Wrap(err)
	}
	return pl, pl.validate()
}

// DurationMS returns the time in milliseconds during which requests are sent.
func (pl *Plan) DurationMS() int64 { return pl.spec.DurationMS }

// Generator reads the key files and returns a load generator with the plan's streams.
func (pl *Plan) Generator(ck *clock.Clock) (*load.Generator, error) {
	gn := load.New(ck, pl.spec.Seed, func() []string { return pl.spec.Entries })
	for _, st := range pl.spec.Streams {
		secret, err := st.readKey()
		if err != nil {
			return nil, err
		}
		if st.Peak == nil {
			gn.Add(st.Team, secret, st.Service, st.PerSecond, st.BodyBytes)
			continue
		}
		gn.AddPeaking(st.Team, secret, st.Service, st.PerSecond, st.BodyBytes,
			st.Peak.LengthMS, st.Peak.Index, st.Peak.Count, st.Peak.Burst, st.Peak.Low)
	}
	return gn, nil
}

// readKey returns the contents of the key file, or an empty key for a service that needs none.
func (st stream) readKey() (string, error) {
	if st.KeyFile == "" {
		return "", nil
	}
	raw, err := os.ReadFile(st.KeyFile)
	if err != nil {
		return "", code.SettingsInvalid.Wrap(err)
	}
	return string(bytes.TrimSpace(raw)), nil
}

func (pl *Plan) validate() error {
	if pl.spec.DurationMS <= 0 {
		return code.SettingsInvalid.New("duration-ms: expected a number of milliseconds above 0, got %d", pl.spec.DurationMS)
	}
	if len(pl.spec.Entries) == 0 || len(pl.spec.Streams) == 0 {
		return code.SettingsInvalid.New("expected at least one entry and one stream")
	}
	for _, addr := range pl.spec.Entries {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return code.SettingsInvalid.New("entries: %q: expected ip:port", addr)
		}
	}
	for _, st := range pl.spec.Streams {
		if err := st.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (st stream) validate() error {
	if st.Team == "" || st.Service == "" {
		return code.SettingsInvalid.New("stream: expected team and service, got %q and %q", st.Team, st.Service)
	}
	if st.PerSecond <= 0 || st.BodyBytes < 0 {
		return code.SettingsInvalid.New("stream of team %s: expected per-second above 0 and body-bytes of 0 or more, got %v and %d", st.Team, st.PerSecond, st.BodyBytes)
	}
	if pk := st.Peak; pk != nil && (pk.LengthMS <= 0 || pk.Index < 0 || pk.Index >= pk.Count || pk.Burst <= 0 || pk.Low <= 0) {
		return code.SettingsInvalid.New("stream of team %s: expected length-ms, burst and low above 0 and a non-negative index below count, got %d, %v, %v and index %d of %d", st.Team, pk.LengthMS, pk.Burst, pk.Low, pk.Index, pk.Count)
	}
	return nil
}
