// Command matrix runs the tests and generates docs/FAULT-MATRIX.md from their names and results:
// a table of processing steps and faults that lists the tests of each combination. It exits with
// code 1 if a cell is red, which means that one of its tests failed.
package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/matrix"
)

type cli struct {
	Out      string   `default:"docs/FAULT-MATRIX.md" help:"File to write the page to."`
	Packages []string `arg:"" optional:"" default:"./..." help:"Packages whose tests are run."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("matrix"), kong.Description("Runs the tests and generates the fault matrix."))
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "matrix:", err)
		os.Exit(1)
	}
}

func run(c cli) error {
	results, err := runTests(c.Packages)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	totals, err := matrix.WriteMarkdown(&page, results)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Out, page.Bytes(), 0o644); err != nil {
		return errors.Wrap(err, "write the page")
	}
	fmt.Println(totals)
	if totals.Red > 0 {
		return errors.Errorf("%d cells are red", totals.Red)
	}
	return nil
}

// runTests runs the tests of the packages. A failed test is part of the results, not an error.
func runTests(packages []string) (matrix.Results, error) {
	args := append([]string{"test", "-json", "-count=1"}, packages...)
	cmd := exec.Command("go", args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return nil, errors.Wrap(err, "run the tests")
	}
	return matrix.ParseTestOutput(bytes.NewReader(out))
}
