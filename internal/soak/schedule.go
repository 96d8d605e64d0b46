package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// action is the type of a fault, as it appears in the printed schedule.
type action string

// The actions. Faults of daemons are signals. Faults of upstreams and of the store are injected
// by the simulated platform or by the proxies in front of the upstreams. A fault with a duration
// ends after that duration.
const (
	actKill               action = "kill"     // a daemon gets SIGKILL and is restarted
	actTerm               action = "term"     // a daemon gets SIGTERM and is restarted once it has exited
	actPause              action = "pause"    // a daemon gets SIGSTOP, and SIGCONT after the duration
	actHup                action = "hup"      // a daemon gets SIGHUP
	actReset              action = "reset"    // the proxy resets the connections to an upstream
	actStall              action = "silent"   // the proxy forwards nothing and keeps connections open
	actStallResponses     action = "one-way"  // the proxy forwards requests but no responses
	actDelay              action = "delay"    // the proxy delays what it forwards
	actShed               action = "shed"     // an upstream rejects requests
	actLoseResponses      action = "lost"     // an upstream runs requests and closes the connection
	actCutStreams         action = "cut"      // an upstream closes the connections of streams early
	actUnresponsive       action = "dark"     // an upstream accepts requests and does not respond
	actRefuseReservations action = "full"     // an engine refuses reservations
	actExpirePrefills     action = "lapse"    // an upstream refuses every prefill result as expired
	actStoreDown          action = "store"    // the store rejects every call
	actDropHistory        action = "history"  // the store deletes all records but the latest of each key
	actPublishConfig      action = "config"   // a new version of the configuration is published
	actWithdraw           action = "withdraw" // the registration of an upstream is withdrawn and restored

	actKillAll action = "kill all" // all daemons get SIGKILL and are restarted
	actShedAll action = "shed all" // all upstreams of the target's service reject requests
	actLimit   action = "limit"    // an upstream reports a rate limit
	actLink    action = "link"     // a daemon loses its links to all upstreams
	actUpgrade action = "upgrade"  // an engine restarts at a software version
	// An upstream sends answers that end with their connection; with actUnframedCrash it crashes in
	// one of them.
	actUnframed      action = "unframed"
	actUnframedCrash action = "unframed crash"

	actRepeat     action = "repeat"      // an upstream refuses some requests, and sends some answers twice
	actRepeatLate action = "repeat late" // the second time where the next answer is expected
	actCutAnswers action = "cut answers" // some answers of an upstream stop at a random byte

	actEndlessLine   action = "endless line"   // an upstream sends a line without end in its answers
	actEndlessAnswer action = "endless answer" // in its replies to reservations, prompts and reports too
	actSlowRefusal   action = "slow refusal"   // it refuses with a body that does not end
	actSlowError     action = "slow error"     // it fails with a body that does not end

	actSilence        action = "quiet"         // a sound upstream writes nothing for a time
	actSilenceAll     action = "quiet all"     // all upstreams
	actSilenceVersion action = "quiet version" // all engines of a software version
	actLateEvents     action = "late events"   // these send the first event long after the head

	actLeave   action = "leave"    // an upstream says that it leaves, and is replaced
	actRest    action = "rest"     // an upstream asks for a time without calls
	actRestAll action = "rest all" // all upstreams of the target's service do

	actRestore action = "restore" // the store is away and comes back from a copy
	actDepart  action = "depart"  // the registration of an upstream is withdrawn while it serves, and restored
)

// The actions that faultSchedule draws from, by their kind of target.
var daemonActions = []action{actKill, actTerm, actPause, actHup}

var upstreamActions = []action{actReset, actStall, actStallResponses, actDelay, actShed, actLoseResponses, actCutStreams, actUnresponsive, actRefuseReservations, actExpirePrefills, actWithdraw}

var storeActions = []action{actStoreDown, actDropHistory, actPublishConfig}

// fault is one entry of a schedule: an action that starts at a time since the start of the run.
type fault struct {
	start      time.Duration
	duration   time.Duration
	action     action
	target     int // index of the daemon or upstream
	limitIndex int // index in reportedLimits, for actLimit
	linkMode   linkMode
	version    string        // of the software, for actUpgrade, actSilenceVersion and actLateEvents, empty for all
	proxyMode  proxyMode     // for silences
	rest       time.Duration // for actRest and actRestAll
	age        time.Duration // of the copy, for actRestore
}

func (f fault) String() string {
	return fmt.Sprintf("%5.2f s %-8s target %d for %.2f s %s", f.start.Seconds(), f.action, f.target, f.duration.Seconds(), f.version)
}

