package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Key is a team's key as the bundle keeps it: an id that never returns and the hash of the secret.
type Key struct {
	spec spec
}

type spec struct {
	ID   string `yaml:"id"`
	Hash string `yaml:"hash"`
}

const secretBytes = 24

// New makes a fresh secret of the form "id.random" and the key that matches it; the secret isn't kept.
func New(id string) (Key, string) {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw)
	secret := id + "." + hex.EncodeToString(raw)
	return Key{spec{ID: id, Hash: hash(secret)}}, secret
}

// IDOf returns the id part of a secret, which is no secret itself, or false for a malformed one.
func IDOf(secret string) (string, bool) {
	id, random, ok := strings.Cut(secret, ".")
	return id, ok && id != "" && random != ""
}

// ID returns the key's id.
func (ky Key) ID() string { return ky.spec.ID }

// Matches reports in constant time whether the secret belongs to the key.
func (ky Key) Matches(secret string) bool {
	return subtle.ConstantTimeCompare([]byte(hash(secret)), []byte(ky.spec.Hash)) == 1
}

// Check returns an error of code BundleInvalid for a key without id or with a hash that isn't SHA-256 in hexadecimal.
func (ky Key) Check() error {
	if ky.spec.ID == "" || strings.Contains(ky.spec.ID, ".") {
		return code.BundleInvalid.New("key id %q: expected a name without dots", ky.spec.ID)
	}
	raw, err := hex.DecodeString(ky.spec.Hash)
	if err != nil || len(raw) != sha256.Size {
		return code.BundleInvalid.New("key %s: expected a SHA-256 hash in hexadecimal", ky.spec.ID)
	}
	return nil
}

// UnmarshalYAML reads the key's kebab-case form.
func (ky *Key) UnmarshalYAML(unmarshal func(any) error) error { return unmarshal(&ky.spec) }

// MarshalYAML returns the key's kebab-case form.
func (ky Key) MarshalYAML() (any, error) { return ky.spec, nil }

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
