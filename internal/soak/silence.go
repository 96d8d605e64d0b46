package soak

import (
	"math/rand/v2"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/site"
)

const (
	// minSilence and maxSilence bound how long a sound upstream may be silent.
	minSilence = 500 * time.Millisecond
	maxSilence = 2500 * time.Millisecond
	// maxSilencePause bounds the time between two silences.
	maxSilencePause = time.Second
	// maxCompanions is the largest number of faults that accompany a silence.
	maxCompanions = 3
	// silenceTimeout is the deadline of requests in a run with silences, longer than a request takes
	// that meets several.
	silenceTimeout = 9 * time.Second
	// silenceEventInterval is the time between two events of a stream in a run with silences, which
	// makes streams last long enough to meet them.
	silenceEventInterval = 100 * time.Millisecond
)

// The actions that silenceFaults draws from, and those that accompany a silence.
var (
	silenceActions   = []action{actSilence, actSilenceAll, actSilenceVersion, actLateEvents}
	companionActions = []action{actPublishConfig, actHup, actTerm, actWithdraw}
)

// engineVersions are the software versions of the engines in a run with silences.
var engineVersions = []string{site.DefaultVersion, "v2"}

// silenceModes are the ways in which a proxy takes part in a silence. With transparent, the upstream
// holds back what it writes.
var silenceModes = []proxyMode{transparent, stalled, responsesStalled}

// silenceFaults generates silences of upstreams at random, one after the other, each accompanied by
// planned work such as versions of the configuration and stops of daemons. The same seed gives the same
// faults.
func silenceFaults(seed uint64, length time.Duration, daemons, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 6))
	var out []fault
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(maxSilencePause))) {
		f := fault{
			start: at, duration: minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence))),
			action: silenceActions[rng.IntN(len(silenceActions))], target: rng.IntN(upstreams),
			version: engineVersions[rng.IntN(len(engineVersions))], proxyMode: silenceModes[rng.IntN(len(silenceModes))],
		}
		if f.action == actLateEvents && rng.IntN(2) == 0 {
			f.version = "" // of all engines
		}
		out = append(out, f)
		for range rng.IntN(maxCompanions + 1) {
			c := fault{start: at + time.Duration(rng.Int64N(int64(f.duration))), duration: f.duration / 2, action: companionActions[rng.IntN(len(companionActions))]}
			if c.action == actWithdraw {
				c.target = rng.IntN(upstreams)
			} else {
				c.target = rng.IntN(daemons)
			}
			out = append(out, c)
		}
		at += f.duration
		if f.action == actLateEvents {
			at += f.duration // the last late event may come that much later
		}
	}
	return out
}

// setEngineVersion sets the software version of the i-th upstream in a run with silences.
func (r *run) setEngineVersion(u *site.Upstream, i int) {
	if r.options.Silences && u.Role() != "" {
		u.SetVersion(engineVersions[i%len(engineVersions)])
	}
}

// silence makes the upstreams of the fault silent for its duration, or makes their first events late by
// it.
func (r *run) silence(f fault) {
	for i, u := range r.upstreams() {
		switch {
		case f.action == actSilence && i != f.target:
			continue
		case (f.action == actSilenceVersion || f.action == actLateEvents) && (u.Role() == "" || f.version != "" && u.Version() != f.version):
			continue
		}
		_, p := r.upstream(i)
		switch {
		case f.action == actLateEvents:
			u.SetFaults(site.Faults{FirstEventAfter: f.duration})
			defer u.SetFaults(site.Faults{})
		case f.proxyMode == transparent:
			u.SetSilent(true)
			defer u.SetSilent(false)
		default:
			p.setMode(f.proxyMode)
			defer p.setMode(transparent)
		}
	}
	time.Sleep(f.duration)
}
