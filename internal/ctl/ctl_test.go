package ctl

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/corianderturn/corianderturn/admin/adminapi"
	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
)

// harness runs corianderctl with files in a temporary directory and a log service of its own.
type harness struct {
	t   *testing.T
	dir string
	log *logsvc.Log
	url string
	// intercept, if not nil, is called for each append before the log. If it returns true,
	// it has answered in place of the log.
	intercept func(w http.ResponseWriter) (answered bool)
}

// newHarness starts a log and creates keys: ana and eva are authors, ben and ana-2 reviewers.
func newHarness(t *testing.T) *harness {
	t.Helper()
	d := &harness{t: t, dir: t.TempDir(), log: logsvc.New(logsvc.Config{})}
	handler := d.log.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && d.intercept != nil && d.intercept(w) {
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(d.log.Close)
	d.url = srv.URL
	authors := d.keygen("ana") + d.keygen("eva")
	d.write("trust.yaml", "authors:\n"+authors+"reviewers:\n"+d.keygen("ben")+d.keygen("ana-2"))
	return d
}

// publicKeyLine matches the public key in the output of keygen.
var publicKeyLine = regexp.MustCompile(`(?m)^  \S+: \S+=$`)

// keygen generates a key file and returns the line with the public key for the trust file.
func (d *harness) keygen(id string) string {
	return publicKeyLine.FindString(d.mustRun("keygen", id, "-o", d.path(id+".key"))) + "\n"
}

// path returns the path of a file in the harness's directory.
func (d *harness) path(name string) string { return filepath.Join(d.dir, name) }

// write writes a file and returns its path.
func (d *harness) write(name, content string) string {
	d.t.Helper()
	if err := os.WriteFile(d.path(name), []byte(content), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return d.path(name)
}

// run executes a command line and returns its exit code and its output, including errors.
func (d *harness) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := Main(d.t.Context(), args, Env{Stdout: &out, Stderr: &out, HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	return code, out.String()
}

// mustRun executes a command line that must succeed and returns its output.
func (d *harness) mustRun(args ...string) string {
	d.t.Helper()
	code, out := d.run(args...)
	if code != ExitOK {
		d.t.Fatalf("%v: exit %d\n%s", args, code, out)
	}
	return out
}

// wantRefused executes a command line that must end with ExitFailed and print the texts.
func (d *harness) wantRefused(args []string, want ...string) {
	d.t.Helper()
	code, out := d.run(args...)
	if code != ExitFailed {
		d.t.Errorf("%v: exit %d, want %d\n%s", args, code, ExitFailed, out)
	}
	wantContains(d.t, out, want...)
}

// wantContains fails the test for each text that the output lacks.
func wantContains(t *testing.T, out string, want ...string) {
	t.Helper()
	for _, w := range want {
		if !strings.Contains(out, w) {
			t.Errorf("output does not contain %q:\n%s", w, out)
		}
	}
}

// withLog appends the flags for the log and the trust file to a command line.
func (d *harness) withLog(args ...string) []string {
	return append(args, "--log", d.url, "--trust", d.path("trust.yaml"))
}

// draftAndSign drafts a bundle file with an author's key and signs the draft with ben's. It
// returns the path of the record.
func (d *harness) draftAndSign(file, name, author string, more ...string) string {
	d.t.Helper()
	draft, record := d.path(name+".draft"), d.path(name+".record")
	d.mustRun(append(d.withLog("bundle", "draft", file, "--key", d.path(author+".key"), "-o", draft), more...)...)
	d.mustRun(d.withLog("bundle", "sign", draft, "--key", d.path("ben.key"), "-o", record)...)
	return record
}

// starterWith writes the starter bundle with one text replaced and returns the file's path.
func (d *harness) starterWith(name, old, new string) string {
	d.t.Helper()
	if !bytes.Contains(starterBundle, []byte(old)) {
		d.t.Fatalf("the starter bundle does not contain %q", old)
	}
	return d.write(name, strings.Replace(string(starterBundle), old, new, 1))
}

// Goes through an operator's usual steps: a first version, a change, the same record
// published twice, and a snapshot after --snapshot-every changes.
func TestOperatorWorkflow(t *testing.T) {
	d := newHarness(t)
	first := d.path("first.yaml")
	d.mustRun("bundle", "new", "-o", first)
	wantContains(t, d.mustRun("bundle", "check", first), "is good: 1 models, 3 pools, 3 upstreams")
	wantContains(t, d.mustRun(d.withLog("bundle", "publish", d.draftAndSign(first, "one", "ana"))...), "won: version 1 is in force")

	second := d.starterWith("second.yaml", "state: serving                  # joining, serving or leaving", "state: leaving")
	wantContains(t, d.mustRun("bundle", "diff", first, second), "~ upstream prefill-1", `state: "serving" -> "leaving"`)
	wantContains(t, d.mustRun(d.withLog("bundle", "diff", "in-force", second)...), "~ upstream prefill-1")
	record := d.draftAndSign(second, "two", "ana")
	wantContains(t, d.mustRun(d.withLog("bundle", "publish", record)...), "won: version 2")
	wantContains(t, d.mustRun(d.withLog("bundle", "publish", record)...), "version 2 is in force already")
	d.wantRefused(d.withLog("bundle", "draft", second, "--key", d.path("ana.key"), "-o", d.path("x")), "content that is in force")

	third := d.starterWith("third.yaml", "weight: 1 ", "weight: 2 ")
	wantContains(t, d.mustRun(d.withLog("bundle", "publish", d.draftAndSign(third, "three", "ana", "--snapshot-every", "1"))...), "won: version 3")
	if r, err := readRecord(d.path("three.record")); err != nil || r.Kind != bundle.KindSnapshot {
		t.Errorf("the record after --snapshot-every changes has kind %s, want a snapshot: %v", r.Kind, err)
	}
	if s := d.log.Stats(); s.Records != 3 {
		t.Errorf("%d records on the log, want 3", s.Records)
	}
}

// Guards against a publish command that reports a version as in force although another
// operator's record was adopted, and against one that appends a record twice. Only the order
// of the records on the log decides, so the command must read the log, also if the response
// to the append is lost, the append never arrives or the log is down.
func TestPublishOutcome(t *testing.T) {
	lostReply := func(d *harness) { d.log.SetFaults(logsvc.Faults{LoseReply: true}, 1) }
	rival := func(d *harness) {
		raw, err := os.ReadFile(d.path("rival.record"))
		if err != nil {
			d.t.Fatal(err)
		}
		d.intercept = func(http.ResponseWriter) bool {
			d.log.Append(defaultStream, raw)
			return false
		}
	}
	cut := func(d *harness) {
		d.intercept = func(http.ResponseWriter) bool { panic(http.ErrAbortHandler) }
	}
	down := func(d *harness) {
		d.intercept = func(w http.ResponseWriter) bool {
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	tests := []struct {
		name    string
		faults  []func(*harness)
		code    int
		records int
		want    []string
	}{
		{"reply lost", []func(*harness){lostReply}, ExitOK, 1, []string{"reply was lost", "won: version 1"}},
		{"rival first", []func(*harness){rival}, ExitFailed, 2, []string{"lost (lost-race) to number 1, digest ", "by author eva"}},
		{"rival first and reply lost", []func(*harness){rival, lostReply}, ExitFailed, 2, []string{"reply was lost", "by author eva"}},
		{"never arrived", []func(*harness){cut}, ExitFailed, 0, []string{"unknown outcome", "up to offset 0"}},
		{"log down", []func(*harness){down}, ExitFailed, 0, []string{"nothing was appended", "503"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newHarness(t)
			file := d.write("first.yaml", string(starterBundle))
			record := d.draftAndSign(file, "one", "ana")
			d.draftAndSign(file, "rival", "eva")
			for _, fault := range tt.faults {
				fault(d)
			}
			code, out := d.run(append(d.withLog("bundle", "publish", record), "--timeout", "3s")...)
			if code != tt.code {
				t.Errorf("exit %d, want %d\n%s", code, tt.code, out)
			}
			wantContains(t, out, tt.want...)
			if s := d.log.Stats(); s.Records != tt.records {
				t.Errorf("%d records on the log, want %d", s.Records, tt.records)
			}
		})
	}
}

// Covers the refusals of sign, draft, publish and keygen: an untrusted key, the same key for
// both signatures, a key with the id of a trusted one, an unreviewed or outdated record, an
// existing key file, a private key that others may read, and a log that was trimmed.
func TestRefusals(t *testing.T) {
	d := newHarness(t)
	file := d.write("first.yaml", string(starterBundle))
	d.mustRun(d.withLog("bundle", "draft", file, "--key", d.path("ana.key"), "-o", d.path("draft"))...)
	sign := func(key string) []string {
		return d.withLog("bundle", "sign", d.path("draft"), "--key", d.path(key), "-o", d.path("signed-"+key))
	}
	d.wantRefused(sign("ana.key"), "different keys")
	d.keygen("mallory")
	d.wantRefused(sign("mallory.key"), `reviewer key "mallory" is not trusted`)
	d.wantRefused(d.withLog("bundle", "draft", file, "--key", d.path("mallory.key"), "-o", d.path("strange")), `author key "mallory" is not trusted`)
	if err := os.Rename(d.path("eva.key"), d.path("eva-old.key")); err != nil {
		t.Fatal(err)
	}
	d.keygen("eva")
	d.wantRefused(d.withLog("bundle", "draft", file, "--key", d.path("eva.key"), "-o", d.path("strange")), "another one than the trusted key")
	for _, name := range []string{"strange", "signed-mallory.key"} {
		if _, err := os.Stat(d.path(name)); err == nil {
			t.Errorf("%s was written", name)
		}
	}
	if err := os.Rename(d.path("eva-old.key"), d.path("eva.key")); err != nil {
		t.Fatal(err)
	}
	d.wantRefused(d.withLog("bundle", "publish", d.path("draft")), "not reviewed", "nothing was appended")
	d.wantRefused([]string{"keygen", "ana", "-o", d.path("ana.key")}, "exists")
	outdated := d.draftAndSign(file, "old", "ana")
	d.mustRun(d.withLog("bundle", "publish", d.draftAndSign(file, "one", "eva"))...)
	d.wantRefused(d.withLog("bundle", "publish", outdated), "draft it again", "nothing was appended")
	if err := os.Chmod(d.path("ben.key"), 0o644); err != nil {
		t.Fatal(err)
	}
	d.wantRefused(sign("ben.key"), "others may read this private key")
	d.log.Trim(defaultStream, 0)
	d.wantRefused(append(d.withLog("bundle", "publish", outdated), "--timeout", "3s"), "no usable checkpoint", "nothing was appended")
}

// An invalid bundle file is refused with its line and the field, and for an unknown key with
// the allowed ones.
func TestBadBundleFile(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown key", "    slots: 4 ", "    slotz: 4 ", []string{"b.yaml:9: unknown key \"slotz\" in pools.prefill-a; allowed: role, slots, queues, link_bytes_per_second, memory_tokens, hold_ms, step_ms"}},
		{"wrong type", "slots: 4 ", "slots: many ", []string{"b.yaml:9: "}},
		{"duplicate name", "  decode-a:\n", "  prefill-a:\n", []string{"b.yaml:11: ", "prefill-a"}},
		{"not YAML", "pools:", "pools: [", []string{"b.yaml:"}},
		{"unknown pool", "prefill_pool: prefill-a", "prefill_pool: nowhere", []string{`models.drafter.prefill_pool: unknown pool "nowhere"`, "b.yaml:24:"}},
		{"wrong role", "prefill_pool: prefill-a", "prefill_pool: status", []string{`pool "status" has role "service", not "prefill"`}},
		{"bad address", "127.0.0.1:9001", "127.0.0.1", []string{"upstreams.prefill-1.address", "is not host:port"}},
		{"address twice", "127.0.0.1:9002", "127.0.0.1:9001", []string{`is also that of upstream "decode-1"`}},
		{"bad state", "state: serving  ", "state: gone  ", []string{"upstreams.prefill-1.state"}},
		{"bad weight", "weight: 1 ", "weight: 0 ", []string{"teams.example.weight: must be at least 1"}},
		{"bad digest", "key_digests: []", "key_digests: [abc]", []string{"teams.example.key_digests[0]"}},
		{"missing", "    timeout_ms: 2000\n", "", []string{"services.status.timeout_ms: must be from 1 to"}},
		{"two problems", "urgent_headroom: 0.1 ", "urgent_headroom: 2 \n  retry_budget: -1 #", []string{"policy.urgent_headroom", "policy.retry_budget"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := &harness{t: t, dir: t.TempDir()}
			file := d.starterWith("b.yaml", tt.old, tt.new)
			if tt.name == "two problems" {
				file = d.write("b.yaml", regexp.MustCompile(`(?m)^  retry_budget: 0.*\n`).ReplaceAllString(readFile(t, file), ""))
			}
			d.wantRefused([]string{"bundle", "check", file}, tt.want...)
		})
	}
}

// readFile returns the content of a file.
func readFile(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a bundle whose model cannot be served because the weight store lacks its
// version. Such a bundle is otherwise valid; once published, every engine gets orders to
// load the version again and again. bundle check must find it if it is given the store.
func TestCheckAsksTheWeightStore(t *testing.T) {
	d := newHarness(t)
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodHead || r.URL.Path != "/weights/drafter/1" {
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer store.Close()
	good := d.write("good.yaml", string(starterBundle))
	bad := d.write("bad.yaml", strings.Replace(string(starterBundle), `version: "1"`, `version: "2"`, 1))
	d.mustRun("bundle", "check", good, "--weights", store.URL)
	d.mustRun("bundle", "check", bad)
	d.wantRefused([]string{"bundle", "check", bad, "--weights", store.URL}, "models.drafter.version", "does not hold")
}

// transportFunc is an http.RoundTripper that is a function.
type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a weight store that is asked with another client than the one given, so
// that its proxy and TLS settings do not apply.
func TestCheckUsesTheGivenClient(t *testing.T) {
	d := newHarness(t)
	asked := 0
	hc := &http.Client{Transport: transportFunc(func(r *http.Request) (*http.Response, error) {
		asked++
		return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Request: r}, nil
	})}
	var out bytes.Buffer
	args := []string{"bundle", "check", d.write("good.yaml", string(starterBundle)), "--weights", "http://127.0.0.1:1"}
	if code := Main(t.Context(), args, Env{Stdout: &out, Stderr: &out, HTTP: hc}); code != ExitOK || asked == 0 {
		t.Errorf("exit %d after %d requests by the given client: %s", code, asked, out.String())
	}
}

// The private key file must be readable only by its owner, and the digest that team-key prints
// must be that of the printed key.
func TestSecretsStayInFiles(t *testing.T) {
	d := newHarness(t)
	info, err := os.Stat(d.path("ana.key"))
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("key file: %v, %v", info.Mode(), err)
	}
	out := d.mustRun("team-key")
	m := regexp.MustCompile(`nowhere\): (\S+)\n.*bundle: +([0-9a-f]{64})\n`).FindStringSubmatch(out)
	if m == nil {
		t.Fatal(out)
	}
	if digest := sha256.Sum256([]byte(m[1])); hex.EncodeToString(digest[:]) != m[2] {
		t.Error("the digest is not that of the key")
	}
}

// Invalid command lines have an exit code of their own.
func TestUsage(t *testing.T) {
	d := &harness{t: t, dir: t.TempDir()}
	for _, args := range [][]string{{"bundle", "fly"}, {"bundle", "publish", "x"}, {"keygen", "a b", "-o", d.path("k")}, {"bundle", "diff", "in-force", "x"}, {}} {
		if code, out := d.run(args...); code != ExitUsage {
			t.Errorf("%v: exit %d\n%s", args, code, out)
		}
	}
	if code, _ := d.run("bundle", "--help"); code != ExitOK {
		t.Errorf("--help: exit %d", code)
	}
}

// startAdminServer starts a fake administration listener of a daemon and returns its URL.
func startAdminServer(t *testing.T, status adminapi.BundleStatus) string {
	t.Helper()
	answers := map[string]any{
		adminapi.PathBundle:    status,
		adminapi.PathRequests:  adminapi.Requests{Instance: status.Instance, Requests: []adminapi.Request{{ID: "r1", Step: "decode", AgeMS: 1500}}},
		adminapi.PathUpstreams: adminapi.Upstreams{Instance: status.Instance, Upstreams: []adminapi.Upstream{{Name: "u1", LoadAgeMS: -1, Health: "ok"}}},
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer sesame" {
			w.WriteHeader(http.StatusUnauthorized)
			json.NewEncoder(w).Encode(adminapi.Error{Error: "no token"})
			return
		}
		json.NewEncoder(w).Encode(answers[r.URL.Path])
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// The commands that query daemons print a table, and a summary for each data centre. They
// report daemons that do not answer, refuse the token or have conflicting versions.
func TestAdminTables(t *testing.T) {
	d := &harness{t: t, dir: t.TempDir()}
	token := d.write("token", "sesame\n")
	status := func(dc, instance string, number uint64, digest string) string {
		return startAdminServer(t, adminapi.BundleStatus{DataCentre: dc, Instance: instance, Number: number, Digest: digest, Ready: true})
	}
	a, b := status("dc1", "a", 7, "aa"), status("dc1", "b", 7, "aa")
	c, other := status("dc2", "c", 6, "cc"), status("dc1", "o", 7, "bb")
	urls := func(urls ...string) []string {
		return []string{"--token-file", token, "--admin", strings.Join(urls, ",")}
	}
	out := d.mustRun(append([]string{"bundle", "status"}, urls(c, b, a)...)...)
	wantContains(t, out, "dc1: version 7 in force on all 2", "dc2: version 6 in force on all 1")
	wantContains(t, d.mustRun(append([]string{"bundle", "status"}, urls(a, other)...)...), "dc1: CONFLICT")
	d.mustRun(append([]string{"bundle", "status", "--until", "6"}, urls(a, c)...)...)
	d.wantRefused(append([]string{"bundle", "status", "--until", "7", "--timeout", "1s"}, urls(a, c)...), "not in force everywhere")
	d.wantRefused(append([]string{"bundle", "status"}, urls(a, "http://127.0.0.1:1")...), "1 of 2 daemons did not answer")
	d.wantRefused([]string{"bundle", "status", "--admin", a}, "status 401 no token")
	wantContains(t, d.mustRun(append([]string{"requests"}, urls(a)...)...), "r1", "decode", "1.5s")
	wantContains(t, d.mustRun(append([]string{"upstreams"}, urls(a)...)...), "u1", "ok")
}
