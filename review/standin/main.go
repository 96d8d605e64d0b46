// Command standin runs the cases of the review: it starts daemons as separate processes, with stand-ins of
// the platform, the replicas and the clients on loopback.
package main

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	if len(os.Args) > 1 && os.Args[1] == "plain" {
		runPlain(os.Args[2:])
		return
	}
	name := flag.String("case", "", "name of the case")
	program := flag.String("daemon", "target/corianderturn", "the project's program")
	dir := flag.String("dir", "", "temporary folder")
	out := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		os.Exit(exitUnable)
	}
	recorded.file = file
	run := cases[*name]
	if run == nil {
		skip("unknown case %q", *name)
	}
	absolute, err := filepath.Abs(*program)
	if err != nil {
		skip("%v", err)
	}
	broken := run(absolute, *dir, *trouble)
	endAll()
	noteRuns(*dir)
	if broken > 0 {
		note("the rule was broken %d times", broken)
		os.Exit(exitBroken)
	}
	note("the rule held")
	os.Exit(exitHeld)
}

// noteRuns adds what replicas in processes of their own have run to the record.
func noteRuns(dir string) {
	logs, _ := filepath.Glob(filepath.Join(dir, "i-*.log"))
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			note("replica  %s", strings.TrimSpace(line))
		}
	}
}

// cases has the cases by name. Each returns how often the rule was broken.
var cases = map[string]func(program, dir string, trouble bool) int{
	"twice":  twice,
	"cut":    cut,
	"paths":  paths,
	"hot":    hot,
	"memory": memory,
}
