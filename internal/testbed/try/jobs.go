package try

import (
	"context"
	"fmt"
	"strconv"

	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const (
	jobsPerTeam = 3
	jobCores    = 8
	jobRunMS    = 1500
	jobDone     = "done"
	jobNormal   = "normal"
	jobUrgent   = "urgent"
)

// submitJobs submits non-idempotent jobs for each team, the first of them urgent.
func (tr *Trial) submitJobs(ctx context.Context) error {
	tr.progressf("submitting %d jobs", jobsPerTeam*len(tr.fl.Teams()))
	tr.jobsStartMS = tr.ck.Now()
	return tr.eachJob(func(team, id, class string) error {
		return tr.waitUntil(ctx, eventTimeoutMS, func() bool {
			cd, err := tr.fl.SubmitJob(ctx, team, id, class, strconv.Itoa(jobCores), strconv.Itoa(jobRunMS), false)
			return err == nil && cd == code.OK
		})
	})
}

// finishJobs waits until all jobs are done.
func (tr *Trial) finishJobs(ctx context.Context) error {
	err := tr.eachJob(func(team, id, _ string) error {
		return tr.waitUntil(ctx, eventTimeoutMS, func() bool {
			state, err := tr.fl.JobState(ctx, team, id)
			return err == nil && state == jobDone
		})
	})
	if err != nil {
		return err
	}
	tr.addFact("jobs", "%d done after %d ms", jobsPerTeam*len(tr.fl.Teams()), tr.ck.Now()-tr.jobsStartMS)
	return nil
}

// eachJob calls the function for each job of each team until it returns an error.
func (tr *Trial) eachJob(fn func(team, id, class string) error) error {
	for _, team := range tr.fl.Teams() {
		for i := range jobsPerTeam {
			class := jobNormal
			if i == 0 {
				class = jobUrgent
			}
			if err := fn(team, fmt.Sprintf("job-%d", i+1), class); err != nil {
				return err
			}
		}
	}
	return nil
}
