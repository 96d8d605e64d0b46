package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/admin/adminapi"
	"github.com/corianderturn/corianderturn/internal/telemetry"
	"github.com/corianderturn/corianderturn/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testToken = "sesame-open-sesame"

// fakeSource is a Source with fixed answers that counts the calls of StartDrain.
type fakeSource struct{ drainCalls atomic.Int64 }

func (*fakeSource) BundleStatus() adminapi.BundleStatus { return adminapi.BundleStatus{Number: 7} }
func (*fakeSource) Requests() adminapi.Requests         { return adminapi.Requests{Omitted: 3} }
func (*fakeSource) Upstreams() adminapi.Upstreams       { return adminapi.Upstreams{BundleNumber: 7} }
func (*fakeSource) Members() adminapi.Members           { return adminapi.Members{Instance: "one"} }

func (f *fakeSource) StartDrain() adminapi.DrainResponse {
	f.drainCalls.Add(1)
	return adminapi.DrainResponse{Instance: "one", InFlight: 2}
}

// tokenFile writes a token file and returns its path.
func tokenFile(t *testing.T, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestInterface(t *testing.T) {
	var logs bytes.Buffer
	logger, err := telemetry.NewLogger(&logs, "debug", telemetry.FormatText)
	if err != nil {
		t.Fatal(err)
	}
	src := &fakeSource{}
	s, err := New(Options{Admin: settings.Admin{Listen: "127.0.0.1:0", TokenFile: tokenFile(t, testToken+"\n")}, Source: src, Logger: logger})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	cases := []struct {
		name, method, path, auth string
		status                   int
		body                     any
	}{
		{"bundle", "GET", adminapi.PathBundle, "Bearer " + testToken, 200, src.BundleStatus()},
		{"requests", "GET", adminapi.PathRequests, "bearer " + testToken, 200, src.Requests()},
		{"upstreams", "GET", adminapi.PathUpstreams, "Bearer " + testToken, 200, src.Upstreams()},
		{"members", "GET", adminapi.PathMembers, "Bearer " + testToken, 200, src.Members()},
		{"drain", "POST", adminapi.PathDrain, "Bearer " + testToken, 202, adminapi.DrainResponse{Instance: "one", InFlight: 2}},
		{"drain by GET", "GET", adminapi.PathDrain, "Bearer " + testToken, 405, adminapi.Error{Error: "the path takes another method"}},
		{"no path", "GET", "/v1/nothing", "Bearer " + testToken, 404, adminapi.Error{Error: "no such path"}},
		{"no token", "GET", adminapi.PathBundle, "", 401, nil},
		{"no token for no path", "GET", "/v1/nothing", "", 401, nil},
		{"wrong token", "POST", adminapi.PathDrain, "Bearer sesame-shut-sesame", 401, nil},
		{"longer token", "POST", adminapi.PathDrain, "Bearer " + testToken + "x", 401, nil},
		{"empty token", "POST", adminapi.PathDrain, "Bearer ", 401, nil},
		{"other scheme", "POST", adminapi.PathDrain, "Basic " + testToken, 401, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := http.NewRequest(c.method, "http://"+s.Addr().String()+c.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Authorization", c.auth)
			res, err := client.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			var got any
			if err := json.NewDecoder(res.Body).Decode(&got); err != nil || res.StatusCode != c.status {
				t.Fatal(res.StatusCode, err)
			}
			if c.body == nil {
				return
			}
			raw, err := json.Marshal(c.body)
			if err != nil {
				t.Fatal(err)
			}
			var want any
			if err := json.Unmarshal(raw, &want); err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(want, got); d != "" {
				t.Error(d)
			}
		})
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if src.drainCalls.Load() != 1 || strings.Contains(logs.String(), "sesame") {
		t.Errorf("%d drains, want 1 and no token in the log: %s", src.drainCalls.Load(), logs.String())
	}
}

// Guards against an administration interface that is open to the network. A program
// may create the server without validating the settings, or the token file may be
// empty. New must reject such options itself, and its errors must not contain the token.
func TestUnsafeSettingsAreRefused(t *testing.T) {
	logger, err := telemetry.NewLogger(&bytes.Buffer{}, "info", telemetry.FormatText)
	if err != nil {
		t.Fatal(err)
	}
	good := tokenFile(t, testToken)
	for name, a := range map[string]settings.Admin{
		"off":         {TokenFile: good},
		"open":        {Listen: "0.0.0.0:0", TokenFile: good},
		"all names":   {Listen: ":0", TokenFile: good},
		"no token":    {Listen: "127.0.0.1:0"},
		"no file":     {Listen: "127.0.0.1:0", TokenFile: good + "x"},
		"empty token": {Listen: "127.0.0.1:0", TokenFile: tokenFile(t, "\n")},
		"short token": {Listen: "127.0.0.1:0", TokenFile: tokenFile(t, "sesame")},
		"no key":      {Listen: "127.0.0.1:0", TokenFile: good, TLS: settings.ServerTLS{CertFile: good}},
		"bad key":     {Listen: "127.0.0.1:0", TokenFile: good, TLS: settings.ServerTLS{CertFile: good, KeyFile: good}},
	} {
		_, err := New(Options{Admin: a, Source: &fakeSource{}, Logger: logger})
		if err == nil || strings.Contains(err.Error(), "sesame") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
