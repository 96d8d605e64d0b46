package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// skewPeriod is how long most new connections go to one daemon, and how long to all alike after
	// that.
	skewPeriod = 2 * time.Second
	// skewShare is the share of new connections that one daemon gets meanwhile.
	skewShare = 0.95
	// skewDescriptors is the number of file descriptors of each daemon, so that callers open more
	// connections to one of them than it may have.
	skewDescriptors = 310
	// minSkewServed is the smallest share of the requests read by a daemon that must be served while
	// most connections go to it, relative to the share at other times.
	minSkewServed = 0.75
)

// skewCounts counts first tries that a daemon has answered, and those of them that it served.
type skewCounts struct{ read, served int }

// skewedDaemon returns the index of the daemon that gets most new connections at a time since the
// start of the run, or -1.
func (r *run) skewedDaemon(since time.Duration) int {
	if n := int(since / skewPeriod); n%2 == 1 {
		return (n / 2) % len(r.daemons)
	}
	return -1
}

// runSkewedCaller sends requests until ctx ends, each over a new connection.
func (r *run) runSkewedCaller(ctx context.Context, n uint64, start time.Time) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 4000+n))
	for ctx.Err() == nil {
		target, skewed := rng.IntN(len(r.daemons)), r.skewedDaemon(time.Since(start))
		if skewed >= 0 && rng.Float64() < skewShare {
			target = skewed
		}
		sent := r.sendRequest(ctx, recoveryClient, r.daemons[target], requestPaths[rng.IntN(len(requestPaths))], 0, rng)
		r.mu.Lock()
		c := &r.skew[0]
		if skewed >= 0 {
			c = &r.skew[1]
		}
		if sent.status != 0 {
			c.read++
		}
		if sent.complete && sent.status == http.StatusOK {
			c.served++
		}
		r.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// checkSkew checks that a daemon serves what it reads while most connections go to it.
func (r *run) checkSkew() {
	usual, skewed := r.skew[0], r.skew[1]
	if usual.read == 0 || skewed.read == 0 {
		return
	}
	before, after := float64(usual.served)/float64(usual.read), float64(skewed.served)/float64(skewed.read)
	if after < minSkewServed*before {
		r.addViolation("%.2f of the requests read are served while most connections go to one daemon, %.2f at other times", after, before)
	}
}
