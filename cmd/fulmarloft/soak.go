package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/pkg/code"
	"github.com/fulmarloft/fulmarloft/platform/soak"
)

func soakCommands(app *kingpin.Application) []command {
	cm := app.Command("soak", "Run entry processes against a stand-in of the platform under random faults and report violated guarantees.")
	first := cm.Flag("first", "First seed.").Default("1").Uint64()
	count := cm.Flag("seeds", "Number of consecutive seeds, which run one after the other.").Default("1").Uint64()
	duration := cm.Flag("for", "How long jobs are submitted and faults injected with each seed.").Default("15s").Duration()
	dir := cm.Flag("dir", "Directory for settings and logs; only those of failed seeds are kept.").Required().String()
	return []command{{cm.FullCommand(), func() error { return runSoak(*first, *count, *duration, *dir) }}}
}

func runSoak(first, count uint64, duration time.Duration, dir string) error {
	program, err := os.Executable()
	if err != nil {
		return code.Internal.Wrap(err)
	}
	failed := 0
	for seed := first; seed < first+count; seed++ {
		violations, err := soakSeed(program, filepath.Join(dir, "seed-"+strconv.FormatUint(seed, 10)), seed, duration)
		if err != nil {
			return err
		}
		if len(violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return code.Internal.New("%d of %d seeds violated a guarantee", failed, count)
	}
	return nil
}

func soakSeed(program, dir string, seed uint64, duration time.Duration) ([]string, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, code.SettingsInvalid.Wrap(err)
	}
	so, err := soak.New(program, dir, seed, os.Stdout)
	if err != nil {
		return nil, err
	}
	violations, err := so.Run(duration)
	for _, text := range violations {
		fmt.Printf("seed %d: %s\n", seed, text)
	}
	if err == nil && len(violations) == 0 {
		err = os.RemoveAll(dir)
	}
	return violations, err
}
