package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// action is what a fault does.
type action string

// The faults. Those of daemons are signals; those of upstreams and the store are
// switches of the stand-ins or of the proxies before them.
const (
	actKill     action = "kill"     // SIGKILL, and a new process
	actTerm     action = "term"     // SIGTERM, and a new process once it has ended
	actPause    action = "pause"    // SIGSTOP, and SIGCONT after the time
	actHup      action = "hup"      // SIGHUP
	actReset    action = "reset"    // connections to an upstream are reset
	actSilent   action = "silent"   // and go silent for the time
	actOneWay   action = "one-way"  // and bring nothing back
	actDelay    action = "delay"    // and are slow
	actShed     action = "shed"     // an upstream refuses
	actLost     action = "lost"     // an upstream runs requests and loses the answers
	actCut      action = "cut"      // streams break off
	actDark     action = "dark"     // an upstream answers nothing
	actFull     action = "full"     // an engine refuses reservations
	actLapse    action = "lapse"    // results of prefills lapse at once
	actStore    action = "store"    // the store refuses all
	actHistory  action = "history"  // the store forgets its history
	actConfig   action = "config"   // a new version
	actWithdraw action = "withdraw" // an upstream's registration goes and comes back

	actKillAll action = "kill all" // SIGKILL for all daemons, and new processes
	actShedAll action = "shed all" // all upstreams of the target's service refuse
	actLimit   action = "limit"    // an upstream names a rate limit
)

var daemonActions = []action{actKill, actTerm, actPause, actHup}

var upstreamActions = []action{actReset, actSilent, actOneWay, actDelay, actShed, actLost, actCut, actDark, actFull, actLapse, actWithdraw}

var storeActions = []action{actStore, actHistory, actConfig}

// fault is one entry of a schedule.
type fault struct {
	at     time.Duration
	lasts  time.Duration
	act    action
	target int // which daemon or upstream
	pick   int // which of the namedLimits
}

func (f fault) String() string {
	return fmt.Sprintf("%5.2f s %-8s target %d for %.2f s", f.at.Seconds(), f.act, f.target, f.lasts.Seconds())
}

// herd draws series in which a whole service refuses while all daemons are killed and
// started again, twice or more, and some are paused. The same seed gives the same series.
//
// Drawn one by one, these hardly ever meet: one upstream of several that refuses leaves
// retries far below what is allowed.
func herd(seed uint64, length time.Duration, daemons, upstreams int) []fault {
	const spell = 4 * time.Second
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []fault
	for at := time.Duration(0); at+spell <= length; at += spell {
		out = append(out, fault{at: at, lasts: spell, act: actShedAll, target: rng.IntN(upstreams)})
		for in := time.Duration(rng.Int64N(int64(spell / 4))); in < spell; in += time.Duration(300+rng.IntN(1500)) * time.Millisecond {
			f := fault{at: at + in, act: actKillAll}
			if rng.IntN(3) == 0 {
				f = fault{at: at + in, lasts: time.Second, act: actPause, target: rng.IntN(daemons)}
			}
			out = append(out, f)
		}
	}
	return out
}

// schedule draws the faults of a run. The same seed gives the same schedule. Faults
// come in series and overlap, on the same target too.
func schedule(seed uint64, length time.Duration, daemons, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	const perSecond = 2.5
	var out []fault
	for range int(length.Seconds() * perSecond) {
		f := fault{
			at:    time.Duration(rng.Int64N(int64(length))),
			lasts: time.Duration(100+rng.IntN(1400)) * time.Millisecond,
		}
		switch rng.IntN(4) {
		case 0:
			f.act, f.target = daemonActions[rng.IntN(len(daemonActions))], rng.IntN(daemons)
		case 1:
			f.act = storeActions[rng.IntN(len(storeActions))]
		default:
			f.act, f.target = upstreamActions[rng.IntN(len(upstreamActions))], rng.IntN(upstreams)
		}
		out = append(out, f)
	}
	return out
}
