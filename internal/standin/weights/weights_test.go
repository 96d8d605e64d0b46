package weights

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against an upstream that serves truncated weights: a connection that is
// closed before the end must cause an error at the reader.
func TestFaults(t *testing.T) {
	const size = 100_000
	s := New(Config{Rate: 1e9, Size: size})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	defer http.DefaultClient.CloseIdleConnections()
	defer s.Close()
	get := func(path string) ([]byte, int, error) {
		resp, err := http.Get(srv.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return body, resp.StatusCode, err
	}
	whole, _, err := get("/weights/m/v1")
	again, _, _ := get("/weights/m/v1")
	other, _, _ := get("/weights/m/v2")
	if err != nil || len(whole) != size || !bytes.Equal(whole, again) || bytes.Equal(whole, other) {
		t.Errorf("read %d bytes, error %v; want equal bytes for the same version and different ones for another", len(whole), err)
	}
	s.SetFaults(Faults{Cut: true}, 1)
	if body, _, err := get("/weights/m/v1"); err == nil {
		t.Errorf("read of %d bytes ended without an error on a closed connection", len(body))
	}
	s.SetFaults(Faults{Down: true}, 1)
	if _, status, _ := get("/weights/m/v1"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d while down, want 503", status)
	}
	s.SetFaults(Faults{Slow: 1000}, 0)
	if got := s.limiter.Limit(); got != 1e6 {
		t.Errorf("rate %v while slow, want 1e6", got)
	}
}
