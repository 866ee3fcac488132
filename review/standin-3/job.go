package main

import "encoding/json"

const (
	queueHost = "jobs.example"
	clientKey = "key-of-the-client"
	tenant    = "tenant-1"
)

// step is a step of a job as a client submits it.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	Memory        int64  `json:"mem_mb,omitempty"`
	EstimateMS    int64  `json:"estimated_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	MaxPerMinion  int    `json:"anti_affinity,omitempty"`
	Duplicates    bool   `json:"allow_duplicates,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	MissAllowance int    `json:"miss_allowance,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMS      int64  `json:"target_ms,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
}

// job is a job that the client submits, and how its tasks behave.
type job struct {
	id      string
	prefix  string
	spec    string
	steps   []step
	advised bool
	repeat  int
	startMS int64
	everyMS int64
	// behave returns how long a run works and whether it fails then.
	behave func(rk runKey) (workMS int64, fails bool)
}

// body returns the body of the job's submission.
func (jb *job) body() string {
	content := map[string]any{"spec": jb.spec, "steps": jb.steps}
	if jb.repeat > 0 {
		content["repeat_count"], content["start_at_ms"], content["interval_ms"] = jb.repeat, jb.startMS, jb.everyMS
	}
	raw, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	return string(raw)
}

// worksFor returns the behaviour of tasks that are done after a time.
func worksFor(workMS int64) func(runKey) (int64, bool) {
	return func(runKey) (int64, bool) { return workMS, false }
}
