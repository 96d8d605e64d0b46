package docgen

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/internal/telemetry"
)

// logSources are the folders and files of an attached daemon that write lines.
var logSources = []string{
	"fleet", "relay", "roles", "platform", "quarantine", "internal/supervise", "internal/telemetry", "request/decision.go", "request/permit.go", "request/quarantine.go", "request/verdict.go",
	"router/attached.go", "router/feeds.go", "router/quarantine.go", "router/quota.go", "router/retries.go", "router/roles.go", "router/upstreamlimits.go",
}

// Symptom: an engineer on call meets a line that no page explains.
// Sequence: a line is added, or its text changed.
// Cause: a page that is written beside the code.
func TestEveryLineIsOnThePage(t *testing.T) {
	known := map[string]bool{}
	for _, e := range telemetry.LogEvents() {
		known[e.Message] = false
	}
	for _, message := range messages(t) {
		if _, ok := known[message]; !ok {
			t.Errorf("%q is written and not among telemetry.LogEvents", message)
		}
		known[message] = true
	}
	for message, written := range known {
		if !written {
			t.Errorf("%q is among telemetry.LogEvents and written nowhere", message)
		}
	}
}

// messages returns the constant messages of all lines in logSources.
func messages(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, source := range logSources {
		root := filepath.Join("..", "..", source)
		err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if message, ok := messageOf(n); ok {
					out = append(out, message)
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// messageOf returns the message of a call such as logger.Info("text"), or of an entry
// that is built by hand.
func messageOf(n ast.Node) (string, bool) {
	var text ast.Expr
	switch n := n.(type) {
	case *ast.CallExpr:
		f, ok := n.Fun.(*ast.SelectorExpr)
		if !ok || len(n.Args) != 1 || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, f.Sel.Name) {
			return "", false
		}
		text = n.Args[0]
	case *ast.KeyValueExpr:
		if key, ok := n.Key.(*ast.Ident); !ok || key.Name != "Message" {
			return "", false
		}
		text = n.Value
	}
	lit, ok := text.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	message, err := strconv.Unquote(lit.Value)
	return message, err == nil
}
