package identitytest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Authority is a certificate authority that keeps its files in one directory.
type Authority struct {
	dir    string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial int64
}

const (
	fileMode   = 0o600
	firstYear  = 2020
	validYears = 100
)

// New returns an authority with a new key and writes its certificate to the directory; it panics if that fails.
func New(dir string) *Authority {
	au := &Authority{dir: dir, key: newKey(), serial: 1}
	tpl := template(au.serial, "authority", "")
	tpl.IsCA = true
	tpl.BasicConstraintsValid = true
	tpl.KeyUsage = x509.KeyUsageCertSign
	raw := must(x509.CreateCertificate(rand.Reader, tpl, tpl, &au.key.PublicKey, au.key))
	au.cert = must(x509.ParseCertificate(raw))
	write(au.File(), "CERTIFICATE", raw)
	return au
}

// File returns the path of the authority's certificate.
func (au *Authority) File() string { return filepath.Join(au.dir, "authority.pem") }

// Issue writes a certificate and its private key and returns the paths of both files. The name is the common name and the unit the organizational unit, which may be empty.
func (au *Authority) Issue(name, unit string) (certificate, key string) {
	au.serial++
	priv := newKey()
	raw := must(x509.CreateCertificate(rand.Reader, template(au.serial, name, unit), au.cert, &priv.PublicKey, au.key))
	certificate = filepath.Join(au.dir, name+unit+".pem")
	key = filepath.Join(au.dir, name+unit+"-key.pem")
	write(certificate, "CERTIFICATE", raw)
	write(key, "PRIVATE KEY", must(x509.MarshalPKCS8PrivateKey(priv)))
	return certificate, key
}

func template(serial int64, name, unit string) *x509.Certificate {
	from := time.Date(firstYear, 1, 1, 0, 0, 0, 0, time.UTC)
	subject := pkix.Name{CommonName: name}
	if unit != "" {
		subject.OrganizationalUnit = []string{unit}
	}
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: subject,
		NotBefore: from, NotAfter: from.AddDate(validYears, 0, 0),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newKey() *ecdsa.PrivateKey { return must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader)) }

func write(file, block string, raw []byte) {
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: block, Bytes: raw}), fileMode); err != nil {
		panic(err)
	}
}

func must[T any](val T, err error) T {
	if err != nil {
		panic(err)
	}
	return val
}
