package jobapi

import (
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"

	"github.com/gorilla/mux"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/metric"
	"github.com/fulmarloft/fulmarloft/internal/pb/jobpb"
	"github.com/fulmarloft/fulmarloft/internal/request/refusal"
	"github.com/fulmarloft/fulmarloft/internal/request/requestbody"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/job"
	"github.com/fulmarloft/fulmarloft/internal/scheduling/size"
	"github.com/fulmarloft/fulmarloft/internal/store/table"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// API stores jobs submitted over HTTP as rows of the table. Its fields are its dependencies on the rest of the entry; all must be set before use.
type API struct {
	Clock  *clock.Clock
	Table  *table.Client
	Log    *event.Log
	Metric *metric.Registry
	// Authenticate returns the team that a secret belongs to, or an error with the code of the refusal.
	Authenticate func(secret string) (string, error)
	// CheckKeyed returns an error while this entry must not accept work under a team's key.
	CheckKeyed func() error
	// Enter counts a call as in flight, or returns an error if this entry accepts no new ones; Leave records that the call has ended.
	Enter func() error
	Leave func()
	// Closing reports whether answers must ask the caller to open a new connection.
	Closing func() bool
	// Impossible reports whether no VM of the fleet is large enough for the size.
	Impossible func(need size.Size) bool
	// RetentionMS returns how long an ended job is kept, in milliseconds.
	RetentionMS func() int64
	// NewID returns a unique id.
	NewID func() string
}

const (
	keyHeader       = "fulmarloft-key"
	codeHeader      = "fulmarloft-code"
	outcomeHeader   = "fulmarloft-outcome"
	contentTypeJSON = "application/json"
	maxBodyBytes    = 256 << 10
	maxIDs          = 4000
	classUrgent     = "urgent"
	classNormal     = "normal"
	teamSeparator   = "/"
	outcomeUnknown  = "unknown"
	outcomeNotRun   = "not-run"
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

type submitBody struct {
	ID           string  `json:"id"`
	Class        string  `json:"class"`
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory-mb"`
	Accelerators int64   `json:"accelerators"`
	RunMS        int64   `json:"run-ms"`
	Idempotent   bool    `json:"idempotent"`
	IssuedMS     int64   `json:"issued-ms"`
}

type cancelBody struct {
	IDs []string `json:"ids"`
}

type statusBody struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	Outcome      string `json:"outcome"`
	Code         int32  `json:"code"`
	CodeName     string `json:"code-name"`
	Attempts     uint32 `json:"attempts"`
	Worker       string `json:"worker,omitempty"`
	CancelWanted bool   `json:"cancel-wanted"`
}

type errorBody struct {
	Outcome  string `json:"outcome"`
	Code     int    `json:"code"`
	CodeName string `json:"code-name"`
	Detail   string `json:"detail"`
}

// Routes registers the API's routes on a router.
func (ap *API) Routes(rt *mux.Router) {
	rt.HandleFunc("/jobs", ap.guard(ap.submit)).Methods(http.MethodPost)
	rt.HandleFunc("/jobs/cancel", ap.guard(ap.cancelMany)).Methods(http.MethodPost)
	rt.HandleFunc("/jobs/{id}", ap.guard(ap.status)).Methods(http.MethodGet)
	rt.HandleFunc("/jobs/{id}", ap.guard(ap.cancel)).Methods(http.MethodDelete)
}

// guard refuses calls once the entry is draining, and keeps the drain waiting for those in flight.
func (ap *API) guard(handle http.HandlerFunc) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		if ap.Closing() {
			wr.Header().Set("Connection", "close")
		}
		if err := ap.Enter(); err != nil {
			ap.refuse(wr, rq, err)
			return
		}
		defer ap.Leave()
		handle(wr, rq)
	}
}

func (ap *API) submit(wr http.ResponseWriter, rq *http.Request) {
	jb, err := ap.parseSubmission(rq)
	if err == nil {
		jb, err = ap.store(rq.Context(), jb)
	}
	if err != nil {
		ap.refuse(wr, rq, err)
		return
	}
	ap.Metric.Count(1, "jobs", "team", jb.Row().GetTeam(), "submitted")
	ap.Log.Info("job-submitted", "job", jb.Row().GetId(), "team", jb.Row().GetTeam(), "class", jb.Row().GetClass().String())
	writeJob(wr, http.StatusAccepted, jb)
}

func (ap *API) status(wr http.ResponseWriter, rq *http.Request) {
	team, err := ap.callerTeam(rq)
	if err != nil {
		ap.refuse(wr, rq, err)
		return
	}
	found, err := ap.find(rq.Context(), team, mux.Vars(rq)["id"])
	if err != nil {
		ap.refuse(wr, rq, err)
		return
	}
	writeJob(wr, http.StatusOK, found.job)
}

func (ap *API) cancel(wr http.ResponseWriter, rq *http.Request) {
	team, err := ap.callerTeam(rq)
	if err != nil {
		ap.refuse(wr, rq, err)
		return
	}
	list, err := ap.cancelAll(rq.Context(), team, []string{mux.Vars(rq)["id"]})
	if err == nil && len(list) == 0 {
		err = code.JobUnknown.New("job %q does not exist", mux.Vars(rq)["id"])
	}
	if err != nil {
		ap.refuse(wr, rq, err)
		return
	}
	writeJob(wr, http.StatusOK, list[0])
}

