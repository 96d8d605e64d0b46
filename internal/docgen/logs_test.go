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

// logSources lists the directories and files of an attached daemon that write log lines.
var logSources = []string{
	"admission", "fleet", "frontend/limits.go", "origin", "relay", "roles", "platform", "quarantine", "reach", "internal/durablelog", "internal/supervise", "internal/telemetry", "request/calldispatch.go", "request/callforecast.go", "request/decision.go", "request/hedge.go", "request/permit.go", "request/quarantine.go", "request/sendfailure.go", "request/stall.go", "request/verdict.go",
	"router/answers.go", "router/attached.go", "router/availability.go", "router/feeds.go", "router/origins.go", "router/quarantine.go", "router/quota.go", "router/reach.go", "router/retries.go", "router/roles.go", "router/upstreamlimits.go",
}

// Every log message in the code is in telemetry.LogEvents, from which the page is generated, and
// the other way round. Otherwise a message that is added or reworded would be undocumented.
func TestEveryLineIsOnThePage(t *testing.T) {
	known := map[string]bool{}
	for _, e := range telemetry.LogEvents() {
		known[e.Message] = false
	}
	for _, message := range loggedMessages(t) {
		if _, ok := known[message]; !ok {
			t.Errorf("message %q is logged but not in telemetry.LogEvents", message)
		}
		known[message] = true
	}
	for message, written := range known {
		if !written {
			t.Errorf("message %q is in telemetry.LogEvents but never logged", message)
		}
	}
}

// loggedMessages returns the constant messages of all log calls in logSources.
func loggedMessages(t *testing.T) []string {
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
				if message, ok := messageInNode(n); ok {
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

// messageInNode returns the message of a call such as logger.Info("text") or of a log.Entry
// literal.
func messageInNode(n ast.Node) (string, bool) {
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
