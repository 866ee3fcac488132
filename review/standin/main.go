//go:build review

package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// deployment is a small deployment of the project on loopback addresses.
type deployment struct {
	rc      *recorder
	st      *store
	fl      *fleet
	cl      *client
	entries []*entry
	trouble bool
	// advised is set if the queue needs advice.
	advised bool
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

const service = "gallery"

// loopbackAddress returns a loopback address of this process's own, so that cases can run at the same time.
func loopbackAddress(kind, number int) string {
	const subnets = 200
	return fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()%subnets, kind, number)
}

func listen(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, handler) }()
	return ln.Addr().String(), nil
}

// newDeployment starts a deployment whose queue needs no advice.
func newDeployment(rc *recorder, program, dir string, minions, entries int, trouble bool) (*deployment, error) {
	return newAdvisedDeployment(rc, program, dir, minions, entries, trouble, nil)
}

// newAdvisedDeployment starts the platform, its minions and the entries, and waits until the entries are ready; without an adviser its queue needs no advice.
func newAdvisedDeployment(rc *recorder, program, dir string, minions, entries int, trouble bool, ad *adviser) (*deployment, error) {
	dp := &deployment{rc: rc, st: newStore(rc), cl: newClient(rc), trouble: trouble}
	dp.fl = newFleet(rc, dp.st)
	storeAddress, err := listen(dp.st)
	if err != nil {
		return nil, err
	}
	machinesAddress, err := listen(dp.fl)
	if err != nil {
		return nil, err
	}
	adviceAddress := ""
	if ad != nil {
		dp.advised = true
		if adviceAddress, err = listen(ad); err != nil {
			return nil, err
		}
	}
	dp.configure(1)
	if err := dp.fl.add(service, minions, zones); err != nil {
		return nil, err
	}
	for number := range entries {
		en, err := newEntry(rc, dir, fmt.Sprintf("edge-%d", number), loopbackAddress(1, number+1), zones[number%len(zones)], storeAddress, machinesAddress, adviceAddress)
		if err != nil {
			return nil, err
		}
		if err := en.run(program); err != nil {
			return nil, err
		}
		dp.entries = append(dp.entries, en)
	}
	for deadline := time.Now().Add(10 * time.Second); ; {
		ready := 0
		for _, en := range dp.entries {
			if rsp, err := http.Get("http://" + en.ready + "/readyz"); err == nil {
				if rsp.StatusCode == http.StatusOK {
					ready++
				}
				_ = rsp.Body.Close()
			}
		}
		if ready == len(dp.entries) {
			return dp, nil
		}
		if time.Now().After(deadline) {
			return nil, fmt.Errorf("%d of %d entries are ready", ready, len(dp.entries))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// configure writes a version of the operator's configuration.
func (dp *deployment) configure(version int) {
	route := map[string]any{
		"name": "thumb-render", "host": queueHost, "prefix": queuePrefix, "service": service, "priority": 0,
		"max_attempts": 3, "stretch": 2.2, "target_duration_ms": 600,
	}
	if dp.advised {
		route["advice"] = map[string]int{"decision_ms": 100, "period_ms": 5, "validity_ms": 3000}
	}
	dp.st.put("op", "config", map[string]any{
		"version":  version,
		"routes":   []map[string]any{route},
		"services": []map[string]any{{"name": service, "admission_control": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": []string{tenantKey}, "weight": 1.0, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
}

// smallJob is a job like the most frequent ones of a small deployment.
var smallJob = &jobJSON{Spec: "work-ms=300 cpu=1000", Steps: []stepJSON{{Count: 6, CPU: 1000, Memory: 100, EstimatedMS: 300}}}

func smallJobID(number int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+number) }

// sendSmallJobs submits small jobs at an interval until the function that it returns is called.
func (dp *deployment) sendSmallJobs(interval time.Duration) (stop func()) {
	return dp.sendJobs(smallJob, interval)
}

// sendJobs submits jobs at an interval until the function that it returns is called.
func (dp *deployment) sendJobs(jb *jobJSON, interval time.Duration) (stop func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for number := 0; ; number++ {
			select {
			case <-ended:
				return
			case <-time.After(interval):
				dp.cl.submit(dp.entries, smallJobID(number), jb)
			}
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

func (dp *deployment) close() {
	for _, en := range dp.entries {
		en.stop()
	}
}

// owner returns the name of the entry that owns scheduling by the store's row, as the token of its last start tells.
func (dp *deployment) owner() *entry {
	raw := dp.st.get("ownership", "scheduling", "owner")
	for _, en := range dp.entries {
		if len(raw) > 0 && containsName(raw, en.name) {
			return en
		}
	}
	return nil
}

// Round trips between an entry and a minion, as on the pages' sheet of porotca-fulmar and in its site file.
const (
	roundTripInZone   = 400 * time.Microsecond
	roundTripToOthers = 2800 * time.Microsecond
	ownerPollInterval = 100 * time.Millisecond
)

// newZonedDeployment starts a deployment whose minions answer as late as the way from the owner of scheduling and back takes. The minions with the lowest ids, which are filled first, are in other zones than the owner, as two of three minions are.
func newZonedDeployment(rc *recorder, program, dir string, minions, entries int, trouble bool) (*deployment, error) {
	dp, err := newDeployment(rc, program, dir, 0, entries, trouble)
	if err != nil {
		return nil, err
	}
	for begin := time.Now(); dp.owner() == nil; time.Sleep(ownerPollInterval) {
		if time.Since(begin) > 10*time.Second {
			dp.close()
			return nil, fmt.Errorf("no owner")
		}
	}
	own := dp.owner().zone
	rc.say("the owner of scheduling is in %s", own)
	var order []string
	for _, zone := range zones {
		if zone != own {
			order = append(order, zone)
		}
	}
	if err := dp.fl.add(service, minions, append(order, own)); err != nil {
		dp.close()
		return nil, err
	}
	for _, mn := range dp.fl.minions {
		mn.mu.Lock()
		mn.roundTrip = roundTripToOthers
		if mn.zone == own {
			mn.roundTrip = roundTripInZone
		}
		mn.mu.Unlock()
	}
	return dp, nil
}

func containsName(raw []byte, name string) bool {
	for at := 0; at+len(name) <= len(raw); at++ {
		if string(raw[at:at+len(name)]) == name {
			return true
		}
	}
	return false
}

var cases = map[string]func(rc *recorder, program, dir string, trouble bool) (broken []string, err error){
	"large-job":         largeJob,
	"many-ends":         manyEnds,
	"scheduled-job":     scheduledJob,
	"crash-loop":        crashLoop,
	"cancel-large":      cancelLarge,
	"large-gang":        largeGang,
	"gang-checkpoint":   gangCheckpoint,
	"late-start":        lateStart,
	"crashes":           crashes,
	"late-poll":         latePoll,
	"silent-late-start": silentLateStart,
	"advice-burst":      adviceBurst,
}

func main() {
	program := flag.String("program", "target/fulmarloft", "the project's program")
	name := flag.String("case", "", "the case to play")
	folder := flag.String("record", ".", "the folder of record.txt")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case "+*name)
		os.Exit(exitUnable)
	}
	os.Exit(playCase(play, *program, *folder))
}

func playCase(play func(*recorder, string, string, bool) ([]string, error), program, folder string) int {
	program, err := filepath.Abs(program)
	if err != nil {
		return exitUnable
	}
	rc, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in " + dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rc.say("trouble: %v", trouble)
	broken, err := play(rc, program, dir, trouble)
	if err != nil {
		rc.say("the case couldn't run: %v", err)
		return exitUnable
	}
	for _, text := range broken {
		rc.say("BROKEN: %s", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rc.say("the rule held")
	return exitHeld
}
