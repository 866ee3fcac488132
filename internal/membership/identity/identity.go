package identity

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"slices"

	"github.com/fulmarloft/fulmarloft/internal/settings"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Identity holds the certificate of the process and the CA certificates that the certificates of its peers must chain to. In plain mode it holds neither, and connections are neither encrypted nor authenticated.
type Identity struct {
	plain bool
	cert  tls.Certificate
	roots *x509.CertPool
}

// Organizational units of certificate subjects, which determine the holder's role.
const (
	EntryUnit    = "fulmarloft-entry"
	OperatorUnit = "fulmarloft-operator"
)

// OperatorHeader is the header that names the operator in plain mode, which is allowed on loopback addresses only.
const OperatorHeader = "fulmarloft-operator"

// New loads the certificate files named in the settings; with plain settings it returns an identity in plain mode.
func New(st *settings.Settings) (*Identity, error) {
	if st.Plain() {
		return &Identity{plain: true}, nil
	}
	return Load(st.Certificate(), st.Key(), st.Authority())
}

// Load loads a certificate, its private key and the CA certificates from PEM files.
func Load(certificate, key, authority string) (*Identity, error) {
	cert, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, code.SettingsInvalid.New("cannot load the certificate %s with the private key %s: %w", certificate, key, err)
	}
	raw, err := os.ReadFile(authority)
	if err != nil {
		return nil, code.SettingsInvalid.Wrap(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, code.SettingsInvalid.New("%s: expected PEM certificates", authority)
	}
	return &Identity{cert: cert, roots: roots}, nil
}

// Plain reports whether the identity is in plain mode.
func (id *Identity) Plain() bool { return id.plain }

// ServerConfig returns the TLS configuration of a listener that accepts only client certificates with one of the given units, or nil in plain mode.
func (id *Identity) ServerConfig(units ...string) *tls.Config {
	if id.plain {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{id.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    id.roots,
		VerifyConnection: func(cs tls.ConnectionState) error {
			return checkUnit(cs.PeerCertificates, units)
		},
	}
}

// ClientConfig returns the TLS configuration of a connection to an entry, or nil in plain mode. The entry's certificate is checked for its authority and unit, not for its address.
func (id *Identity) ClientConfig() *tls.Config {
	if id.plain {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{id.cert},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain; host names aren't checked because addresses change with each VM.
		VerifyConnection: func(cs tls.ConnectionState) error {
			if err := id.verifyChain(cs.PeerCertificates); err != nil {
				return err
			}
			return checkUnit(cs.PeerCertificates, []string{EntryUnit})
		},
	}
}

// Operator returns the name of the operator who sent a request: the common name of the client certificate, or the value of OperatorHeader in plain mode.
func (id *Identity) Operator(rq *http.Request) (string, error) {
	if !id.plain {
		if rq.TLS == nil || checkUnit(rq.TLS.PeerCertificates, []string{OperatorUnit}) != nil {
			return "", code.Forbidden.New("the client presented no operator certificate")
		}
		return rq.TLS.PeerCertificates[0].Subject.CommonName, nil
	}
	if name := rq.Header.Get(OperatorHeader); name != "" {
		return name, nil
	}
	return "", code.OperatorUnknown.New("header %s is missing", OperatorHeader)
}

func (id *Identity) verifyChain(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return code.Forbidden.New("the peer presented no certificate")
	}
	opts := x509.VerifyOptions{Roots: id.roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, cert := range chain[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := chain[0].Verify(opts); err != nil {
		return code.Forbidden.New("cannot verify the certificate of %q: %w", chain[0].Subject.CommonName, err)
	}
	return nil
}

// checkUnit returns an error unless the leaf certificate of the chain has one of the organizational units.
func checkUnit(chain []*x509.Certificate, units []string) error {
	if len(chain) == 0 {
		return code.Forbidden.New("the peer presented no certificate")
	}
	for _, unit := range units {
		if slices.Contains(chain[0].Subject.OrganizationalUnit, unit) {
			return nil
		}
	}
	return code.Forbidden.New("the certificate of %q has none of the organizational units %v", chain[0].Subject.CommonName, units)
}
