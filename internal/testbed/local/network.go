package local

import (
	"context"
	"net"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/testbed/blackhole"
)

// network holds the connections between entries and can partition zones from each other.
type network struct {
	mu            sync.Mutex
	zoneByAddress map[string]string
	cut           map[zonePair]bool
	links         map[zonePair]*blackhole.Group
}

// zonePair holds two zones in alphabetic order.
type zonePair struct {
	a, b string
}

func newNetwork() *network {
	return &network{zoneByAddress: map[string]string{}, cut: map[zonePair]bool{}, links: map[zonePair]*blackhole.Group{}}
}

// setZone records the zone of an address.
func (nw *network) setZone(address, zone string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.zoneByAddress[address] = zone
}

// dialer returns the dial function of the entries of a zone. A dial into a zone that is cut off blocks until its context ends.
func (nw *network) dialer(ck *clock.Clock, zone string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		ctx, cancel := ck.WithTimeout(ctx, dialTimeoutMS)
		defer cancel()
		link, cut := nw.link(zone, address)
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		cn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return link.Wrap(cn), nil
	}
}

func (nw *network) link(zone, address string) (*blackhole.Group, bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	pr := newZonePair(zone, nw.zoneByAddress[address])
	if nw.links[pr] == nil {
		nw.links[pr] = blackhole.New()
	}
	return nw.links[pr], nw.cut[pr]
}

// setCut cuts a zone off from all others, or rejoins it. Connections that are open at a cut drop all data from then on, also after the zone is rejoined.
func (nw *network) setCut(zone string, cut bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for _, other := range nw.zoneByAddress {
		if other == zone {
			continue
		}
		pr := newZonePair(zone, other)
		nw.cut[pr] = cut
		if link := nw.links[pr]; cut && link != nil {
			link.DropData()
		}
	}
}

func newZonePair(a, b string) zonePair { return zonePair{min(a, b), max(a, b)} }