// schedule generates the faults of a run, in the order of their starts.
func (o Options) schedule(upstreams int) []fault {
	// Independent faults would fall by chance on the times that checkSkew compares.
	withoutIndependent := o.Skew || o.Planned || o.Statements || o.Restores
	var out []fault
	for _, kind := range []struct {
		used     bool
		generate func(seed uint64, length time.Duration, daemons, upstreams int) []fault
	}{
		{!withoutIndependent, faultSchedule}, {o.CorrelatedFaults, correlatedFaults}, {o.RateLimits, limitFaults}, {o.Versions, versionFaults},
		{o.StaleDaemons, staleDaemonFaults},
		{o.Links, linkFaults}, {o.Endless, endlessFaults}, {o.Unframed, unframedFaults}, {o.Answers, answerFaults},
		{o.Silences, silenceFaults}, {o.Statements, statementFaults}, {o.Restores, restoreFaults},
	} {
		if kind.used {
			out = append(out, kind.generate(o.Seed, o.FaultDuration, o.Daemons, upstreams)...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].start < out[j].start })
	return out
}

// correlatedFaults generates series of faults at random: while all upstreams of a service reject
// requests, all daemons are killed and restarted, twice or more, and single daemons are paused.
// The same seed gives the same series.
//
// Independent faults hardly ever coincide like this. If only one of several upstreams rejects
// requests, the number of retries stays far below its limit.
func correlatedFaults(seed uint64, length time.Duration, daemons, upstreams int) []fault {
	const seriesLength = 4 * time.Second
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []fault
	for at := time.Duration(0); at+seriesLength <= length; at += seriesLength {
		out = append(out, fault{start: at, duration: seriesLength, action: actShedAll, target: rng.IntN(upstreams)})
		for offset := time.Duration(rng.Int64N(int64(seriesLength / 4))); offset < seriesLength; offset += time.Duration(300+rng.IntN(1500)) * time.Millisecond {
			f := fault{start: at + offset, action: actKillAll}
			if rng.IntN(3) == 0 {
				f = fault{start: at + offset, duration: time.Second, action: actPause, target: rng.IntN(daemons)}
			}
			out = append(out, f)
		}
	}
	return out
}

// unframedFaults generates faults of upstreams whose answers end with their connection.
func unframedFaults(seed uint64, length time.Duration, _, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 5))
	const perSecond = 1.5
	var out []fault
	for range int(length.Seconds() * perSecond) {
		out = append(out, fault{
			start: time.Duration(rng.Int64N(int64(length))), duration: time.Duration(300+rng.IntN(1700)) * time.Millisecond,
			action: []action{actUnframed, actUnframedCrash}[rng.IntN(2)], target: rng.IntN(upstreams),
		})
	}
	return out
}

// answerFaults generates faults of upstreams that send answers twice or in part. Two may overlap, on upstreams of
// one service as well.
func answerFaults(seed uint64, length time.Duration, _, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 11))
	const perSecond = 2
	actions := []action{actRepeat, actRepeatLate, actRepeatLate, actCutAnswers}
	var out []fault
	for range int(length.Seconds() * perSecond) {
		out = append(out, fault{
			start: time.Duration(rng.Int64N(int64(length))), duration: time.Duration(500+rng.IntN(2500)) * time.Millisecond,
			action: actions[rng.IntN(len(actions))], target: rng.IntN(upstreams),
		})
	}
	return out
}

// endlessActions are the actions that endlessFaults draws from.
var endlessActions = []action{actEndlessLine, actEndlessAnswer, actSlowRefusal, actSlowError}

// endlessFaults generates faults of upstreams whose answers have no end.
func endlessFaults(seed uint64, length time.Duration, _, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 8))
	const perSecond = 1.5
	var out []fault
	for range int(length.Seconds() * perSecond) {
		out = append(out, fault{
			start: time.Duration(rng.Int64N(int64(length))), duration: time.Duration(300+rng.IntN(1700)) * time.Millisecond,
			action: endlessActions[rng.IntN(len(endlessActions))], target: rng.IntN(upstreams),
		})
	}
	return out
}

// faultSchedule generates the independent faults of a run at random. The same seed gives the
// same schedule. Faults may overlap, also on the same target.
func faultSchedule(seed uint64, length time.Duration, daemons, upstreams int) []fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	const perSecond = 2.5
	var out []fault
	for range int(length.Seconds() * perSecond) {
		f := fault{
			start:    time.Duration(rng.Int64N(int64(length))),
			duration: time.Duration(100+rng.IntN(1400)) * time.Millisecond,
		}
		switch rng.IntN(4) {
		case 0:
			f.action, f.target = daemonActions[rng.IntN(len(daemonActions))], rng.IntN(daemons)
		case 1:
			f.action = storeActions[rng.IntN(len(storeActions))]
		default:
			f.action, f.target = upstreamActions[rng.IntN(len(upstreamActions))], rng.IntN(upstreams)
		}
		out = append(out, f)
	}
	return out
}
