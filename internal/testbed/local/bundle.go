package local

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/fulmarloft/fulmarloft/internal/configuration/publish"
	"github.com/fulmarloft/fulmarloft/internal/store/platformclient"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/key"
	"github.com/fulmarloft/fulmarloft/pkg/operator"
	"github.com/fulmarloft/fulmarloft/pkg/signoff"
	"github.com/fulmarloft/fulmarloft/pkg/team"
)

const (
	operatorName   = "jana"
	firstKeySuffix = "-1"
)

// makeBundle generates the first bundle, with a new operator key and one new key per team.
func (fl *Fleet) makeBundle() error {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	fl.signer = priv
	var sb strings.Builder
	sb.WriteString(bundleHeader)
	if err := writeSection(&sb, "operators", []operator.Operator{operator.New(operatorName, pub)}); err != nil {
		return err
	}
	if err := writeSection(&sb, "teams", fl.teams()); err != nil {
		return err
	}
	fl.writeServices(&sb)
	fl.writePools(&sb)
	fl.bundle = []byte(sb.String())
	return nil
}

const bundleHeader = `format: 1
version: 1
timing:
  config-lease-ms: 3000
  loan-lease-ms: 2000
  job-lease-ms: 20000
  request-memory-ms: 600000
  balancer-wait-ms: 1500
sign-offs-needed: 1
weights: {share: 3, roll-out-time: 3, buffer-cost: 1, moves: 1}
`

func (fl *Fleet) teams() []team.Team {
	var list []team.Team
	for _, ts := range fl.shape.teams {
		ky, secret := key.New(ts.name + firstKeySuffix)
		fl.secrets[ts.name] = secret
		list = append(list, team.New(ts.name, ts.share, ts.limit, ts.jobLimit, ky))
	}
	return list
}

func (fl *Fleet) writeServices(sb *strings.Builder) {
	sb.WriteString("services:\n")
	for _, svc := range fl.shape.services {
		queue := "teams"
		if fl.shape.open(svc) {
			queue = "open"
		}
		fmt.Fprintf(sb, "  - {name: %s, queue: %s, idempotent: %t, pool: %s-pool, deadline-ms: 2000, longest-run-ms: 4000, max-body-bytes: 65536, max-answer-bytes: 65536, max-queued: 500}\n",
			svc, queue, fl.shape.idempotent(svc), svc)
	}
}

func (fl *Fleet) writePools(sb *strings.Builder) {
	sb.WriteString("pools:\n")
	for _, pl := range fl.shape.pools() {
		fmt.Fprintf(sb, "  - {name: %s, size: %d, max-unavailable: %d, spare: %t, kind: endpoint}\n", pl.name, pl.size, pl.maxUnavailable(), pl.spare)
	}
	fmt.Fprintf(sb, "  - {name: %s, size: %d, max-unavailable: %d, kind: worker}\n", workerPool, fl.shape.workers, min(workersPerRack+1, fl.shape.workers))
	if fl.shape.idleVMs > 0 {
		fmt.Fprintf(sb, "  - {name: %s, size: %d, max-unavailable: %d, kind: worker}\n", idlePool, fl.shape.idleVMs, min(workersPerRack+1, fl.shape.idleVMs))
	}
}

// publishFirstBundle publishes the first bundle directly at the platform, before any entry runs.
func (fl *Fleet) publishFirstBundle(ctx context.Context) error {
	bd, err := bundle.Parse(fl.bundle)
	if err != nil {
		return err
	}
	pc := platformclient.New(fl.pf.Address(), operatorName)
	pb := publish.New(table.New(pc.Commit, pc.Read), pc.PutObject, pc.Object,
		func(_, _ *bundle.Bundle) error { return nil }, func() uint64 { return 0 })
	_, err = pb.Publish(ctx, "first-bundle", fl.bundle, []signoff.SignOff{signoff.New(operatorName, fl.signer, bd.Hash())})
	return err
}

// firstPeers returns the peer addresses for the settings of an entry that starts. The system chooses the ports, so only entries that already run have an address.
func (fl *Fleet) firstPeers(name string) string {
	var list []string
	for _, en := range fl.Entries() {
		if en.Name() != name {
			list = append(list, en.PeerAddress())
		}
	}
	return strings.Join(list, ", ")
}

func writeSection(sb *strings.Builder, name string, val any) error {
	raw, err := yaml.Marshal(map[string]any{name: val})
	if err != nil {
		return code.Internal.Wrap(err)
	}
	sb.Write(raw)
	return nil
}
