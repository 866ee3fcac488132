// Command ablation tells what each mechanism is worth: it plays days with and without the mechanism in pairs and prints the differences.
package main

import (
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/alecthomas/kingpin/v2"
)

var (
	bench   = kingpin.Flag("bench", "The program that plays days.").Required().ExistingFile()
	site    = kingpin.Flag("site", "The site file.").Required().ExistingFile()
	days    = kingpin.Flag("days", "The days to play, separated by commas.").Required().String()
	seeds   = kingpin.Flag("seeds", "The number of seeds of each day.").Default("4").Int()
	jobs    = kingpin.Flag("jobs", "How many plays run at once.").Default("4").Int()
	scratch = kingpin.Flag("scratch", "The directory for the clones.").Required().ExistingDir()
	patches = kingpin.Arg("patch", "The patches to play, each of which switches one mechanism off.").Required().ExistingFiles()
)

// figure is one of the figures of a play.
type figure struct {
	name    string
	pattern *regexp.Regexp
}

// figures are the worth of a play, the part of it that is served, the part that failed, and the machine-seconds held in pools.
var figures = []figure{
	{"worth", regexp.MustCompile(`(?m)^\S+ +\d+/\d+ +\S+ +(\S+)`)},
	{"served", regexp.MustCompile(`(?m)^\S+ +\d+/\d+ +\S+ +\S+ +(\S+)`)},
	{"failed", regexp.MustCompile(`(?m)^\S+ +\d+/\d+ +\S+ +\S+ +\S+ +\S+ +(\S+)`)},
	{"pool-seconds", regexp.MustCompile(`([\d.]+) seconds of machines in pools`)},
}

// play is one day with one seed.
type play struct {
	day  string
	seed int
}

func main() {
	kingpin.Parse()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	base, err := playAll("")
	if err != nil {
		return err
	}
	for _, patch := range *patches {
		without, err := playAll(patch)
		if err != nil {
			return err
		}
		printDifferences(strings.TrimSuffix(filepath.Base(patch), ".patch"), base, without)
	}
	return nil
}

// playAll plays all days and seeds on a clone with a patch, none if it is empty, and returns the figures of each play that has them.
func playAll(patch string) (map[play][]float64, error) {
	dir, err := clone(patch)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var plays sync.WaitGroup
	out := map[play][]float64{}
	slots := make(chan struct{}, *jobs)
	for _, day := range strings.Split(*days, ",") {
		for seed := range *seeds {
			plays.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				pl := play{day, seed + 1}
				vals := playDay(dir, patch, pl)
				mu.Lock()
				defer mu.Unlock()
				out[pl] = vals
			})
		}
	}
	plays.Wait()
	return out, nil
}

// clone clones the repository of the working directory, applies a patch and builds it once.
func clone(patch string) (string, error) {
	dir, err := os.MkdirTemp(*scratch, "ablation-")
	if err != nil {
		return "", err
	}
	steps := [][]string{{"git", "clone", "--quiet", ".", dir}}
	if patch != "" {
		path, err := filepath.Abs(patch)
		if err != nil {
			return "", err
		}
		steps = append(steps, []string{"git", "-C", dir, "apply", path})
	}
	for _, step := range steps {
		if text, err := exec.Command(step[0], step[1:]...).CombinedOutput(); err != nil {
			return "", fmt.Errorf("%s: %w: %s", strings.Join(step, " "), err, text)
		}
	}
	return dir, command(dir, "build").Run()
}

// command returns a call of the program that plays days.
func command(dir string, args ...string) *exec.Cmd {
	cmd := exec.Command(*bench, args...)
	cmd.Dir = dir
	return cmd
}

// playDay plays a day without processor time and returns its figures, nil if one is missing.
func playDay(dir, patch string, pl play) []float64 {
	why := "Ablation, with all mechanisms"
	if patch != "" {
		why = "Ablation, without " + filepath.Base(patch)
	}
	text, err := command(dir, "run", *site, pl.day, "--seed", strconv.Itoa(pl.seed), "--no-cpu", "--why", why).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s seed %d: %v\n", pl.day, pl.seed, err)
	}
	var out []float64
	for _, fg := range figures {
		found := fg.pattern.FindSubmatch(text)
		if found == nil {
			return nil
		}
		val, err := strconv.ParseFloat(string(found[1]), 64)
		if err != nil {
			return nil
		}
		out = append(out, val)
	}
	return out
}

// printDifferences prints, for each figure, the mean difference that a mechanism makes, its standard error and the number of pairs.
func printDifferences(name string, with, without map[play][]float64) {
	fmt.Printf("%-24s", name)
	for at, fg := range figures {
		var list []float64
		for pl, vals := range with {
			if vals != nil && without[pl] != nil {
				list = append(list, vals[at]-without[pl][at])
			}
		}
		mean, deviation := meanOf(list)
		fmt.Printf("  %s %+.4f (%.4f, %d)", fg.name, mean, deviation, len(list))
	}
	fmt.Println()
}

// meanOf returns the mean of a list and its standard error.
func meanOf(list []float64) (mean, deviation float64) {
	count := float64(len(list))
	for _, val := range list {
		mean += val / count
	}
	for _, val := range list {
		deviation += (val - mean) * (val - mean)
	}
	return mean, math.Sqrt(deviation / max(count-1, 1) / count)
}
