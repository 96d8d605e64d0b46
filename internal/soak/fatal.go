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
	// fatalCallers is how many callers repeat a request that ends upstreams.
	fatalCallers = 2
	// contactTime is after how long a daemon is in touch again, as it stands in the settings.
	contactTime = 3 * time.Second
	// fatalEnds and fatalRetries are how many upstreams may end under one request until the
	// contact has passed, and how often it may reach others afterwards.
	fatalEnds, fatalRetries = 3, 3
	// reviveTime is how long an upstream is away that ended.
	reviveTime = 300 * time.Millisecond
)

// fatalAsk is an attempt at a request that ends upstreams.
type fatalAsk struct {
	id, body string
	at       time.Time
	inTouch  bool // its daemon
}

// fatalCaller repeats one request under ids of their own, at any daemon.
func (r *run) fatalCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(r.o.Seed, uint64(1000+n)))
	body, path := fmt.Sprintf("fatal %d", n), paths[rng.IntN(len(paths))]
	r.site.SetFatal(body, r.replace)
	hc := &http.Client{Timeout: answerTime, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		d := r.daemons[rng.IntN(len(r.daemons))]
		a := fatalAsk{id: fmt.Sprintf("fatal%d", r.ids.Add(1)), body: body, at: time.Now(), inTouch: r.inTouch(d)}
		if req, err := site.NewRequest(ctx, d.front, path+"x", a.id, answerTime); err == nil {
			if r.o.Teams {
				site.SetKey(req, teamKey(freeTeam, 0), "")
			}
			req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
			if resp, err := hc.Do(req); err == nil { // an error is the caller's to bear
				_ = resp.Body.Close()
			}
		}
		r.mu.Lock()
		r.fatal = append(r.fatal, a)
		r.mu.Unlock()
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
}

// replace starts an upstream, and a proxy before it, in place of one that ended.
func (r *run) replace(u *site.Upstream) {
	i := slices.Index(r.upstreams(), u)
	_, p := r.upstream(i)
	p.close() // so that the port in front of it is closed too
	time.Sleep(reviveTime)
	next, err := r.site.AddAnother(u, fmt.Sprintf("u%d-%d", i, r.ids.Add(1)))
	if errors.Is(err, site.ErrClosed) {
		return // the run is over
	}
	if err != nil {
		panic(err) // the run cannot go on without it
	}
	if p, err = newProxy(next.Address()); err != nil {
		panic(err)
	}
	next.SetPublic(p.address())
	r.mu.Lock()
	r.ups[i], r.proxies[i] = next, p
	r.mu.Unlock()
	r.site.Register(next, "in_service")
}

// upstream returns the present life of an upstream and the proxy before it.
func (r *run) upstream(i int) (*site.Upstream, *proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ups[i], r.proxies[i]
}

// upstreams returns the present lives of all.
func (r *run) upstreams() []*site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ups)
}

// disturb notes a fault of a daemon, or of the store.
func (r *run) disturb(d *daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d == nil {
		r.troubled = time.Now()
		return
	}
	d.troubled = time.Now()
	d.troubles = append(d.troubles, d.troubled)
}

func (r *run) inTouch(d *daemon) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(d.troubled) > contactTime && time.Since(r.troubled) > contactTime
}

// checkFatal holds what upstreams saw against what daemons owe of a request under which
// upstreams ended.
func (r *run) checkFatal() {
	late := map[string]int{}
	for _, a := range r.fatal {
		ends := r.site.Account.Ends(a.body)
		if len(ends) < fatalEnds || !a.inTouch || a.at.Before(ends[fatalEnds-1].Add(contactTime)) {
			continue
		}
		late[a.body] += len(r.site.Account.Runs(a.id))
	}
	for body, n := range late {
		if n > fatalRetries {
			r.violate("%q reached upstreams %d times after three had ended under it; %d ended in all", body, n, len(r.site.Account.Ends(body)))
		}
	}
}
