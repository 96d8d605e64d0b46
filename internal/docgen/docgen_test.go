package docgen

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/settings"
)

func TestCommittedPagesAreCurrent(t *testing.T) {
	if err := Check(filepath.Join("..", "..", "docs")); err != nil {
		t.Error(err)
	}
}

func TestCheckFindsAChangedPage(t *testing.T) {
	dir := t.TempDir()
	if err := Write(dir); err != nil {
		t.Fatal(err)
	}
	if err := Check(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "ERRORS.md"), []byte("old"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(dir, "METRICS.md")); err != nil {
		t.Fatal(err)
	}
	if err := Check(dir); err == nil || !strings.Contains(err.Error(), "ERRORS.md, METRICS.md;") {
		t.Errorf("Check returned %v, want an error that lists ERRORS.md and METRICS.md", err)
	}
}

func TestEveryKeyIsOnThePage(t *testing.T) {
	page := string(settingsPage())
	for _, f := range settings.Fields() {
		if !strings.Contains(page, "`"+f.Key+"`") {
			t.Errorf("key %s is not on the settings page", f.Key)
		}
	}
}
