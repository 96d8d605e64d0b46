package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

var probeClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// asked is one request and what its caller saw.
type asked struct {
	id, path string
	daemon   *daemon
	at       time.Time
	ended    time.Time // when its caller had the answer, or none
	status   int       // 0 when no answer came
	whole    bool
	team     string // whose key it bore; empty for nobody's
}

var paths = []string{site.PathDraft, site.PathOnce, site.PathOrder, site.PathLookUp}

// caller asks until ctx ends. It keeps its connections until they break.
func (r *run) caller(ctx context.Context, n uint64) {
	rng := rand.New(rand.NewPCG(r.o.Seed, n+1))
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	hc := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		d := r.daemons[rng.IntN(len(r.daemons))]
		leave := time.Duration(0)
		if rng.IntN(10) == 0 {
			leave = time.Duration(rng.IntN(80)) * time.Millisecond
		}
		r.ask(ctx, hc, d, paths[rng.IntN(len(paths))], leave, rng)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// answerTime bounds one request; it is the deadline that callers state.
const answerTime = 4 * time.Second

// ask sends one request, which its caller gives up after leave unless that is 0, and
// checks the answer.
func (r *run) ask(ctx context.Context, hc *http.Client, d *daemon, path string, leave time.Duration, rng *rand.Rand) asked {
	a := asked{id: fmt.Sprintf("id%d", r.ids.Add(1)), path: path, daemon: d, at: time.Now()}
	limit := answerTime + time.Second
	if leave > 0 {
		limit = leave
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := site.NewRequest(ctx, d.front, path+"x", a.id, answerTime)
	if err != nil {
		panic(err) // a mistake of this file
	}
	a.team = r.sign(req, rng)
	resp, err := hc.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status = resp.StatusCode
		a.whole = err == nil && a.status == http.StatusOK
		r.checkBody(a, string(body), resp.Header)
	}
	r.record(a, err)
	return a
}

// checkBody holds an answer against what its upstream must have made.
func (r *run) checkBody(a asked, body string, h http.Header) {
	want := "answer to " + a.id
	if a.path == site.PathDraft || a.path == site.PathOnce {
		want = site.Stream(a.id, events)
	}
	switch {
	case a.whole && (body != want || site.Seal(h) == ""):
		r.violate("%s %s: a success with %q", a.id, a.path, body)
	case a.status == http.StatusOK && !strings.HasPrefix(want, body):
		r.violate("%s %s: a broken answer began with %q", a.id, a.path, body)
	case a.status == http.StatusNotFound:
		r.violate("%s %s: denied", a.id, a.path)
	case (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && h.Get("Retry-After") == "":
		r.violate("%s %s: refused without a time to come back", a.id, a.path)
	}
}

func (r *run) record(a asked, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.ended = time.Now()
	r.asked = append(r.asked, a)
	r.result.Asked++
	switch {
	case a.whole:
		r.result.Whole++
	case a.status == http.StatusServiceUnavailable, a.status == http.StatusTooManyRequests:
		r.result.Refused++
	case a.status == http.StatusOK && err != nil:
		r.result.Broken++
	default:
		r.result.Failed++
	}
}

// checkServing asks each daemon for everything, now that all faults are over.
func (r *run) checkServing(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.o.Seed, 0))
	for _, d := range r.daemons {
		for _, path := range paths {
			ok := waitFor(ctx, healTime, func() bool { return r.ask(ctx, probeLong, d, path, 0, rng).whole })
			if !ok {
				r.violate("daemon %d does not serve %s after the faults", d.index, path)
			}
		}
	}
}

var probeLong = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// checkAccount holds what callers were told against what ran.
func (r *run) checkAccount() {
	for _, a := range r.asked {
		runs := r.site.Account.Runs(a.id)
		once := a.path == site.PathOrder || a.path == site.PathOnce
		switch {
		case once && len(runs) > 1:
			r.violate("%s %s ran %d times: %+v", a.id, a.path, len(runs), runs)
		case once && len(runs) > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests):
			r.violate("%s %s was refused and ran: %+v", a.id, a.path, runs)
		case a.whole && len(runs) == 0:
			r.violate("%s %s was answered and never ran", a.id, a.path)
		}
		for _, run := range runs {
			if run.Body != "body of "+a.id {
				r.violate("%s %s ran with body %q", a.id, a.path, run.Body)
			}
		}
	}
}

// checkHeld waits until no upstream holds or runs anything for nobody.
func (r *run) checkHeld(ctx context.Context) {
	idle := func() bool {
		for _, u := range r.upstreams() {
			holds, handles := u.Held()
			if holds+handles+u.Active() > 0 {
				return false
			}
		}
		return true
	}
	if !waitFor(ctx, healTime, idle) {
		r.violate("upstreams hold or run something for nobody")
	}
}
