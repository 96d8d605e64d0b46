// Package httpjson reads and writes the JSON bodies of the stand-ins and breaks
// their connections on purpose.
package httpjson

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// MaxBody bounds a request body, in bytes.
const MaxBody = 64 << 20

// Read decodes the whole body of r into v. It answers 400 and returns false
// when the body is malformed. Reading up to the end of the body lets the server
// notice a caller that goes away later.
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

// Write answers with v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Int returns a query parameter as a number, or def when it is absent or malformed.
func Int(r *http.Request, name string, def int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return def
	}
	return n
}

// Cut closes the connection of the current request without an answer, as a
// crash or a broken link would. It does not return.
func Cut() {
	panic(http.ErrAbortHandler)
}

// Stall holds the request until its caller goes away or done is closed, then
// cuts the connection. It does not return.
func Stall(r *http.Request, done <-chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-done:
	}
	Cut()
}

// Sleep waits for d, or less when done is closed first.
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
