package errkind

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

// declaredKinds parses the package's source and returns the value of each constant of
// type Kind by its name.
func declaredKinds(t *testing.T) map[string]Kind {
	t.Helper()
	out := map[string]Kind{}
	notTest := func(f fs.FileInfo) bool { return !strings.HasSuffix(f.Name(), "_test.go") }
	packages, err := parser.ParseDir(token.NewFileSet(), ".", notTest, 0) //nolint:staticcheck // one package, no build tags
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range packages {
		ast.Inspect(p, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			typ, ok := spec.Type.(*ast.Ident)
			if !ok || typ.Name != "Kind" {
				return true
			}
			for i, name := range spec.Names {
				value, err := strconv.Unquote(spec.Values[i].(*ast.BasicLit).Value)
				if err != nil {
					t.Fatal(err)
				}
				out[name.Name] = Kind(value)
			}
			return true
		})
	}
	return out
}

// Guards against a kind that is declared but missing in the table or in
// docs/ERRORS.md. Without a row, callers would get "internal failure" instead of the
// actual reason.
func TestEveryKindHasARowAndIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/ERRORS.md")
	if err != nil {
		t.Fatal(err)
	}
	found := declaredKinds(t)
	if len(found) == 0 || len(found) != len(Kinds()) {
		t.Errorf("%d constants, %d rows", len(found), len(Kinds()))
	}
	for name, k := range found {
		row, ok := Lookup(k)
		if !ok {
			t.Errorf("%s has no row", name)
			continue
		}
		if row.Status < 400 || row.Status > 599 || row.Title == "" || row.Run == "" {
			t.Errorf("%s: %+v", name, row)
		}
		if row.RetryAfter > 0 && !row.Retryable {
			t.Errorf("%s is not retryable but has a retry delay", name)
		}
		if !strings.Contains(string(page), "| `"+string(k)+"` | "+strconv.Itoa(row.Status)+" |") {
			t.Errorf("%s is not in docs/ERRORS.md", name)
		}
	}
}

func TestAnswer(t *testing.T) {
	base := New(Overloaded, "full")
	want, _ := Lookup(Overloaded)
	if d := cmp.Diff(want, Answer(base)); d != "" {
		t.Error(d)
	}
	changed := want
	changed.Run, changed.RetryAfter = Unknown, 7*time.Second
	if d := cmp.Diff(changed, Answer(base.WithRun(Unknown).WithRetryAfter(7*time.Second))); d != "" {
		t.Error(d)
	}
	if base.Run != "" || base.RetryAfter != 0 {
		t.Error("the original was changed")
	}
	internal, _ := Lookup(Internal)
	if d := cmp.Diff(internal, Answer(New("made-up", ""))); d != "" {
		t.Error(d)
	}
}

func TestFromKeepsTheKind(t *testing.T) {
	cause := errors.New("cause")
	inner := Wrap(cause, TeamLimit, "busy")
	if got := From(errors.Wrap(inner, "outer")); got != inner || !errors.Is(got, cause) {
		t.Errorf("got %v", got)
	}
	if got := From(cause); got.Kind != Internal || !errors.Is(got, cause) {
		t.Errorf("got %v", got)
	}
	if From(nil) != nil {
		t.Error("From(nil) is not nil")
	}
}
