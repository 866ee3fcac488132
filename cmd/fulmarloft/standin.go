package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/testbed/recorder"
	"github.com/fulmarloft/fulmarloft/internal/testbed/standin/endpoint"
	"github.com/fulmarloft/fulmarloft/internal/testbed/standin/platform"
)

const (
	standInLagMS    = 500
	standInRebootMS = 2000
	standInSlots    = 8
	standInRunMS    = 20
)

func standInCommands(app *kingpin.Application) []command {
	cm := app.Command("stand-in", "Run stand-ins for the platform and the endpoints of one pool.")
	addr := cm.Flag("address", "Listen address of the platform.").Default("127.0.0.1:9000").String()
	pool := cm.Flag("pool", "Pool of the endpoints.").Default("replies-pool").String()
	zones := cm.Flag("zone", "Zone of an endpoint; repeat it for each endpoint.").Default("zone-a", "zone-b", "zone-c").Strings()
	return []command{{cm.FullCommand(), func() error { return runStandIn(*addr, *pool, *zones) }}}
}

func runStandIn(addr, pool string, zones []string) error {
	ck := clock.New()
	pf, err := platform.New(ck, addr, standInLagMS, standInRebootMS)
	if err != nil {
		return err
	}
	defer pf.Close()
	rec := recorder.New()
	for i, zone := range zones {
		name := fmt.Sprintf("%s-%d", pool, i+1)
		ep, err := endpoint.New(ck, name, "127.0.0.1:0", standInSlots, func() int64 { return standInRunMS }, rec)
		if err != nil {
			return err
		}
		defer ep.Close()
		pf.PutVM(&platformpb.VM{
			Name: name, Incarnation: name + "-boot-0", Zone: zone, Rack: zone + "-rack-1",
			Address: ep.Address(), Kind: "endpoint", Pool: pool,
		})
	}
	fmt.Printf("platform=%s endpoints=%d\n", pf.Address(), len(zones))
	waitForSignal()
	return nil
}
