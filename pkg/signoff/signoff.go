package signoff

import (
	"crypto/ed25519"
	"encoding/base64"
	"strings"

	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/operator"
)

// SignOff is an operator's signature of the hash of a bundle.
type SignOff struct {
	operator  string
	signature []byte
}

// signingContext is prepended to the signed hash, so that a signature made for another purpose isn't a valid sign-off.
const signingContext = "fulmarloft bundle sign-off v1\n"

// New signs the hash of a bundle with the operator's private key.
func New(name string, priv ed25519.PrivateKey, hash string) SignOff {
	return SignOff{operator: name, signature: ed25519.Sign(priv, []byte(signingContext+hash))}
}

// Parse decodes the text form "operator:signature", with the signature in base64.
func Parse(text string) (SignOff, error) {
	name, enc, ok := strings.Cut(strings.TrimSpace(text), ":")
	sig, err := base64.StdEncoding.DecodeString(enc)
	if !ok || err != nil || name == "" || len(sig) != ed25519.SignatureSize {
		return SignOff{}, code.SignOffMissing.New("malformed sign-off: expected operator:signature")
	}
	return SignOff{operator: name, signature: sig}, nil
}

// String returns the text form that Parse reads.
func (so SignOff) String() string {
	return so.operator + ":" + base64.StdEncoding.EncodeToString(so.signature)
}

// Operator returns the name of the operator who signed.
func (so SignOff) Operator() string { return so.operator }

// Verify checks the sign-offs of the given hash against the operators of the current bundle and returns the names of the signers. It returns an error if any sign-off is invalid or the current bundle requires more signers. The current bundle is the one to be replaced, or the signed bundle itself if it is the first.
func Verify(current *bundle.Bundle, hash string, list []SignOff) ([]string, error) {
	known := map[string]operator.Operator{}
	for _, op := range current.Operators() {
		known[op.Name()] = op
	}
	seen := map[string]bool{}
	var names []string
	for _, so := range list {
		op, ok := known[so.operator]
		if !ok {
			return nil, code.OperatorUnknown.New("operator %q is not in bundle version %d", so.operator, current.Version())
		}
		if !op.Verify([]byte(signingContext+hash), so.signature) {
			return nil, code.SignOffMissing.New("the signature of operator %q does not match hash %s", so.operator, hash)
		}
		if !seen[so.operator] {
			seen[so.operator] = true
			names = append(names, so.operator)
		}
	}
	if len(names) < current.RequiredSignOffs() {
		return nil, code.SignOffMissing.New("bundle version %d requires sign-offs of %d operators, got %d", current.Version(), current.RequiredSignOffs(), len(names))
	}
	return names, nil
}