func (ap *API) cancelMany(wr http.ResponseWriter, rq *http.Request) {
	team, err := ap.callerTeam(rq)
	body := cancelBody{}
	if err == nil {
		err = decode(rq, &body)
	}
	if err == nil && len(body.IDs) > maxIDs {
		err = code.BodyTooLarge.New("ids: expected at most %d entries, got %d", maxIDs, len(body.IDs))
	}
	var list []job.Job
	if err == nil {
		list, err = ap.cancelAll(rq.Context(), team, body.IDs)
	}
	if err != nil {
		ap.refuse(wr, rq, err)
		return
	}
	states := make([]statusBody, 0, len(list))
	for _, jb := range list {
		states = append(states, statusOf(jb))
	}
	writeJSON(wr, http.StatusOK, states)
}

// callerTeam authenticates a call and returns its team.
func (ap *API) callerTeam(rq *http.Request) (string, error) {
	secret := rq.Header.Get(keyHeader)
	if secret == "" {
		return "", code.KeyMissing.New("header %s is missing", keyHeader)
	}
	if err := ap.CheckKeyed(); err != nil {
		return "", err
	}
	return ap.Authenticate(secret)
}

// parseSubmission returns the queued job that a submission describes.
func (ap *API) parseSubmission(rq *http.Request) (job.Job, error) {
	team, err := ap.callerTeam(rq)
	if err != nil {
		return job.Job{}, err
	}
	body := submitBody{Class: classNormal}
	if err := decode(rq, &body); err != nil {
		return job.Job{}, err
	}
	if err := ap.check(&body); err != nil {
		return job.Job{}, err
	}
	declared := size.OfCores(body.Cores, body.MemoryMB, body.Accelerators)
	if ap.Impossible(declared) {
		return job.Job{}, code.JobImpossible.New("job %q: no VM of the fleet has %v cores, %d MB and %d accelerators", body.ID, body.Cores, body.MemoryMB, body.Accelerators)
	}
	row := &jobpb.JobRow{
		Id: team + teamSeparator + body.ID, Team: team,
		CoresMilli: declared.CoresMilli(), MemoryMb: declared.MemoryMB(), Accelerators: declared.Accelerators(),
		RunMs: body.RunMS, Idempotent: body.Idempotent, SubmittedMs: ap.Clock.Now(), IssuedMs: body.IssuedMS,
		Operation: "submit-" + ap.NewID(),
	}
	if body.Class == classUrgent {
		row.Class = jobpb.Class_URGENT
	}
	return job.New(row), nil
}

func (ap *API) check(body *submitBody) error {
	switch {
	case !idPattern.MatchString(body.ID):
		return code.HeaderMalformed.New("id: expected 1 to 128 letters, digits, dots, dashes or underscores")
	case body.Class != classNormal && body.Class != classUrgent:
		return code.HeaderMalformed.New("class: expected normal or urgent")
	case body.Cores <= 0 || body.MemoryMB <= 0 || body.RunMS <= 0 || body.Accelerators < 0:
		return code.HeaderMalformed.New("expected cores, memory-mb and run-ms above 0 and accelerators of 0 or more, got %v, %d, %d and %d", body.Cores, body.MemoryMB, body.RunMS, body.Accelerators)
	}
	return ap.checkAge(body)
}

// checkAge refuses a submission that may repeat one whose outcome is no longer kept. It accepts ages up to half the retention period; the other half allows for clock skew.
func (ap *API) checkAge(body *submitBody) error {
	if body.IssuedMS == 0 && body.Idempotent {
		return nil
	}
	if body.IssuedMS <= 0 {
		return code.HeaderMalformed.New("issued-ms: expected the time at which the id was issued, because the job is not idempotent")
	}
	age := ap.Clock.Now() - body.IssuedMS
	if age > ap.RetentionMS()/2 || age < -ap.RetentionMS()/2 {
		return code.RequestIDTooOld.New("issued-ms: expected at most %d ms before or after the time of this entry, got %d ms before", ap.RetentionMS()/2, age)
	}
	return nil
}

func decode(rq *http.Request, into any) error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, rq.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return requestbody.Error(err, code.BodyBroken)
	}
	return nil
}

// refuse logs and counts a failed call and answers it with the code of its error.
func (ap *API) refuse(wr http.ResponseWriter, rq *http.Request, err error) {
	cd := code.Of(err)
	outcome := outcomeNotRun
	if cd == code.TableInDoubt {
		outcome = outcomeUnknown
	}
	ap.Log.Fail("job-request-refused", err, "method", rq.Method, "path", rq.URL.Path)
	ap.Metric.Count(1, "jobs", "refused", cd.String())
	wr.Header().Set(codeHeader, strconv.Itoa(int(cd)))
	refusal.SetRetryAfter(wr.Header(), refusal.RetryAfterMS(err))
	if rq.Method == http.MethodPost {
		wr.Header().Set(outcomeHeader, outcome)
	}
	writeJSON(wr, cd.Status(), errorBody{Outcome: outcome, Code: int(cd), CodeName: cd.String(), Detail: err.Error()})
}

func writeJob(wr http.ResponseWriter, status int, jb job.Job) {
	wr.Header().Set(codeHeader, strconv.Itoa(int(jb.Code())))
	wr.Header().Set(outcomeHeader, jb.Outcome())
	writeJSON(wr, status, statusOf(jb))
}

func writeJSON(wr http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		wr.WriteHeader(http.StatusInternalServerError)
		return
	}
	wr.Header().Set("Content-Type", contentTypeJSON)
	wr.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	wr.WriteHeader(status)
	_, _ = wr.Write(raw)
}

// statusOf returns a job's state as its team sees it, without the team's prefix in the id.
func statusOf(jb job.Job) statusBody {
	st := jb.Status()
	return statusBody{
		ID: st.GetId()[len(jb.Row().GetTeam())+len(teamSeparator):], State: st.GetState(), Outcome: st.GetOutcome(),
		Code: st.GetCode(), CodeName: st.GetCodeName(), Attempts: st.GetAttempts(), Worker: st.GetWorker(), CancelWanted: st.GetCancelWanted(),
	}
}
