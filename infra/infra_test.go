package infra

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/infra/infraapi"
)

// Symptom: a record is in the log twice, or a rejected append is treated as one that
// may have taken effect.
// Sequence: an append is rejected, or its response is lost, cut off or not valid JSON.
// Cause: the client reports the wrong effect, or repeats the request on its own.
func TestAppendEffect(t *testing.T) {
	hijack := func(w http.ResponseWriter) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.Close()
		}
	}
	raw := func(answer string) func(w http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, answer)
				conn.Close()
			}
		}
	}
	tests := []struct {
		name       string
		answer     func(w http.ResponseWriter)
		notApplied bool
	}{
		{"bad request", func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadRequest) }, true},
		{"too many requests", func(w http.ResponseWriter) { w.WriteHeader(http.StatusTooManyRequests) }, true},
		{"unavailable", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, true},
		{"internal error", func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, false},
		{"gateway timeout", func(w http.ResponseWriter) { w.WriteHeader(http.StatusGatewayTimeout) }, false},
		{"reply lost", hijack, false},
		{"status 000", raw("HTTP/1.1 000 OK\r\n\r\n{}"), false},
		{"a space in a field name", raw("HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n{}"), false},
		{"unavailable, with a space in a field name", raw("HTTP/1.1 503 Unavailable\r\nX Odd: 1\r\n\r\n{}"), false},
		{"reply garbled", func(w http.ResponseWriter) { io.WriteString(w, "{") }, false},
		{"reply cut", func(w http.ResponseWriter) { w.Header().Set("Content-Length", "99"); io.WriteString(w, "{") }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var calls atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				calls.Add(1)
				tt.answer(w)
			}))
			defer srv.Close()
			_, err := NewLog(srv.URL, srv.Client()).Append(t.Context(), "s", []byte("x"))
			if err == nil || NotApplied(err) != tt.notApplied {
				t.Errorf("error %v: not applied = %t, want %t", err, NotApplied(err), tt.notApplied)
			}
			if n := calls.Load(); n != 1 {
				t.Errorf("the request was sent %d times", n)
			}
		})
	}
}

func TestAppendRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	_, err = NewLog("http://"+addr, nil).Append(t.Context(), "s", []byte("x"))
	if !NotApplied(err) {
		t.Errorf("NotApplied is false after a refused connection: %v", err)
	}
}

func TestRead(t *testing.T) {
	full := infraapi.ReadReply{First: 3, Next: 6, Records: []infraapi.Record{{Offset: 4, Data: []byte("a")}, {Offset: 5, Data: []byte("b")}}}
	skipping := infraapi.ReadReply{Next: 6, Records: []infraapi.Record{{Offset: 4}, {Offset: 6}}}
	tests := []struct {
		name    string
		status  int
		reply   infraapi.ReadReply
		wantErr string
	}{
		{"records", http.StatusOK, full, ""},
		{"trimmed", http.StatusGone, infraapi.ReadReply{First: 9, Next: 12}, "no longer keeps"},
		{"skips an offset", http.StatusOK, skipping, "record at offset 6 where 5"},
		{"outage", http.StatusServiceUnavailable, infraapi.ReadReply{}, "status 503"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if got := r.URL.String(); got != "/streams/a%2Fb/records?from=4&max=10&wait_ms=250" {
					t.Errorf("requested %s", got)
				}
				w.WriteHeader(tt.status)
				json.NewEncoder(w).Encode(tt.reply)
			}))
			defer srv.Close()
			got, err := NewLog(srv.URL, srv.Client()).Read(t.Context(), "a/b", 4, 10, 250*time.Millisecond)
			if tt.wantErr == "" && err != nil || tt.wantErr != "" && (err == nil || !strings.Contains(err.Error(), tt.wantErr)) {
				t.Fatalf("error %v, want %q", err, tt.wantErr)
			}
			if errors.Is(err, ErrTrimmed) != (tt.status == http.StatusGone) {
				t.Errorf("ErrTrimmed does not match status %d: %v", tt.status, err)
			}
			if tt.status != http.StatusServiceUnavailable {
				if diff := cmp.Diff(tt.reply, got); diff != "" {
					t.Error(diff)
				}
			}
		})
	}
}

func TestEndlessAnswerIsCut(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := []byte(strings.Repeat(" ", 1<<20))
		for range 2 * MaxReply >> 20 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	defer srv.Close()
	_, err := NewInstances(srv.URL, srv.Client()).List(t.Context())
	if err == nil || !strings.Contains(err.Error(), "exceeds") {
		t.Errorf("error %v", err)
	}
}

func TestCallEndsWithContext(t *testing.T) {
	release := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer srv.Close()
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := NewInstances(srv.URL, srv.Client()).List(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
}

func TestWeights(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/weights/m/v1" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		fmt.Fprint(w, "0123456789")
	}))
	defer srv.Close()
	c := NewWeights(srv.URL, srv.Client())
	for version, want := range map[string]bool{"v1": true, "v2": false} {
		if got, err := c.Exists(t.Context(), "m", version); got != want || err != nil {
			t.Errorf("version %s: %t, %v", version, got, err)
		}
	}
}

// Guards against answers that are rejected because the platform's service speaks HTTP/2, which TLS negotiates.
func TestServiceSpeaksHTTP2(t *testing.T) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 2 {
			t.Errorf("the call came over %s", r.Proto)
		}
		_, _ = io.WriteString(w, "{}")
	}))
	srv.EnableHTTP2 = true
	srv.StartTLS()
	defer srv.Close()
	if _, err := NewLog(srv.URL, srv.Client()).Append(t.Context(), "s", []byte("x")); err != nil {
		t.Error(err)
	}
}
