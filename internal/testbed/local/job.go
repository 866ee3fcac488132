package local

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// SubmitJob submits a job with one gigabyte of memory for a team and returns the code of the response; a repeated id has no second effect.
func (fl *Fleet) SubmitJob(ctx context.Context, team, id, class, cores, runMS string, idempotent bool) (code.Code, error) {
	body := fmt.Sprintf(`{"id":%q,"class":%q,"cores":%s,"memory-mb":1024,"run-ms":%s,"idempotent":%t,"issued-ms":%d}`,
		id, class, cores, runMS, idempotent, fl.ck.Now())
	got := struct {
		Code int `json:"code"`
	}{}
	err := fl.callJobAPI(ctx, http.MethodPost, team, "/jobs", body, &got)
	return code.Code(got.Code), err
}

// CancelJob requests the cancellation of a job.
func (fl *Fleet) CancelJob(ctx context.Context, team, id string) error {
	return fl.callJobAPI(ctx, http.MethodDelete, team, "/jobs/"+id, "", &struct{}{})
}

// JobState returns the state of a job as reported to its team, or an empty string if the job isn't known.
func (fl *Fleet) JobState(ctx context.Context, team, id string) (string, error) {
	got := struct {
		State string `json:"state"`
	}{}
	err := fl.callJobAPI(ctx, http.MethodGet, team, "/jobs/"+id, "", &got)
	return got.State, err
}

// callJobAPI sends a call with the team's key to the first entry that is ready and decodes the JSON response.
func (fl *Fleet) callJobAPI(ctx context.Context, method, team, path, body string, into any) error {
	targets := fl.Targets()
	if len(targets) == 0 {
		return code.NoEndpoint.New("no entry is ready")
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+targets[0]+path, strings.NewReader(body))
	if err != nil {
		return code.Internal.Wrap(err)
	}
	rq.Header.Set("fulmarloft-key", fl.secrets[team])
	res, err := fl.hc.Do(rq)
	if err != nil {
		return code.PeerUnreachable.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return code.PeerUnreachable.Wrap(err)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return code.Internal.New("cannot decode the response of %s: %w", path, err)
	}
	return nil
}
