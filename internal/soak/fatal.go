package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

const (
	// fatalCallerCount is the number of callers that send a fatal request. A fatal request is one
	// that crashes every upstream that runs it.
	fatalCallerCount = 2
	// reconnectTime is the time that a daemon needs, after a disturbance of itself or of the store,
	// to share its state with the other daemons again. The documentation of the settings states it.
	reconnectTime = 3 * time.Second
	// crashThreshold is the number of crashes after which daemons must refuse a fatal request.
	// maxLateRuns is the number of times that upstreams may still run the request after that. Only
	// attempts count that are sent to a connected daemon, at least reconnectTime after the crash
	// that reached the threshold.
	crashThreshold, maxLateRuns = 3, 3
	// replacementDelay is the time from the crash of an upstream to the start of its replacement.
	replacementDelay = 300 * time.Millisecond
)

// fatalAttempt is one attempt to send a fatal request. Its cause is the body of the request, or the
// part of its prompt, that crashes upstreams.
type fatalAttempt struct {
	id, cause       string
	sentAt          time.Time
	daemonConnected bool // result of isConnected for the daemon when the attempt was sent
}

// runFatalCaller sends the same fatal request, each time with a new id and to a random daemon,
// until ctx ends. n numbers the caller.
func (r *run) runFatalCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(1000+n)))
	body, path := fmt.Sprintf("fatal %d", n), requestPaths[rng.IntN(len(requestPaths))]
	r.site.CrashOn(body, r.replaceUpstream)
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		d := r.daemons[rng.IntN(len(r.daemons))]
		attempt := fatalAttempt{id: fmt.Sprintf("fatal%d", r.idCount.Add(1)), cause: body, sentAt: time.Now(), daemonConnected: r.isConnected(d)}
		if req, err := site.NewRequest(ctx, d.callersAddress, path+"x", attempt.id, requestTimeout); err == nil {
			if r.options.Teams {
				site.SetKey(req, teamKey(unlimitedTeam, 0), "")
			}
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
			if resp, err := client.Do(req); err == nil { // errors are expected, since the request crashes upstreams
				_ = resp.Body.Close()
			}
		}
		r.mu.Lock()
		r.fatalAttempts = append(r.fatalAttempts, attempt)
		r.mu.Unlock()
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
}

// replaceUpstream starts a replacement for a crashed upstream, with a new proxy in front of it.
func (r *run) replaceUpstream(u *site.Upstream) {
	i := slices.Index(r.upstreams(), u)
	_, p := r.upstream(i)
	p.close() // daemons connect to the proxy, so its port must refuse connections as well
	time.Sleep(replacementDelay)
	next, err := r.site.AddAnother(u, fmt.Sprintf("u%d-%d", i, r.idCount.Add(1)))
	if errors.Is(err, site.ErrClosed) {
		return // the run has ended
	}
	if err != nil {
		panic(err) // the run cannot continue without the upstream
	}
	if p, err = newProxy(next.Address()); err != nil {
		panic(err)
	}
	next.SetPublic(p.address())
	r.mu.Lock()
	r.replaced = append(r.replaced, u)
	r.currentUpstreams[i], r.proxies[i] = next, p
	r.mu.Unlock()
	r.site.Register(next, "in_service")
}

// maxListenAfterCrash bounds the time for which the listening socket of a killed process outlasts its connections.
const maxListenAfterCrash = 20 * time.Millisecond

// refuseConnections makes the proxy in front of an upstream that crashes refuse new connections, a moment after
// the upstream's connections end.
func (r *run) refuseConnections(u *site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excuses = append(r.excuses, excuse{from: time.Now(), to: time.Now().Add(replacementDelay)})
	if i := slices.Index(r.currentUpstreams, u); i >= 0 {
		p := r.proxies[i]
		time.AfterFunc(rand.N(maxListenAfterCrash), func() { p.setAccepting(acceptNone) })
	}
}

// upstream returns the i-th upstream, or its latest replacement, and the proxy in front of it.
func (r *run) upstream(i int) (*site.Upstream, *proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentUpstreams[i], r.proxies[i]
}

// upstreams returns all upstreams, or their latest replacements.
func (r *run) upstreams() []*site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.currentUpstreams)
}

// recordDisturbance records the current time as a disturbance of a daemon, or of the store if d is
// nil. A disturbance is the start or the end of a fault after which a daemon has to reconnect.
func (r *run) recordDisturbance(d *daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d == nil {
		r.storeDisturbedAt = time.Now()
		r.storeDisturbances = append(r.storeDisturbances, r.storeDisturbedAt)
		return
	}
	d.disturbedAt = time.Now()
	d.disturbances = append(d.disturbances, d.disturbedAt)
}

// isConnected reports whether reconnectTime has passed since the last disturbance of the daemon and
// since that of the store.
func (r *run) isConnected(d *daemon) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(d.disturbedAt) > reconnectTime && time.Since(r.storeDisturbedAt) > reconnectTime
}

// checkFatalRequests checks that daemons refuse a fatal request once it has crashed crashThreshold
// upstreams. At most maxLateRuns later runs are allowed.
func (r *run) checkFatalRequests() {
	r.checkLateRuns(r.fatalAttempts, crashThreshold)
}

// checkLateRuns checks the attempts whose cause must be refused after a number of crashes.
func (r *run) checkLateRuns(attempts []fatalAttempt, threshold int) {
	runs := map[string]int{}
	for _, attempt := range attempts {
		crashes := r.site.Account.CrashTimes(attempt.cause)
		if len(crashes) < threshold || !attempt.daemonConnected || attempt.sentAt.Before(crashes[threshold-1].Add(reconnectTime)) {
			continue
		}
		runs[attempt.cause] += len(r.site.Account.Executions(attempt.id))
	}
	for cause, n := range runs {
		if n > maxLateRuns {
			r.addViolation("%q reached upstreams %d times after %d had ended under it; %d ended in all", cause, n, threshold, len(r.site.Account.CrashTimes(cause)))
		}
	}
}
