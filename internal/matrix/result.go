package matrix

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxLine bounds one line of the test runner's output, in bytes.
const maxLine = 1 << 20

// Event is the part of a line of `go test -json` that the matrix reads.
type Event struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
}

// Cell is a place in the matrix. Second is empty but for a pair of faults.
type Cell struct {
	Step   Step
	Fault  Fault
	Second Fault
}

// Test is one test of a cell and whether it passed.
type Test struct {
	Package string
	Name    string
	Passed  bool
}

// Results holds the tests of each cell.
type Results map[Cell][]Test

// Read takes the output of `go test -json`. A skipped test counts for nothing.
func Read(r io.Reader) (Results, error) {
	out := Results{}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLine), maxLine)
	for lines.Scan() {
		var e Event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue // the runner prints build errors as plain text
		}
		out.take(e)
	}
	return out, errors.Wrap(lines.Err(), "read test output")
}

func (r Results) take(e Event) {
	if e.Action != "pass" && e.Action != "fail" {
		return
	}
	cell, ok := CellOf(e.Test)
	if !ok {
		return
	}
	r[cell] = append(r[cell], Test{Package: e.Package, Name: e.Test, Passed: e.Action == "pass"})
}

// CellOf returns the cell that a test's name states. A name that goes on after
// the fault belongs to the cell through its parent, and is not counted again.
func CellOf(name string) (Cell, bool) {
	parts := strings.Split(name, "/")
	if len(parts) < 2 {
		return Cell{}, false
	}
	step := Step(parts[len(parts)-2])
	first, second, _ := strings.Cut(parts[len(parts)-1], "+")
	cell := Cell{Step: step, Fault: Fault(first), Second: Fault(second)}
	known := slices.Contains(Steps(), step) && slices.Contains(Faults(), cell.Fault)
	if !known || second != "" && !slices.Contains(Faults(), cell.Second) {
		return Cell{}, false
	}
	return cell, true
}
