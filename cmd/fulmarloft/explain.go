package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/fulmarloft/fulmarloft/internal/observability/explain"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

const explainHelp = `Gather the log lines of all entries that concern one id, in order of time, and say in a sentence each what happened.

Example: fulmarloft explain --why late 13d92c3f0b5b9e3d --logs edge-a-1.log edge-b-1.log

The id is that of a job, a task, a VM, a machine or a request, or the path of a refused call. A line may begin with a time in seconds and an entry's name. Exit status: 0 if lines were found, 2 if none holds the id, 3 if a file can't be read.`

func explainCommands(app *kingpin.Application) []command {
	cm := app.Command("explain", explainHelp)
	id := cm.Arg("id", "Id to explain.").Required().String()
	logs := cm.Flag("logs", "Log file of an entry, or of several; - is standard input. More files may follow.").Required().Strings()
	more := cm.Arg("file", "Further log files.").Strings()
	why := cm.Flag("why", "Question to answer at the end: refused, late or failed.").Enum(explain.WhyRefused, explain.WhyLate, explain.WhyFailed)
	asJSON := cm.Flag("json", "Print JSON.").Bool()
	return []command{{cm.FullCommand(), func() error {
		return runExplain(*id, append(*logs, *more...), *why, *asJSON)
	}}}
}

func runExplain(id string, files []string, why string, asJSON bool) error {
	ex := explain.New(id)
	for _, file := range files {
		if err := readLog(ex, file); err != nil {
			return err
		}
	}
	if !ex.Gather() {
		return ex.NotFound()
	}
	if asJSON {
		return ex.WriteJSON(os.Stdout, why)
	}
	ex.WriteText(os.Stdout, why)
	return nil
}

// readLog reads a file, whose name without its ending stands for the entry if no line names it.
func readLog(ex *explain.Explanation, file string) error {
	if file == "-" {
		return ex.Read(file, os.Stdin)
	}
	in, err := os.Open(file)
	if err != nil {
		return code.FileUnreadable.Wrap(err)
	}
	defer func() { _ = in.Close() }()
	name := filepath.Base(file)
	return ex.Read(strings.TrimSuffix(name, filepath.Ext(name)), in)
}
