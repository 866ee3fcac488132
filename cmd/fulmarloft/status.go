package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/clock"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const statusHelp = `Say what platform entries believe now: who owns scheduling and since when, waiting jobs by queue, VMs by state, the age of the rules, lost changes, and what is in doubt.

Example: fulmarloft status 10.1.0.23:7000 10.2.0.15:7000

Each address is the one that serves an entry's metrics. Exit status: 0 if all entries answered, else 1.`

// entryStatus is the part of an entry's status that is printed as text.
type entryStatus struct {
	Entry        string            `json:"entry"`
	Zone         string            `json:"zone"`
	Ready        bool              `json:"ready"`
	Draining     bool              `json:"draining"`
	Owner        bool              `json:"owner"`
	Token        string            `json:"token"`
	OwnerMS      int64             `json:"owner-for-ms"`
	SchedulingMS int64             `json:"scheduling-for-ms"`
	RenewedMS    int64             `json:"renewed-ms-ago"`
	VMs          map[string]int    `json:"vms"`
	SlowVMs      []string          `json:"slow-vms"`
	RunsInDoubt  int64             `json:"runs-in-doubt"`
	Unanswered   int64             `json:"starts-unanswered"`
	LostMS       map[string]int64  `json:"changes-lost-ms"`
	Restoring    string            `json:"restoring"`
	RestoringMS  int64             `json:"restoring-for-ms"`
	RestoredB    int64             `json:"restored-bytes"`
	Takeovers    int64             `json:"takeovers"`
	Unfinished   int64             `json:"unfinished-takeovers"`
	RulesVersion int64             `json:"rules-version"`
	RulesAgeMS   int64             `json:"rules-age-ms"`
	ShareLevels  map[string]string `json:"share-levels"`
	Waiting      map[string]int    `json:"waiting"`
	WaitingError string            `json:"waiting-error"`
	// Refused counts the submissions refused as hopeless, by queue and team.
	Refused map[string]map[string]int `json:"refused"`
	// Waits holds the services whose work waits.
	Waits map[string]serviceWait `json:"waits"`
}

// serviceWait is the part of a service's estimate that is printed as text.
type serviceWait struct {
	WaitMS    int64               `json:"wait-ms"`
	RoomMilli int64               `json:"room-milli"`
	AgeMS     int64               `json:"age-ms"`
	Teams     map[string]teamWait `json:"teams"`
}

// teamWait is the part of a team's wait that is printed as text.
type teamWait struct {
	WaitingCoreMS int64 `json:"waiting-core-ms"`
	ShareLevel    int   `json:"share-level"`
}

func statusCommands(app *kingpin.Application) []command {
	cm := app.Command("status", statusHelp)
	addresses := cm.Arg("address", "Metrics address of an entry.").Required().Strings()
	timeout := cm.Flag("timeout", "Time after which an entry counts as unreachable.").Default("3s").Duration()
	asJSON := cm.Flag("json", "Print the entries' answers, one JSON object a line.").Bool()
	return []command{{cm.FullCommand(), func() error { return runStatus(*addresses, *timeout, *asJSON) }}}
}

func runStatus(addresses []string, timeout time.Duration, asJSON bool) error {
	var unreachable []string
	var owners []string
	for _, address := range addresses {
		raw, err := fetchStatus(address, timeout)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", address, err)
			unreachable = append(unreachable, address)
			continue
		}
		var st entryStatus
		if err := json.Unmarshal(raw, &st); err != nil {
			return code.Internal.New("%s: %w", address, err)
		}
		if asJSON {
			fmt.Printf("%s\n", raw)
			continue
		}
		st.write(os.Stdout)
		if st.Owner {
			owners = append(owners, st.Entry)
		}
	}
	if !asJSON {
		writeOwners(os.Stdout, owners)
	}
	if len(unreachable) > 0 {
		return code.PeerUnreachable.New("%d of %d entries did not answer: %s", len(unreachable), len(addresses), strings.Join(unreachable, ", "))
	}
	return nil
}

