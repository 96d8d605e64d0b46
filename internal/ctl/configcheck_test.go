package ctl

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// check runs the command in testdata, whose paths the output contains.
func check(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = Main(t.Context(), append([]string{"check"}, args...), Env{Stdout: &stdout, Stderr: &stderr})
	return code, stdout.String(), stderr.String()
}

// Guards against changes of the output on which people and pipelines rely, in both formats and for both
// interfaces, and against a wrong exit code.
func TestCheckOutput(t *testing.T) {
	for golden, tc := range map[string]struct {
		args []string
		want int
	}{
		"check-record.txt":  {[]string{"testdata/next.json", "--against", "testdata/in-force.json"}, ExitErrors},
		"check-record.json": {[]string{"testdata/next.json", "--against", "testdata/in-force.json", "--format", "json"}, ExitErrors},
		"check-bundle.txt":  {[]string{"testdata/next.yaml", "--against", "testdata/in-force.yaml"}, ExitErrors},
		"check-clean.txt":   {[]string{"testdata/in-force.json"}, ExitOK},
		"check-warning.txt": {[]string{"starter.yaml"}, ExitWarnings},
	} {
		code, out, errs := check(t, tc.args...)
		if code != tc.want {
			t.Errorf("%s: exit %d, want %d: %s", golden, code, tc.want, errs)
		}
		path := filepath.Join("testdata", golden)
		if os.Getenv("UPDATE_GOLDEN") != "" {
			if err := os.WriteFile(path, []byte(out), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if out != string(want) {
			t.Errorf("%s: got\n%s", golden, out)
		}
	}
}

// Guards against a file that cannot be decoded or read, or a bad settings file, that passes as sound, and against
// decoding errors without a line.
func TestCheckUndecodable(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, tc := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{write("a.json", "{\"version\":7,\n\"routes\":{}}")}, ExitErrors, "undecodable routes line 2"},
		{[]string{write("a.yaml", "pools: {}\npoles: {}\n")}, ExitErrors, "undecodable line 2"},
		{[]string{"testdata/in-force.json", "--settings", write("s.yaml", "store:\n  timeout: -1s\n")}, ExitErrors, "settings-refused s.yaml: store.timeout line 2"},
		{[]string{"testdata/in-force.json", "--settings", filepath.Join(dir, "none")}, ExitUnread, "unread - - "},
		{[]string{filepath.Join(dir, "none")}, ExitUnread, "unread - - "},
		{[]string{"testdata/in-force.json", "--against", write("b.json", "{")}, ExitUnread, "unknown difference"},
		{[]string{"starter.yaml", "--store", "127.0.0.1:1"}, ExitUsage, ""},
	} {
		code, out, errs := check(t, tc.args...)
		if code != tc.code || !strings.Contains(strings.Join(strings.Fields(out), " "), tc.want) {
			t.Errorf("%v: exit %d, want %d and %q:\n%s%s", tc.args, code, tc.code, tc.want, out, errs)
		}
	}
}

// Guards against a version in force that is not found among the store's records.
func TestCheckAgainstStore(t *testing.T) {
	s, err := site.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.Configure(9)
	code, out, _ := check(t, "testdata/in-force.json", "--store", s.StoreAddress())
	if code != ExitErrors || !strings.Contains(out, "version-not-newer") || !strings.Contains(out, "9 -> 7") {
		t.Errorf("exit %d:\n%s", code, out)
	}
}

// Guards against findings that are lost, or a difference that is made up, when the store breaks off while
// the version in force is read: here in the middle of the second page.
func TestCheckStoreBreaksOff(t *testing.T) {
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "" {
			_, _ = w.Write([]byte(`{"items":[{"key":"config","value":"eyJ2ZXJzaW9uIjo2fQ=="}],"has_more":true,"end_offset":2}`))
			return
		}
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"items":[`))
	}))
	t.Cleanup(store.Close)
	code, out, errs := check(t, "testdata/next.json", "--store", strings.TrimPrefix(store.URL, "http://"))
	if code != ExitUnread || !strings.Contains(errs, "difference unknown") {
		t.Errorf("exit %d: %s", code, errs)
	}
	for _, want := range []string{"service-unknown", "target-above-timeout", "the difference from the version in force is unknown", "unexpected EOF"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing:\n%s", want, out)
		}
	}
	if strings.Contains(out, "added") || strings.Contains(out, "6 -> 7") {
		t.Errorf("a difference was printed:\n%s", out)
	}
}
