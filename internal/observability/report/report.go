package report

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/fulmarloft/fulmarloft/internal/testbed/loadstats"
)

// Report holds the outcomes of each team's requests, measurements and the guarantees that were violated.
type Report struct {
	user       string
	results    []*loadstats.Tally
	facts      []fact
	violations []string
	// unanswered names the streams without an answer.
	unanswered []string
}

// fact is a named measurement.
type fact struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// row is the summary of one team in the report.
type row struct {
	Team     string `json:"team"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	NotRun   int    `json:"not-run"`
	Unknown  int    `json:"unknown"`
	P50      int64  `json:"p50-ms"`
	P99      int64  `json:"p99-ms"`
}

const (
	median         = 50
	tailPercentile = 99
)

// New returns a report on the results of a finished load test. An incomplete answer that claimed to be complete counts as a violation.
func New(user string, results []*loadstats.Tally) *Report {
	rp := &Report{user: user, results: results}
	for _, rs := range results {
		if rs.Broken() > 0 {
			rp.AddViolation("team %s received %d incomplete answers marked as complete", rs.Team(), rs.Broken())
		}
	}
	return rp
}

// Passed reports whether no guarantee was violated.
func (rp *Report) Passed() bool { return len(rp.violations) == 0 }

// Violations returns a description of each violated guarantee.
func (rp *Report) Violations() []string { return rp.violations }

// Answered reports whether any request was answered; if none was, no guarantee was checked.
func (rp *Report) Answered() bool {
	return slices.ContainsFunc(rp.results, func(rs *loadstats.Tally) bool { return rs.Answered() > 0 })
}

// WriteText writes the report as tables.
func (rp *Report) WriteText(out io.Writer) {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "team\tsent\tanswered\tnot run\tunknown\tp50 ms\tp99 ms\t")
	for _, rw := range rp.rows() {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", rw.Team, rw.Sent, rw.Answered, rw.NotRun, rw.Unknown, rw.P50, rw.P99)
	}
	_ = tw.Flush()
	for _, fc := range rp.facts {
		_, _ = fmt.Fprintf(out, "%s: %s\n", fc.Name, fc.Value)
	}
	for _, text := range rp.violations {
		_, _ = fmt.Fprintf(out, "broken: %s\n", text)
	}
	if !rp.Answered() {
		_, _ = fmt.Fprintln(out, "nothing was answered, so no promise was checked")
		return
	}
	for _, name := range rp.unanswered {
		_, _ = fmt.Fprintf(out, "the stream of %s was never answered, so no promise was checked on it\n", name)
	}
	if rp.Passed() && len(rp.unanswered) == 0 {
		_, _ = fmt.Fprintln(out, "every checked promise held")
	}
}

// WriteJSON writes the report as one JSON object.
func (rp *Report) WriteJSON(out io.Writer) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(map[string]any{"user": rp.user, "teams": rp.rows(), "facts": rp.facts, "broken": rp.violations, "unanswered": rp.unanswered, "held": rp.Passed() && rp.Answered() && len(rp.unanswered) == 0})
}

func (rp *Report) rows() []row {
	var list []row
	for _, rs := range rp.results {
		list = append(list, row{
			Team: rs.Team(), Sent: rs.Sent(), Answered: rs.Answered(), NotRun: rs.NotRun(), Unknown: rs.Unknown(),
			P50: rs.QuantileMS(median), P99: rs.QuantileMS(tailPercentile),
		})
	}
	return list
}

// AddViolation adds a violated guarantee.
func (rp *Report) AddViolation(format string, args ...any) {
	rp.violations = append(rp.violations, fmt.Sprintf(format, args...))
}

// AddUnanswered adds a stream of which no request was answered, so that no guarantee was checked on it.
func (rp *Report) AddUnanswered(name string) { rp.unanswered = append(rp.unanswered, name) }

// AddFact adds a named measurement.
func (rp *Report) AddFact(name, value string) { rp.facts = append(rp.facts, fact{name, value}) }
