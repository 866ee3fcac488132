package fleet_test

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/fulmarloft/fulmarloft/internal/machines/fleet"
	"github.com/fulmarloft/fulmarloft/internal/machines/fleettable"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
	"github.com/fulmarloft/fulmarloft/internal/store/platformclient"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/bundle"
)

func newClient(tab *table.Client, dr *driver) *table.Client {
	return table.New(
		func(ctx context.Context, req *platformpb.CommitRequest) (*platformpb.CommitReply, error) {
			return withCrash(dr, func() (*platformpb.CommitReply, error) { return tab.Commit(ctx, req) })
		},
		tab.Read,
	)
}

func decodePool(row *platformpb.Row) (*fleetpb.PoolRow, error) {
	msg := &fleetpb.PoolRow{}
	return msg, proto.Unmarshal(row.GetValue(), msg)
}

func decodeWave(row *platformpb.Row) (*fleetpb.WaveRow, error) {
	msg := &fleetpb.WaveRow{}
	return msg, proto.Unmarshal(row.GetValue(), msg)
}

// driverWithList returns a driver that reads the given VM list instead of the platform's.
func (bn *bench) driverWithList(name string, list *platformpb.VMList) *driver {
	dr := &driver{crashAt: -1}
	cl := platformclient.New(bn.sv.Address(), name)
	fixed := func(context.Context) (*platformpb.VMList, error) { return list, nil }
	dr.Fleet = fleet.New(name, bn.ck, fleettable.New(newClient(bn.sv.Table().Client(name), dr)), fixed, cl.Act, func() *bundle.Bundle { return bn.bd }, func(string) bool { return true })
	return dr
}
