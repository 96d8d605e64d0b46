// Command matrix runs the tests and writes docs/FAULT-MATRIX.md from their
// names and results. It exits 1 when a cell is red.
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
	Out      string   `default:"docs/FAULT-MATRIX.md" help:"Page to write."`
	Packages []string `arg:"" optional:"" default:"./..." help:"Packages whose tests run."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("matrix"), kong.Description("Runs the tests and writes the fault matrix."))
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, "matrix:", err)
		os.Exit(1)
	}
}

func run(c cli) error {
	results, err := test(c.Packages)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	totals, err := matrix.Render(&page, results)
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

// test runs the packages' tests; failing tests are results, not errors.
func test(packages []string) (matrix.Results, error) {
	args := append([]string{"test", "-json", "-count=1"}, packages...)
	cmd := exec.Command("go", args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return nil, errors.Wrap(err, "run the tests")
	}
	return matrix.Read(bytes.NewReader(out))
}