// fetchStatus returns an entry's status.
func fetchStatus(address string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := clock.New().WithTimeout(context.Background(), timeout.Milliseconds())
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	res, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, code.PeerUnreachable.New("status %d: expected an address that serves the metrics of a platform entry", res.StatusCode)
	}
	return io.ReadAll(res.Body)
}

func (st *entryStatus) write(out io.Writer) {
	state := "not ready"
	switch {
	case st.Draining:
		state = "draining"
	case st.Ready:
		state = "ready"
	}
	fmt.Fprintf(out, "%s (%s): %s; rules %d, confirmed %d ms ago\n", st.Entry, st.Zone, state, st.RulesVersion, st.RulesAgeMS)
	for _, table := range slices.Sorted(maps.Keys(st.LostMS)) {
		fmt.Fprintf(out, "  changes of %s lost for %d ms\n", table, st.LostMS[table])
	}
	if st.WaitingError != "" {
		fmt.Fprintf(out, "  waiting jobs unknown: %s\n", st.WaitingError)
	} else {
		fmt.Fprintf(out, "  waiting jobs: %s\n", counts(st.Waiting))
	}
	if st.Restoring != "" {
		fmt.Fprintf(out, "  %s restores for %d ms and has read %d bytes\n", st.Restoring, st.RestoringMS, st.RestoredB)
	}
	if st.Takeovers > 0 {
		fmt.Fprintf(out, "  took over %d times since it started, %d of them without scheduling\n", st.Takeovers, st.Unfinished)
	}
	for _, queue := range slices.Sorted(maps.Keys(st.Refused)) {
		fmt.Fprintf(out, "  submissions to queue %s refused as hopeless: %s\n", queue, counts(st.Refused[queue]))
	}
	if !st.Owner {
		return
	}
	fmt.Fprintf(out, "  owns scheduling for %d ms with token %s, schedules for %d ms, last commit %d ms ago\n", st.OwnerMS, st.Token, st.SchedulingMS, st.RenewedMS)
	fmt.Fprintf(out, "  VMs: %s\n", counts(st.VMs))
	for _, service := range slices.Sorted(maps.Keys(st.ShareLevels)) {
		fmt.Fprintf(out, "  teams above their share of %s, with their levels: %s\n", service, st.ShareLevels[service])
	}
	if len(st.SlowVMs) > 0 {
		fmt.Fprintf(out, "  slow VMs: %s\n", strings.Join(st.SlowVMs, ", "))
	}
	fmt.Fprintf(out, "  in doubt: %d runs on VMs that don't answer; %d starts got no answer since it took over\n", st.RunsInDoubt, st.Unanswered)
	for _, name := range slices.Sorted(maps.Keys(st.Waits)) {
		st.Waits[name].write(out, name)
	}
}

// write writes the wait of a service and of its teams.
func (sw serviceWait) write(out io.Writer, name string) {
	fmt.Fprintf(out, "  service %s: a new job waits %d ms for %d thousandths of a core, %d ms ago\n", name, sw.WaitMS, sw.RoomMilli, sw.AgeMS)
	for _, team := range slices.Sorted(maps.Keys(sw.Teams)) {
		fmt.Fprintf(out, "    team %s: %d core-milliseconds wait, level %d above its share\n", team, sw.Teams[team].WaitingCoreMS, sw.Teams[team].ShareLevel)
	}
}

// counts returns counts by name as text.
func counts(by map[string]int) string {
	if len(by) == 0 {
		return "none"
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(by)) {
		out = append(out, fmt.Sprintf("%s %d", name, by[name]))
	}
	return strings.Join(out, ", ")
}

// writeOwners says who owns scheduling by the entries that answered.
func writeOwners(out io.Writer, owners []string) {
	switch len(owners) {
	case 0:
		fmt.Fprintln(out, "owner of scheduling: none of these entries")
	case 1:
		fmt.Fprintln(out, "owner of scheduling:", owners[0])
	default:
		fmt.Fprintf(out, "owner of scheduling: %s say so; the one with the highest token is, the others have not noticed yet\n", strings.Join(owners, " and "))
	}
}
