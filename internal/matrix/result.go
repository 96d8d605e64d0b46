package matrix

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxLineBytes bounds one line of the output of go test.
const maxLineBytes = 1 << 20

// TestEvent holds the fields of an event of `go test -json` that the matrix uses.
type TestEvent struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
}

// Cell identifies a cell of the matrix: a step and the fault that occurs at it. Second is a
// second fault that occurs with the first; it is empty for a single fault.
type Cell struct {
	Step   Step
	Fault  Fault
	Second Fault
}

// Test is the result of one test of a cell.
type Test struct {
	Package string
	Name    string
	Passed  bool
}

// Results maps each cell to the tests that cover it.
type Results map[Cell][]Test

// ParseTestOutput parses the output of `go test -json`. Skipped tests are not included in
// the results.
func ParseTestOutput(r io.Reader) (Results, error) {
	out := Results{}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	for lines.Scan() {
		var e TestEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			continue // go test prints build errors as plain text
		}
		out.add(e)
	}
	return out, errors.Wrap(lines.Err(), "read test output")
}

// add adds the result of a test if the event is the end of a test that covers a cell.
func (r Results) add(e TestEvent) {
	if e.Action != "pass" && e.Action != "fail" {
		return
	}
	cell, ok := CellOf(e.Test)
	if !ok {
		return
	}
	r[cell] = append(r[cell], Test{Package: e.Package, Name: e.Test, Passed: e.Action == "pass"})
}

// CellOf returns the cell that a test covers, given its name, which must end in the step and the
// fault or faults. Subtests of such a test cover no cell themselves, since the result of their
// parent includes theirs.
func CellOf(name string) (Cell, bool) {
	parts := strings.Split(name, "/")
	if len(parts) < 2 {
		return Cell{}, false
	}
	step := Step(parts[len(parts)-2])
	first, second, _ := strings.Cut(parts[len(parts)-1], "+")
	cell := Cell{Step: step, Fault: Fault(first), Second: Fault(second)}
	valid := slices.Contains(Steps(), step) && slices.Contains(Faults(), cell.Fault)
	if !valid || second != "" && !slices.Contains(Faults(), cell.Second) {
		return Cell{}, false
	}
	return cell, true
}
