package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

// readinessClient sends readiness probes to daemons.
var readinessClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// sentRequest is one request of a caller and the response to it.
type sentRequest struct {
	id, path string
	daemon   *daemon
	sentAt   time.Time
	endedAt  time.Time // end of the response, or of the failed attempt
	status   int       // HTTP status code; 0 without a response
	complete bool      // status 200 and the response was read to its end
	team     string    // team of the key that the request carried; empty without a valid key

	timeout   time.Duration // stated deadline
	writtenAt time.Time     // end of the request's body; zero if it was not sent whole
	left      bool          // the caller did not wait for the end of the response
	problem   string        // error of the transport
}

// requestPaths are the paths that callers request; each has its own route.
var requestPaths = []string{site.PathDraft, site.PathLetter, site.PathOrder, site.PathLookUp}

// runCaller sends requests to random daemons until ctx ends, one at a time. It reuses its
// connections until they break. n selects the seed of its random numbers.
func (r *run) runCaller(ctx context.Context, n uint64) {
	rng := rand.New(rand.NewPCG(r.options.Seed, n+1))
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		d := r.daemons[rng.IntN(len(r.daemons))]
		cancelAfter := time.Duration(0)
		if rng.IntN(10) == 0 {
			cancelAfter = time.Duration(rng.IntN(80)) * time.Millisecond
		}
		r.sendRequest(ctx, client, d, requestPaths[rng.IntN(len(requestPaths))], cancelAfter, rng)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// requestTimeout is the deadline that requests state in their header.
const requestTimeout = 4 * time.Second

// sendRequest sends one request and checks the response. If cancelAfter is not 0, the caller
// cancels the request after that time.
func (r *run) sendRequest(ctx context.Context, client *http.Client, d *daemon, path string, cancelAfter time.Duration, rng *rand.Rand) sentRequest {
	sent := sentRequest{id: fmt.Sprintf("id%d", r.idCount.Add(1)), path: path, daemon: d, sentAt: time.Now(), timeout: requestTimeout, left: cancelAfter > 0}
	if r.options.Silences {
		sent.timeout = silenceTimeout
	}
	timeout := sent.timeout + time.Second
	if cancelAfter > 0 {
		timeout = cancelAfter
	}
	callers := ctx
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var writtenAt atomic.Pointer[time.Time]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			writtenAt.Store(&now)
		}
	}})
	req, err := site.NewRequest(ctx, d.callersAddress, path+"x", sent.id, sent.timeout)
	if err != nil {
		panic(err) // programming error: the URL is invalid
	}
	sent.team = r.setTeamKey(req, rng)
	resp, err := client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		sent.status = resp.StatusCode
		sent.complete = err == nil && sent.status == http.StatusOK
		r.checkResponse(sent, string(body), resp.Header)
	}
	if at := writtenAt.Load(); at != nil {
		sent.writtenAt = *at
	}
	sent.left = sent.left || callers.Err() != nil
	sent.problem = fmt.Sprint(err)
	r.recordRequest(sent, err)
	return sent
}

// checkResponse checks a response against the one that the upstream generates for the request.
// An incomplete response must be a prefix of it. A rejection must have a Retry-After header.
func (r *run) checkResponse(sent sentRequest, body string, h http.Header) {
	if len(slices.Compact(slices.Sorted(slices.Values(site.EventVersions(body))))) > 1 {
		r.addViolation("%s %s: events of versions %v in one answer", sent.id, sent.path, site.EventVersions(body))
	}
	body = site.WithoutVersions(body)
	want := "answer to " + sent.id
	if sent.path == site.PathDraft || sent.path == site.PathLetter {
		want = site.Stream(sent.id, streamEvents)
	}
	switch {
	case sent.complete && (body != want || site.Seal(h) == ""):
		r.addViolation("%s %s: a success with %q", sent.id, sent.path, body)
	case sent.status == http.StatusOK && !strings.HasPrefix(want, body):
		r.addViolation("%s %s: a broken answer began with %q", sent.id, sent.path, body)
	case sent.status == http.StatusNotFound:
		r.addViolation("%s %s: denied", sent.id, sent.path)
	case (sent.status == http.StatusServiceUnavailable || sent.status == http.StatusTooManyRequests) && h.Get("Retry-After") == "":
		r.addViolation("%s %s: refused without a time to come back", sent.id, sent.path)
	}
}

// recordRequest adds a finished request to r.requests and counts it in r.result. err is the error of
// the transport.
func (r *run) recordRequest(sent sentRequest, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent.endedAt = time.Now()
	r.requests = append(r.requests, sent)
	r.result.Requests++
	switch {
	case sent.complete:
		r.result.Answered++
	case sent.status == http.StatusServiceUnavailable, sent.status == http.StatusTooManyRequests:
		r.result.Refused++
	case sent.status == http.StatusOK && err != nil:
		r.result.CutOff++
	default:
		r.result.Failed++
	}
}

// checkRecovery checks, after the last fault, that each daemon serves every path within
// recoveryTimeout.
func (r *run) checkRecovery(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 0))
	for _, d := range r.daemons {
		for _, path := range requestPaths {
			ok := waitFor(ctx, func() bool { return r.sendRequest(ctx, recoveryClient, d, path, 0, rng).complete })
			if !ok {
				r.addViolation("daemon %d does not serve %s after the faults", d.index, path)
			}
		}
	}
}

// recoveryClient sends the requests of checkRecovery, each over a new connection.
var recoveryClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// checkExecutions checks the responses against the executions that upstreams recorded. A
// non-idempotent request must run at most once, and must not run if it was rejected. An answered
// request must have run. Upstreams must receive the body that the caller sent.
func (r *run) checkExecutions() {
	for _, sent := range r.requests {
		runs := r.site.Account.Executions(sent.id)
		nonIdempotent := sent.path == site.PathOrder || sent.path == site.PathLetter
		if nonIdempotent && len(runs) > 1 {
			r.result.RanTwice[sent.path]++
			r.addViolation("%s %s ran %d times: %+v", sent.id, sent.path, len(runs), runs)
		}
		if nonIdempotent && len(runs) > 0 && promisesNotRun(sent.status) {
			r.result.RefusedAndRan[sent.path]++
			r.addViolation("%s %s was refused and ran: %+v", sent.id, sent.path, runs)
		}
		if sent.complete && len(runs) == 0 {
			r.addViolation("%s %s was answered and never ran", sent.id, sent.path)
		}
		for _, run := range runs {
			if run.Body != "body of "+sent.id {
				r.addViolation("%s %s ran with body %q", sent.id, sent.path, run.Body)
			}
		}
	}
}

// promisesNotRun reports whether callers take a status as the promise that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkNothingHeld checks that upstreams become idle after the last request, so that they run no
// request and hold neither reservations nor prefill results.
func (r *run) checkNothingHeld(ctx context.Context) {
	idle := func() bool {
		for _, u := range r.upstreams() {
			holds, handles := u.Held()
			if holds+handles+u.Active() > 0 {
				return false
			}
		}
		return true
	}
	if !waitFor(ctx, idle) {
		r.addViolation("upstreams hold or run something for nobody")
	}
}
