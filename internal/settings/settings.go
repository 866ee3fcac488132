package settings

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/fulmarloft/fulmarloft/internal/yamlpos"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Settings is the local configuration that an entry process needs before it has received a configuration bundle.
type Settings struct {
	spec spec
}

type spec struct {
	Name          string    `yaml:"name"`
	VMIncarnation string    `yaml:"vm-incarnation,omitempty"`
	Zone          string    `yaml:"zone"`
	Caller        string    `yaml:"caller-address"`
	Admin         string    `yaml:"admin-address"`
	Peer          string    `yaml:"peer-address"`
	Peers         []string  `yaml:"first-peers"`
	Platform      string    `yaml:"platform-address"`
	TLS           *tlsFiles `yaml:"tls,omitempty"`
}

type tlsFiles struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

// Load reads and validates a settings file; an error contains the file, the line and what was expected.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, code.SettingsInvalid.Wrap(err)
	}
	st, err := Parse(raw)
	if err != nil {
		return nil, code.SettingsInvalid.New("%s: %w", path, err)
	}
	return st, nil
}

// Parse parses and validates settings in YAML.
func Parse(raw []byte) (*Settings, error) {
	st := &Settings{}
	if err := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict()).Decode(&st.spec); err != nil {
		return nil, code.SettingsInvalid.New("%s%s", yamlpos.Describe(err), expectedInsteadOf(err))
	}
	return st, st.validate(raw)
}

// expectedInsteadOf lists the known settings if the error is that one is unknown.
func expectedInsteadOf(err error) string {
	var unknown *yaml.UnknownFieldError
	if !errors.As(err, &unknown) {
		return ""
	}
	return ": expected one of " + strings.Join(names(reflect.TypeFor[spec]()), ", ") + ", or within tls " + strings.Join(names(reflect.TypeFor[tlsFiles]()), ", ")
}

// names returns the names of a type's settings.
func names(tp reflect.Type) []string {
	var out []string
	for at := range tp.NumField() {
		name, _, _ := strings.Cut(tp.Field(at).Tag.Get("yaml"), ",")
		out = append(out, name)
	}
	return out
}

// Name returns the name of the VM that the process runs on.
func (st *Settings) Name() string { return st.spec.Name }

// Incarnation returns the platform's id of this VM's current incarnation, or the VM's name if the settings don't contain one.
func (st *Settings) Incarnation() string {
	if st.spec.VMIncarnation == "" {
		return st.spec.Name
	}
	return st.spec.VMIncarnation
}

// Zone returns the availability zone.
func (st *Settings) Zone() string { return st.spec.Zone }

// Caller returns the listen address for callers.
func (st *Settings) Caller() string { return st.spec.Caller }

// Admin returns the listen address of the operator API and the metrics.
func (st *Settings) Admin() string { return st.spec.Admin }

// Peer returns the listen address for other entries.
func (st *Settings) Peer() string { return st.spec.Peer }

// Peers returns the addresses of the entries to contact first; the caller must not change the slice.
func (st *Settings) Peers() []string { return st.spec.Peers }

// Platform returns the address of the platform's services.
func (st *Settings) Platform() string { return st.spec.Platform }

// Plain reports whether connections to and from peers and operators are not encrypted by TLS, which is allowed only on loopback addresses.
func (st *Settings) Plain() bool { return st.spec.TLS == nil }

// Certificate returns the path of the process's certificate file, empty without TLS.
func (st *Settings) Certificate() string { return st.tlsFiles().Certificate }

// Key returns the path of the certificate's private key file, empty without TLS.
func (st *Settings) Key() string { return st.tlsFiles().Key }

// Authority returns the path of the CA certificate file against which peers and operators are verified, empty without TLS.
func (st *Settings) Authority() string { return st.tlsFiles().Authority }

func (st *Settings) tlsFiles() tlsFiles {
	if st.spec.TLS == nil {
		return tlsFiles{}
	}
	return *st.spec.TLS
}

func (st *Settings) validate(raw []byte) error {
	if st.spec.Name == "" {
		return invalid(raw, "name", "the name of this VM")
	}
	if st.spec.Zone == "" {
		return invalid(raw, "zone", "the availability zone of this VM")
	}
	if err := st.validateAddresses(raw); err != nil {
		return err
	}
	if st.spec.TLS == nil {
		return nil
	}
	if st.spec.TLS.Certificate == "" || st.spec.TLS.Key == "" || st.spec.TLS.Authority == "" {
		return invalid(raw, "tls", "certificate, key and authority")
	}
	return nil
}

func (st *Settings) validateAddresses(raw []byte) error {
	sp := st.spec
	seen := map[string]bool{}
	addresses := []struct{ key, addr string }{
		{"caller-address", sp.Caller},
		{"admin-address", sp.Admin},
		{"peer-address", sp.Peer},
		{"platform-address", sp.Platform},
	}
	for _, ad := range addresses {
		ap, err := netip.ParseAddrPort(ad.addr)
		if err != nil {
			return invalid(raw, ad.key, "ip:port")
		}
		if ap.Port() != 0 && seen[ad.addr] {
			return invalid(raw, ad.key, "an address that no other setting uses")
		}
		seen[ad.addr] = true
		if st.Plain() && ad.key != "caller-address" && !ap.Addr().IsLoopback() {
			return invalid(raw, ad.key, "a loopback address, or tls")
		}
	}
	for _, addr := range sp.Peers {
		ap, err := netip.ParseAddrPort(addr)
		if err != nil || (st.Plain() && !ap.Addr().IsLoopback()) {
			return invalid(raw, "first-peers", "a list of ip:port, on loopback without tls")
		}
	}
	return nil
}

// invalid returns an error with the line of the top-level key, or line 1 if the key is missing.
func invalid(raw []byte, key, expected string) error {
	line := 1
	for i, text := range bytes.Split(raw, []byte("\n")) {
		if bytes.HasPrefix(text, []byte(key+":")) {
			line = i + 1
		}
	}
	return code.SettingsInvalid.New("line %d: %s: expected %s", line, key, expected)
}
