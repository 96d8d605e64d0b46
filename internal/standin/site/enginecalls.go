package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// newID returns a new id of a reservation or a prefill result; u.mu must be held.
func (u *Upstream) newID() string {
	u.lastID++
	return u.Name + "-" + strconv.Itoa(u.lastID)
}

// serveReserve reserves a slot for at most holdTTL.
func (u *Upstream) serveReserve(w http.ResponseWriter, f Faults) {
	if f.Full {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.mu.Lock()
	id := u.newID()
	u.reservations[id] = time.Now().Add(holdTTL)
	u.mu.Unlock()
	writeJSON(w, map[string]any{"hold": id})
}

// serveRelease frees a reservation or a prefill result.
func (u *Upstream) serveRelease(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, hold := u.reservations[id]; !hold && u.kvHandles[id].IsZero() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(u.reservations, id)
	delete(u.kvHandles, id)
}

// serveReport replies with the role and the load of an engine.
func (u *Upstream) serveReport(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.CutReports {
		if u.reports++; u.reports%4 != 0 {
			panic(http.ErrAbortHandler)
		}
	}
	report := map[string]any{"stage": u.role, "busy": false, "seq_no": u.roleChanges, "active_reqs": u.active}
	if u.born != 0 {
		report["born"] = u.born
	}
	writeJSON(w, report)
}

// serveOrder changes the role of an engine, unless the order expects another number
// of earlier changes.
func (u *Upstream) serveOrder(w http.ResponseWriter, body []byte) {
	var c struct {
		Stage    string  `json:"stage"`
		Expected *uint64 `json:"expected"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if c.Expected != nil && *c.Expected != u.roleChanges {
		w.WriteHeader(http.StatusConflict)
		return
	}
	u.role = c.Stage
	u.roleChanges++
	w.WriteHeader(http.StatusAccepted)
}

// servePrefill accepts a prompt and replies with the handle of its prefill result.
func (u *Upstream) servePrefill(w http.ResponseWriter, r *http.Request, body []byte, f Faults) {
	u.recordReach(r, body)
	u.account.recordPrompt(r.Header.Get("Attempt-Id"), u.Service)
	u.mu.Lock()
	id := u.newID()
	u.kvHandles[id] = time.Now().Add(holdTTL)
	u.mu.Unlock()
	if u.serveEndlessReply(w, r, f) {
		return
	}
	writeJSON(w, map[string]any{"kv_handle": id, "tokens": 100, "version": 1})
}
