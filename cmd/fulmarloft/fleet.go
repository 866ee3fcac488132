package main

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// waveRequest is the body of a request that creates a wave.
type waveRequest struct {
	Name     string   `json:"name"`
	Pools    []string `json:"pools"`
	Zones    []string `json:"zones"`
	Racks    []string `json:"racks"`
	Parallel uint32   `json:"parallel"`
}

// vmRequest is the body of a request that moves, holds or releases a VM.
type vmRequest struct {
	Target string `json:"target"`
	Reason string `json:"reason"`
}

func fleetCommands(app *kingpin.Application) []command {
	cmds := waveCommands(app)
	cmds = append(cmds, vmCommands(app)...)
	return append(cmds, poolCommands(app)...)
}

func waveCommands(app *kingpin.Application) []command {
	wave := app.Command("wave", "Manage maintenance waves.")
	create := wave.Command("create", "Start a maintenance wave.")
	call := newAdminCall(create)
	req := &waveRequest{}
	create.Arg("name", "Name of the wave.").Required().StringVar(&req.Name)
	create.Flag("pool", "Pool to maintain; may be repeated. All pools if not given.").StringsVar(&req.Pools)
	create.Flag("zone", "Zone to maintain; may be repeated. All zones if not given.").StringsVar(&req.Zones)
	create.Flag("rack", "Rack to maintain, as zone/rack; may be repeated. All racks if not given.").StringsVar(&req.Racks)
	create.Flag("parallel", "Maximum number of VMs of one pool in maintenance at once.").Default("1").Uint32Var(&req.Parallel)
	cmds := []command{{create.FullCommand(), func() error { return sendFleetCall(call, http.MethodPost, "/v1/waves", req) }}}
	status := wave.Command("status", "Show the waves and what they are waiting for.")
	statusCall := newAdminCall(status)
	cmds = append(cmds, command{status.FullCommand(), func() error { return sendFleetCall(statusCall, http.MethodGet, "/v1/waves", nil) }})
	for _, verb := range []string{"pause", "resume", "cancel"} {
		cm := wave.Command(verb, "Tell the fleet to "+verb+" a wave.")
		verbCall := newAdminCall(cm)
		name := cm.Arg("name", "Name of the wave.").Required().String()
		cmds = append(cmds, command{cm.FullCommand(), func() error {
			return sendFleetCall(verbCall, http.MethodPost, "/v1/waves/"+url.PathEscape(*name)+"/"+verb, nil)
		}})
	}
	return cmds
}

func vmCommands(app *kingpin.Application) []command {
	vms := app.Command("vm", "List, move, hold and release VMs.")
	list := vms.Command("list", "List the VMs with their pools, states and reasons.")
	listCall := newAdminCall(list)
	pool := list.Flag("pool", "List only the VMs of this pool.").String()
	cmds := []command{{list.FullCommand(), func() error {
		return sendFleetCall(listCall, http.MethodGet, "/v1/vms?pool="+url.QueryEscape(*pool), nil)
	}}}
	for _, verb := range []string{"move", "hold", "release"} {
		cm := vms.Command(verb, map[string]string{
			"move":    "Drain a VM and return it to service in another pool.",
			"hold":    "Drain a VM and keep it out of service.",
			"release": "Return a held VM to service.",
		}[verb])
		call := newAdminCall(cm)
		req := &vmRequest{}
		name := cm.Arg("name", "Name of the VM.").Required().String()
		cm.Flag("reason", "Reason shown with the VM.").StringVar(&req.Reason)
		if verb == "move" {
			cm.Flag("to", "Pool that the VM moves to.").Required().StringVar(&req.Target)
		}
		cmds = append(cmds, command{cm.FullCommand(), func() error {
			return sendFleetCall(call, http.MethodPost, "/v1/vms/"+url.PathEscape(*name)+"/"+verb, req)
		}})
	}
	return cmds
}

func poolCommands(app *kingpin.Application) []command {
	pools := app.Command("pool", "Show pools and their availability.")
	list := pools.Command("list", "Show how many VMs of each pool are unavailable and how many may be.")
	listCall := newAdminCall(list)
	status := pools.Command("status", "Show how many VMs of one pool are unavailable and how many may be.")
	statusCall := newAdminCall(status)
	name := status.Arg("name", "Name of the pool.").Required().String()
	return []command{
		{list.FullCommand(), func() error { return sendFleetCall(listCall, http.MethodGet, "/v1/pools", nil) }},
		{status.FullCommand(), func() error {
			return sendFleetCall(statusCall, http.MethodGet, "/v1/pools?pool="+url.QueryEscape(*name), nil)
		}},
	}
}

// sendFleetCall calls a fleet route of the operator API with a JSON body and prints the answer as plain text.
func sendFleetCall(ac *adminCall, method, path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return code.Internal.Wrap(err)
	}
	return printBody(ac.send(method, path, http.Header{"Accept": {"text/plain"}}, raw))
}
