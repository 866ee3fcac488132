package loadplan

import (
	"bytes"
	"net/netip"
	"os"

	"github.com/goccy/go-yaml"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/load"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Plan tells which streams of requests go to which entries for how long.
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
	Turn      *turn   `yaml:"turn,omitempty"`
}

type turn struct {
	LengthMS int64   `yaml:"length-ms"`
	Index    int64   `yaml:"index"`
	Count    int64   `yaml:"count"`
	Burst    float64 `yaml:"burst"`
	Low      float64 `yaml:"low"`
}

// Parse reads a plan, refuses unknown keys with line and column, and checks it.
func Parse(raw []byte) (*Plan, error) {
	pl := &Plan{}
	if err := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict()).Decode(&pl.spec); err != nil {
		return nil, code.SettingsInvalid.Wrap(err)
	}
	return pl, pl.check()
}

// DurationMS returns for how many milliseconds requests are sent.
func (pl *Plan) DurationMS() int64 { return pl.spec.DurationMS }

// Generator returns a generator with the plan's streams; it reads the key files.
func (pl *Plan) Generator(ck *clock.Clock) (*load.Generator, error) {
	gn := load.New(ck, pl.spec.Seed, func() []string { return pl.spec.Entries })
	for _, st := range pl.spec.Streams {
		secret, err := st.secret()
		if err != nil {
			return nil, err
		}
		if st.Turn == nil {
			gn.Add(st.Team, secret, st.Service, st.PerSecond, st.BodyBytes)
			continue
		}
		gn.AddPeaking(st.Team, secret, st.Service, st.PerSecond, st.BodyBytes,
			st.Turn.LengthMS, st.Turn.Index, st.Turn.Count, st.Turn.Burst, st.Turn.Low)
	}
	return gn, nil
}

func (st stream) secret() (string, error) {
	if st.KeyFile == "" {
		return "", nil
	}
	raw, err := os.ReadFile(st.KeyFile)
	if err != nil {
		return "", code.SettingsInvalid.Wrap(err)
	}
	return string(bytes.TrimSpace(raw)), nil
}

func (pl *Plan) check() error {
	if pl.spec.DurationMS <= 0 {
		return code.SettingsInvalid.New("duration-ms: expected milliseconds above 0")
	}
	if len(pl.spec.Entries) == 0 || len(pl.spec.Streams) == 0 {
		return code.SettingsInvalid.New("expected at least one of entries and of streams")
	}
	for _, addr := range pl.spec.Entries {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return code.SettingsInvalid.New("entries: %q: expected ip:port", addr)
		}
	}
	for _, st := range pl.spec.Streams {
		if err := st.check(); err != nil {
			return err
		}
	}
	return nil
}

func (st stream) check() error {
	if st.Team == "" || st.Service == "" {
		return code.SettingsInvalid.New("stream: expected team and service")
	}
	if st.PerSecond <= 0 || st.BodyBytes < 0 {
		return code.SettingsInvalid.New("stream of %s: expected per-second above 0 and body-bytes of 0 or more", st.Team)
	}
	if tn := st.Turn; tn != nil && (tn.LengthMS <= 0 || tn.Index < 0 || tn.Index >= tn.Count || tn.Burst <= 0 || tn.Low <= 0) {
		return code.SettingsInvalid.New("stream of %s: expected length-ms, burst and low above 0 and index below count", st.Team)
	}
	return nil
}
