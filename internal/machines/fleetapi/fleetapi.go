package fleetapi

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/internal/machines/fleet"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/internal/request/requestbody"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// API shows operators one process's view of the fleet and changes VMs and waves. Each change carries an operation id, so that a repeat has no further effect.
type API struct {
	fl       *fleet.Fleet
	operator func(*http.Request) (string, error)
}

const (
	operationHeader = "fulmarloft-operation"
	codeHeader      = "fulmarloft-code"
	maxBodyBytes    = 64 << 10
	contentText     = "text/plain"
)

// New returns an API over the fleet; operator authenticates the sender of a request and returns the operator's name.
func New(fl *fleet.Fleet, operator func(*http.Request) (string, error)) *API {
	return &API{fl: fl, operator: operator}
}

// Routes registers the API's routes under /v1.
func (ap *API) Routes(rt *mux.Router) {
	rt.HandleFunc("/v1/waves", ap.guard(ap.waves)).Methods(http.MethodGet)
	rt.HandleFunc("/v1/waves", ap.guard(ap.createWave)).Methods(http.MethodPost)
	rt.HandleFunc("/v1/waves/{name}/{verb:pause|resume|cancel}", ap.guard(ap.changeWave)).Methods(http.MethodPost)
	rt.HandleFunc("/v1/vms", ap.guard(ap.vms)).Methods(http.MethodGet)
	rt.HandleFunc("/v1/vms/{name}/{verb:move|hold|release}", ap.guard(ap.changeVM)).Methods(http.MethodPost)
	rt.HandleFunc("/v1/pools", ap.guard(ap.pools)).Methods(http.MethodGet)
}

// guard authenticates the sender, calls the handler and writes its result or the code of its error.
func (ap *API) guard(handle func(rq *http.Request, operator string) ([]line, error)) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		name, err := ap.operator(rq)
		var lines []line
		if err == nil {
			lines, err = handle(rq, name)
		}
		if err != nil {
			writeError(wr, err)
			return
		}
		writeLines(wr, rq, lines)
	}
}

func (ap *API) waves(rq *http.Request, _ string) ([]line, error) {
	list, err := ap.fl.Waves(rq.Context())
	if err != nil {
		return nil, err
	}
	var lines []line
	for _, row := range list.GetWaves() {
		lines = append(lines, waveLine(row))
	}
	for _, reason := range ap.fl.WaitReasons() {
		lines = append(lines, line{{"waits", reason}})
	}
	return lines, nil
}

// waveBody is the body of a request that creates a wave.
type waveBody struct {
	Name     string   `json:"name"`
	Pools    []string `json:"pools"`
	Zones    []string `json:"zones"`
	Racks    []string `json:"racks"`
	Parallel uint32   `json:"parallel"`
}

func (ap *API) createWave(rq *http.Request, operator string) ([]line, error) {
	body := waveBody{}
	if err := decode(rq, &body); err != nil {
		return nil, err
	}
	row := &fleetpb.WaveRow{Name: body.Name, Pools: body.Pools, Zones: body.Zones, Racks: body.Racks, Parallel: body.Parallel}
	wv, err := ap.fl.CreateWave(rq.Context(), rq.Header.Get(operationHeader), operator, row)
	if err != nil {
		return nil, err
	}
	return []line{waveLine(wv.Row())}, nil
}

func (ap *API) changeWave(rq *http.Request, operator string) ([]line, error) {
	vars := mux.Vars(rq)
	wv, err := ap.fl.ChangeWave(rq.Context(), rq.Header.Get(operationHeader), operator, vars["name"], vars["verb"])
	if err != nil {
		return nil, err
	}
	return []line{waveLine(wv.Row())}, nil
}

func (ap *API) vms(rq *http.Request, _ string) ([]line, error) {
	list, err := ap.fl.VMs(rq.Context(), rq.URL.Query().Get("pool"))
	if err != nil {
		return nil, err
	}
	var lines []line
	for _, row := range list.GetVms() {
		lines = append(lines, vmLine(row))
	}
	return lines, nil
}

// vmBody is the body of a request that moves, holds or releases a VM.
type vmBody struct {
	Target string `json:"target"`
	Reason string `json:"reason"`
}

func (ap *API) changeVM(rq *http.Request, operator string) ([]line, error) {
	body := vmBody{}
	if err := decode(rq, &body); err != nil {
		return nil, err
	}
	vars := mux.Vars(rq)
	operation := rq.Header.Get(operationHeader)
	reason := vars["verb"] + " by " + operator
	if body.Reason != "" {
		reason += ": " + body.Reason
	}
	change := ap.fl.ReleaseVM
	switch vars["verb"] {
	case "move":
		vm, err := ap.fl.MoveVM(rq.Context(), operation, vars["name"], body.Target, reason)
		if err != nil {
			return nil, err
		}
		return []line{vmLine(vm.Row())}, nil
	case "hold":
		change = ap.fl.HoldVM
	}
	vm, err := change(rq.Context(), operation, vars["name"], reason)
	if err != nil {
		return nil, err
	}
	return []line{vmLine(vm.Row())}, nil
}

func (ap *API) pools(rq *http.Request, _ string) ([]line, error) {
	list, err := ap.fl.Pools(rq.Context())
	if err != nil {
		return nil, err
	}
	name := rq.URL.Query().Get("pool")
	var lines []line
	for _, ps := range list.GetPools() {
		if name == "" || name == ps.GetName() {
			lines = append(lines, poolLine(ps))
		}
	}
	return lines, nil
}

func decode(rq *http.Request, body any) error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, rq.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(body); err != nil {
		return requestbody.Error(err, code.HeaderMalformed)
	}
	return nil
}
