package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// Key is a team's API key as stored in the bundle: an id, which is never reused, and the hash of the secret.
type Key struct {
	spec spec
}

type spec struct {
	ID   string `yaml:"id"`
	Hash string `yaml:"hash"`
}

const secretBytes = 24

// New generates a secret of the form "id.random" and returns the key that matches it, which holds only the hash, and the secret.
func New(id string) (Key, string) {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw)
	secret := id + "." + hex.EncodeToString(raw)
	return Key{spec{ID: id, Hash: hash(secret)}}, secret
}

// IDOf returns the id part of a secret, which isn't confidential, and whether the secret is well-formed.
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

// Check returns an error of code BundleInvalid if the id is empty or contains a dot, or if the hash isn't SHA-256 in hexadecimal.
func (ky Key) Check() error {
	if ky.spec.ID == "" || strings.Contains(ky.spec.ID, ".") {
		return code.BundleInvalid.New("key id %q: expected a non-empty id without dots", ky.spec.ID)
	}
	raw, err := hex.DecodeString(ky.spec.Hash)
	if err != nil || len(raw) != sha256.Size {
		return code.BundleInvalid.New("key %s: expected a SHA-256 hash in hexadecimal", ky.spec.ID)
	}
	return nil
}

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (ky *Key) UnmarshalYAML(unmarshal func(any) error) error { return unmarshal(&ky.spec) }

// MarshalYAML implements yaml.InterfaceMarshaler.
func (ky Key) MarshalYAML() (any, error) { return ky.spec, nil }

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
