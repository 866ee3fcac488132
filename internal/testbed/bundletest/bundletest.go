package bundletest

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/signoff"
)

// LeaseMS is the duration of the configuration lease in the bundles of this package.
const LeaseMS = 4000

// Text returns the YAML of a bundle with the operators op-0 and op-1 and the given numbers of teams, pools and keys. The keys are distributed evenly over the teams, and the secret of key-N is "key-N.secret".
func Text(version uint64, signOffs, teams, pools, keys int) string {
	sb := &strings.Builder{}
	fmt.Fprintf(sb, "format: 1\nversion: %d\ntiming:\n  config-lease-ms: %d\n  loan-lease-ms: 2000\n  job-lease-ms: 3000\n  request-memory-ms: 600000\n  balancer-wait-ms: 3000\n", version, LeaseMS)
	fmt.Fprintf(sb, "sign-offs-needed: %d\noperators:\n", signOffs)
	for i := range 2 {
		pub, _ := SigningKey(i).Public().(ed25519.PublicKey)
		fmt.Fprintf(sb, "- name: op-%d\n  public-key: %s\n", i, base64.StdEncoding.EncodeToString(pub))
	}
	sb.WriteString("teams:\n")
	for i := range teams {
		fmt.Fprintf(sb, "- name: team-%d\n  share: 1\n  limit: 10\n  job-limit: 4\n", i)
		writeKeys(sb, i, teams, keys)
	}
	sb.WriteString("services:\n- name: replies\n  queue: teams\n  idempotent: false\n  pool: pool-0\n  deadline-ms: 2000\n  longest-run-ms: 5000\n  max-body-bytes: 65536\n  max-answer-bytes: 65536\n  max-queued: 100\npools:\n")
	for i := range pools {
		fmt.Fprintf(sb, "- name: pool-%d\n  size: 10\n  max-unavailable: 2\n  kind: endpoint\n", i)
	}
	sb.WriteString("weights:\n  share: 1.0\n  roll-out-time: 1.0\n  buffer-cost: 1.0\n  moves: 1.0\n")
	return sb.String()
}

// New returns the canonical form of a bundle with version 1 that needs one sign-off.
func New(teams, pools, keys int) []byte { return Canonical(Text(1, 1, teams, pools, keys)) }

// Canonical returns the canonical form of a bundle; it panics if the text isn't valid.
func Canonical(text string) []byte {
	raw, err := mustParse(text).Bytes()
	if err != nil {
		panic(err)
	}
	return raw
}

// Sign returns the sign-offs of the numbered operators for a bundle.
func Sign(text string, operators ...int) []signoff.SignOff {
	hash := mustParse(text).Hash()
	var list []signoff.SignOff
	for _, i := range operators {
		list = append(list, signoff.New(fmt.Sprintf("op-%d", i), SigningKey(i), hash))
	}
	return list
}

// SigningKey returns the private key of a numbered operator, which is derived from the number and so is the same in each run.
func SigningKey(i int) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(fmt.Sprintf("operator %d", i)))
	return ed25519.NewKeyFromSeed(seed[:])
}

// Secret returns the secret of a numbered key.
func Secret(i int) string { return fmt.Sprintf("key-%d.secret", i) }

// Withdraw returns the text with a key withdrawn, or unchanged if the key isn't in it.
func Withdraw(text string, i int) string {
	line := keyLines(i)
	if !strings.Contains(text, line) {
		return text
	}
	text = strings.Replace(text, line, "", 1)
	id := fmt.Sprintf("key-%d", i)
	if strings.Contains(text, "withdrawn-keys:\n") {
		return strings.Replace(text, "withdrawn-keys:\n", "withdrawn-keys:\n- "+id+"\n", 1)
	}
	return strings.Replace(text, "services:\n", "withdrawn-keys:\n- "+id+"\nservices:\n", 1)
}

// WithoutOperator returns the text without a numbered operator; if it needed two sign-offs, it needs one.
func WithoutOperator(text string, i int) string {
	at := strings.Index(text, fmt.Sprintf("- name: op-%d\n", i))
	end := at + strings.Index(text[at:], "=\n") + len("=\n")
	return strings.Replace(text[:at]+text[end:], "sign-offs-needed: 2", "sign-offs-needed: 1", 1)
}

// Next returns the text with the next version number.
func Next(text string) string {
	version := mustParse(text).Version()
	return strings.Replace(text, fmt.Sprintf("version: %d\n", version), fmt.Sprintf("version: %d\n", version+1), 1)
}

func writeKeys(sb *strings.Builder, team, teams, keys int) {
	if team >= keys {
		return
	}
	sb.WriteString("  keys:\n")
	for i := team; i < keys; i += teams {
		sb.WriteString(keyLines(i))
	}
}

func keyLines(i int) string {
	sum := sha256.Sum256([]byte(Secret(i)))
	return fmt.Sprintf("  - id: key-%d\n    hash: %s\n", i, hex.EncodeToString(sum[:]))
}

func mustParse(text string) *bundle.Bundle {
	bd, err := bundle.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	return bd
}
