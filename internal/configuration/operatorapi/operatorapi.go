package operatorapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/internal/membership/cluster"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/pb/configpb"
	"github.com/fulmarloft/fulmarloft/internal/request/requestbody"
	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/pkg/signoff"
)

// API serves the bundle to operators and publishes new ones. Each call is made by an authenticated operator, and each publication carries an operation id, so that a repeat has no further effect.
type API struct {
	ag       *cluster.Agent
	operator func(*http.Request) (string, error)
	lg       *event.Log
}

// Headers of the operators' requests and the responses to them.
const (
	OperationHeader = "fulmarloft-operation"
	SignOffHeader   = "fulmarloft-sign-off"
	VersionHeader   = "fulmarloft-version"
	CodeHeader      = "fulmarloft-code"
)

const maxBundleBytes = 8 << 20

// New returns the API over an entry's configuration agent; operator authenticates the sender of a request and returns the operator's name.
func New(ag *cluster.Agent, operator func(*http.Request) (string, error), lg *event.Log) *API {
	return &API{ag: ag, operator: operator, lg: lg}
}

// Routes registers the API's routes.
func (ap *API) Routes(rt *mux.Router) {
	rt.HandleFunc("/v1/bundle", ap.handle("bundle-get", ap.get)).Methods(http.MethodGet)
	rt.HandleFunc("/v1/bundle", ap.handle("bundle-publish", ap.publish)).Methods(http.MethodPost)
	rt.HandleFunc("/v1/bundle/status", ap.handle("bundle-status", ap.status)).Methods(http.MethodGet)
}

// handle returns a handler that refuses unauthenticated requests and logs the operator, the operation and the outcome of each request.
func (ap *API) handle(name string, fn func(wr http.ResponseWriter, rq *http.Request) error) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		operator, err := ap.operator(rq)
		if err == nil {
			err = fn(wr, rq)
		}
		operation := rq.Header.Get(OperationHeader)
		if err == nil {
			ap.lg.Info(name, "operator", operator, "operation", operation, "outcome", code.OK.String())
			return
		}
		ap.lg.Fail(name, err, "operator", operator, "operation", operation, "outcome", code.Of(err).String())
		cd := code.Of(err)
		wr.Header().Set(CodeHeader, strconv.Itoa(int(cd)))
		wr.WriteHeader(cd.Status())
		_, _ = fmt.Fprintln(wr, err)
	}
}

func (ap *API) get(wr http.ResponseWriter, _ *http.Request) error {
	bd := ap.ag.Bundle()
	if bd == nil {
		return code.NotYetKept.New("no bundle has been published yet")
	}
	raw, err := bd.Bytes()
	if err != nil {
		return err
	}
	wr.Header().Set("Content-Type", "application/yaml")
	wr.Header().Set(VersionHeader, strconv.FormatUint(bd.Version(), 10))
	_, err = wr.Write(raw)
	return err
}

func (ap *API) publish(wr http.ResponseWriter, rq *http.Request) error {
	operation := rq.Header.Get(OperationHeader)
	if operation == "" {
		return code.HeaderMalformed.New("%s: expected an operation id", OperationHeader)
	}
	var list []signoff.SignOff
	for _, text := range rq.Header.Values(SignOffHeader) {
		so, err := signoff.Parse(text)
		if err != nil {
			return err
		}
		list = append(list, so)
	}
	raw, err := io.ReadAll(http.MaxBytesReader(wr, rq.Body, maxBundleBytes))
	if err != nil {
		return requestbody.Error(err, code.BundleMalformed)
	}
	committed, err := ap.ag.Publish(rq.Context(), operation, raw, list)
	if err != nil {
		return err
	}
	ap.writePublished(wr, committed)
	return nil
}

// writePublished answers with the committed version and whether it is already accepted.
func (ap *API) writePublished(wr http.ResponseWriter, committed *configpb.Operation) {
	cd := code.Of(ap.ag.CheckAccepted(committed.GetVersion()))
	wr.Header().Set(CodeHeader, strconv.Itoa(int(cd)))
	wr.Header().Set(VersionHeader, strconv.FormatUint(committed.GetVersion(), 10))
	wr.WriteHeader(cd.Status())
	_, _ = fmt.Fprintf(wr, "version=%d hash=%s kept=true state=%s\n", committed.GetVersion(), committed.GetHash(), cd)
}

func (ap *API) status(wr http.ResponseWriter, rq *http.Request) error {
	st := ap.ag.Status()
	ap.ag.DriveAcceptance(st.GetVersion())
	if rq.Header.Get("Accept") == "application/json" {
		wr.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(wr).Encode(st)
	}
	state := code.NotYetInForce
	if st.GetAccepted() >= st.GetVersion() {
		state = code.OK
	}
	_, _ = fmt.Fprintf(wr, "version=%d hash=%s accepted=%d state=%s accepted-in-ms=%d roster-epoch=%d unsettled-rosters=%d lease-left-ms=%d\n",
		st.GetVersion(), st.GetHash(), st.GetAccepted(), state, st.GetAcceptedInMs(), st.GetRosterEpoch(), st.GetUnsettledRosters(), st.GetLeaseLeftMs())
	for _, en := range st.GetEntries() {
		_, _ = fmt.Fprintf(wr, "entry=%s incarnation=%s zone=%s version=%d age-ms=%d state=%s waited-for=%t\n",
			en.GetName(), en.GetIncarnation(), en.GetZone(), en.GetVersion(), en.GetAgeMs(), en.GetState(), en.GetWaitedFor())
	}
	return nil
}
