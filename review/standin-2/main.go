// Command standin-2 plays the cases of the second review that are scripts: a small deployment of the system's own processes on loopback, with stand-ins of the platform, the minions and the clients.
package main

import (
	"fmt"
	"os"
	"strings"
)

// Exit codes of a case.
const (
	held       = 0
	broken     = 1
	impossible = 2
)

var cases = map[string]func(pl *platform, trouble bool) (violations []string, err error){
	"backlog":    backlog,
	"large-jobs": largeJobs,
	"late-start": lateStart,
	"late-copy":  lateCopy,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD")
		os.Exit(impossible)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, recordPath string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case: "+name)
		return impossible
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return impossible
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return impossible
	}
	pl, err := newPlatform(program, dir, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return impossible
	}
	defer pl.close()
	violations, err := run(pl, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return impossible
	}
	if len(violations) == 0 {
		rec.log("result: the rule held")
		fmt.Println("held")
		return held
	}
	rec.log("result: the rule is broken: %s", strings.Join(violations, "; "))
	fmt.Println("broken: " + strings.Join(violations, "; "))
	return broken
}
