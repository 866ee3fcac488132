package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// jobCall holds the entry address, the key file and the timeout of the job commands.
type jobCall struct {
	entry   string
	keyFile string
	timeout time.Duration
}

// jobSpec is the body of a request that submits a job.
type jobSpec struct {
	ID           string  `json:"id"`
	Class        string  `json:"class"`
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory-mb"`
	Accelerators int64   `json:"accelerators"`
	RunMS        int64   `json:"run-ms"`
	Idempotent   bool    `json:"idempotent"`
	IssuedMS     int64   `json:"issued-ms"`
}

func jobCommands(app *kingpin.Application) []command {
	jc := &jobCall{}
	cm := app.Command("job", "Submit, inspect and cancel jobs of a team.")
	cm.Flag("entry", "Address of an entry for callers.").Default("127.0.0.1:8080").StringVar(&jc.entry)
	cm.Flag("key-file", "File with the secret of the team's key.").Required().StringVar(&jc.keyFile)
	cm.Flag("timeout", "Time after which the call is given up; a submission or cancellation may then have taken effect.").Default("1m").DurationVar(&jc.timeout)
	return []command{submitCommand(cm, jc), statusCommand(cm, jc), cancelCommand(cm, jc)}
}

func submitCommand(parent *kingpin.CmdClause, jc *jobCall) command {
	cm := parent.Command("submit", "Submit a job. If the outcome is unknown, repeat the command with the same id and issue time to learn it.")
	sp := &jobSpec{}
	cm.Flag("id", "Id of the job; generated if not given.").StringVar(&sp.ID)
	cm.Flag("issued-ms", "Time at which the id was generated, in Unix milliseconds; now if not given.").Int64Var(&sp.IssuedMS)
	cm.Flag("class", "Class of the job: urgent or normal.").Default("normal").EnumVar(&sp.Class, "urgent", "normal")
	cm.Flag("cores", "Number of CPU cores, which may be fractional.").Required().Float64Var(&sp.Cores)
	cm.Flag("memory-mb", "Memory in megabytes.").Required().Int64Var(&sp.MemoryMB)
	cm.Flag("accelerators", "Number of accelerators.").Int64Var(&sp.Accelerators)
	cm.Flag("run-ms", "Expected run time in milliseconds.").Required().Int64Var(&sp.RunMS)
	cm.Flag("idempotent", "Allow the job to run more than once.").BoolVar(&sp.Idempotent)
	return command{cm.FullCommand(), func() error {
		if sp.ID == "" {
			sp.ID = uuid.NewString()
		}
		if sp.IssuedMS == 0 {
			sp.IssuedMS = clock.New().Now()
		}
		raw, err := json.Marshal(sp)
		if err != nil {
			return code.Internal.Wrap(err)
		}
		fmt.Fprintf(os.Stderr, "id=%s issued-ms=%d\n", sp.ID, sp.IssuedMS)
		return jc.do(http.MethodPost, "/jobs", raw)
	}}
}

func statusCommand(parent *kingpin.CmdClause, jc *jobCall) command {
	cm := parent.Command("status", "Print the status of a job.")
	id := cm.Arg("id", "Id of the job.").Required().String()
	return command{cm.FullCommand(), func() error { return jc.do(http.MethodGet, "/jobs/"+*id, nil) }}
}

func cancelCommand(parent *kingpin.CmdClause, jc *jobCall) command {
	cm := parent.Command("cancel", "Cancel jobs.")
	ids := cm.Arg("id", "Ids of the jobs.").Required().Strings()
	return command{cm.FullCommand(), func() error {
		raw, err := json.Marshal(map[string][]string{"ids": *ids})
		if err != nil {
			return code.Internal.Wrap(err)
		}
		return jc.do(http.MethodPost, "/jobs/cancel", raw)
	}}
}

// do makes a call and prints the answer. If the status is 400 or above, it returns an error with the code of the answer.
func (jc *jobCall) do(method, path string, body []byte) error {
	secret, err := os.ReadFile(jc.keyFile)
	if err != nil {
		return code.KeyMissing.Wrap(err)
	}
	ctx, cancel := withTimeout(jc.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+jc.entry+path, bytes.NewReader(body))
	if err != nil {
		return code.HeaderMalformed.Wrap(err)
	}
	req.Header.Set("fulmarloft-key", strings.TrimSpace(string(secret)))
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return code.MayHaveRun.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return code.AnswerBroken.New("cannot read the response body: %w", err)
	}
	fmt.Println(string(text))
	if res.StatusCode >= http.StatusBadRequest {
		return refusalError(text)
	}
	return nil
}

func refusalError(text []byte) error {
	body := struct {
		Code   int    `json:"code"`
		Detail string `json:"detail"`
	}{Code: int(code.Internal)}
	if err := json.Unmarshal(text, &body); err != nil {
		return code.AnswerBroken.New("cannot decode the response body: %w", err)
	}
	return code.Code(body.Code).New("%s", body.Detail)
}
