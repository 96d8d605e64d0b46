// Package httpjson has the HTTP helpers of the simulated services: they read and
// write JSON bodies, and stall or abort connections for fault injection.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// MaxBody is the largest accepted request body, in bytes.
const MaxBody = 64 << 20

// Read decodes the JSON body of r into v. If the body is invalid or too large, it
// replies with 400 and returns false. It reads the body to its end, because the
// HTTP server detects a disconnecting client only after that.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Write sends a reply with the given status and v as its JSON body.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// QueryInt returns a query parameter as a number, or def if it is absent or invalid.
func QueryInt(r *http.Request, name string, def int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return def
	}
	return n
}

// Abort aborts the connection of the current request, as a crash of the server or a
// network failure would. It panics with http.ErrAbortHandler.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Stall blocks until the client of r disconnects or done is closed, and then
// aborts the connection like Abort. It does not return.
func Stall(r *http.Request, done <-chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-done:
	}
	Abort()
}

// Sleep waits for d or until done is closed.
func Sleep(d time.Duration, done <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}
