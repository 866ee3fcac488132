package operator

import (
	"crypto/ed25519"
	"encoding/base64"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Operator holds the name of an operator and the ed25519 public key that verifies their sign-offs.
type Operator struct {
	spec spec
}

type spec struct {
	Name      string `yaml:"name"`
	PublicKey string `yaml:"public-key"`
}

// New returns an operator with an ed25519 public key.
func New(name string, pub ed25519.PublicKey) Operator {
	return Operator{spec{Name: name, PublicKey: base64.StdEncoding.EncodeToString(pub)}}
}

// Name returns the operator's name.
func (op Operator) Name() string { return op.spec.Name }

// Verify reports whether the signature of the message was made with the operator's private key.
func (op Operator) Verify(msg, sig []byte) bool {
	pub, err := base64.StdEncoding.DecodeString(op.spec.PublicKey)
	if err != nil || len(pub) != ed25519.PublicKeySize {
		return false
	}
	return ed25519.Verify(pub, msg, sig)
}

// Check returns an error of code BundleInvalid if the name is empty or the key malformed.
func (op Operator) Check() error {
	pub, err := base64.StdEncoding.DecodeString(op.spec.PublicKey)
	if op.spec.Name == "" || err != nil || len(pub) != ed25519.PublicKeySize {
		return code.BundleInvalid.New("operator %q: expected a name and an ed25519 public key in base64", op.spec.Name)
	}
	return nil
}

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (op *Operator) UnmarshalYAML(unmarshal func(any) error) error { return unmarshal(&op.spec) }

// MarshalYAML implements yaml.InterfaceMarshaler.
func (op Operator) MarshalYAML() (any, error) { return op.spec, nil }
