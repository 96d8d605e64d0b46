package quarantine

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/internal/clock"
)

// LostRun describes a run whose connection was lost before the end of the response.
type LostRun struct {
	// Request is the id of the attempt, which logs show as request.
	Request string
	Subject Subject
	// Upstream is the name and Address the host and port of the upstream.
	Upstream, Address string
	// Step names the call whose connection was lost.
	Step string
	// Answering is set if a part of the response had arrived.
	Answering bool
	// Ran is the time from the start of the call to the loss of its connection.
	Ran time.Duration
}

// ProbeResult is the result of probing an upstream after a run on it lost its connection.
type ProbeResult uint8

// Results of a probe.
const (
	// ProbeTimedOut: the probe got no answer, as during a network partition.
	ProbeTimedOut ProbeResult = iota
	// UpstreamAlive: the upstream accepts connections, so only the connection of the run was lost.
	UpstreamAlive
	// UpstreamCrashed: the host refuses connections, so the upstream's process has terminated.
	UpstreamCrashed
)

// String returns the value used in logs and metrics.
func (s ProbeResult) String() string { return [...]string{"unsure", "lives", "ended"}[s] }

// Dialer probes an upstream: it opens a connection and closes it again.
type Dialer func(ctx context.Context, address string) error

// DialTCP is the Dialer used by a daemon.
func DialTCP(ctx context.Context, address string) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(conn.Close())
}

// Options configure a Keeper; Dial, Logger and Now are required.
type Options struct {
	Dial Dialer
	// Log is the quarantine log shared by all daemons. If nil, the Keeper uses only the crashes
	// that it detects itself.
	Log Log
	// IsReader reports whether this daemon is a reader, which reads the log itself. Otherwise it is
	// a follower: another daemon sends it the records, which are applied with ApplyRemote. Nil
	// means that this daemon is always a reader.
	IsReader func() bool
	// Wait is how long a read of the log blocks while there is no new record, and Retention is the
	// retention time of the log.
	Wait, Retention time.Duration
	// OnProbe, if not nil, is called with the result of each probe.
	OnProbe func(s ProbeResult)
	// OnVerdict, if not nil, is called when a prompt part is quarantined, and when it is released. It must
	// not block or call the Keeper.
	OnVerdict func(quarantined bool)
	// OnCountChanged, if not nil, is called with the number of requests that have recorded crashes
	// whenever that number changes.
	OnCountChanged func(requests int)
	Logger         log.Interface
	Now            func() time.Time
}

const (
	// probeTimeout bounds the probe of an upstream; it is many times the network latency.
	probeTimeout = 200 * time.Millisecond
	// probeAgainDelay is the time after which an upstream that accepted a connection is probed again. The kernel
	// ends the listening socket of a killed process some milliseconds after its connections.
	probeAgainDelay = 50 * time.Millisecond
	// probeWorkers is the number of concurrent probes and maxQueuedProbes the number that may
	// wait: all upstreams of a rack may crash at once.
	probeWorkers    = 8
	maxQueuedProbes = 256
	// maxRunsPerUpstream bounds the lost runs of one upstream that wait for the result of its
	// probe. Further ones are neither logged nor recorded.
	maxRunsPerUpstream = 64
	// forgetInterval is how often expired entries are removed from the ledger.
	forgetInterval = time.Minute
)

// Keeper probes upstreams on which runs lost their connection, logs which requests ran there,
// and records crashes in a Ledger that it shares with the other daemons. It implements
// supervise.Service and is safe for concurrent use.
//
// Without a Keeper a request that crashes its upstream is retried on one replica after another, and
// no log message shows which request the crashes have in common.
type Keeper struct {
	o Options
	// probes queues the addresses of upstreams to probe.
	probes chan string
	// requestsWithCrashes is the number of requests with recorded crashes. It is 0 nearly always, and
	// then no digest is computed.
	requestsWithCrashes atomic.Int64

	// pendingReady holds a value while records wait to be appended to the log.
	pendingReady chan struct{}

	mu       sync.Mutex // guards the fields below
	lostRuns map[string][]LostRun
	ledger   *Ledger
	// pending are the records to append to the log, oldest first.
	pending []Record
	recent  recentRecords
	renewal renewal
	// completions holds when requests with a part last completed on this daemon, also of parts under
	// which no upstream crashed yet.
	completions completionTimes
	// quarantinedParts are the parts whose quarantine was logged.
	quarantinedParts map[Digest]bool
	// reportedEvaluation is the evaluation of the ledger whose verdicts were logged last.
	reportedEvaluation int
}

// NewKeeper returns a Keeper with an empty ledger.
func NewKeeper(o Options) *Keeper {
	return &Keeper{
		o: o, probes: make(chan string, maxQueuedProbes), pendingReady: make(chan struct{}, 1),
		lostRuns: map[string][]LostRun{}, ledger: NewLedger(), recent: newRecentRecords(o.Now()), renewal: newRenewal(o.Retention), quarantinedParts: map[Digest]bool{},
	}
}

// Name implements supervise.Service.
func (k *Keeper) Name() string { return "quarantine" }

// Run implements supervise.Service.
func (k *Keeper) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	for range probeWorkers {
		wg.Go(func() { k.probeLoop(ctx) })
	}
	if k.o.Log != nil {
		wg.Go(func() { k.appendLoop(ctx) })
		wg.Go(func() { k.readLoop(ctx) })
		wg.Go(func() { k.renewLoop(ctx) })
	}
	for clock.Sleep(ctx, forgetInterval) {
		k.forget(k.o.Now())
	}
	return nil
}

// forget removes expired entries from the ledger.
func (k *Keeper) forget(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.RemoveExpired(now)
	k.renewal.forget(k.ledger)
	k.updateCount()
	k.reportVerdicts()
}

// RecordCompletion records that a request completed. It does not block.
func (k *Keeper) RecordCompletion(now time.Time, s Subject) {
	crashes := k.requestsWithCrashes.Load() > 0
	parts := s.parts()
	if !crashes && len(parts) == 0 {
		return
	}
	var d Digest
	if crashes {
		d = s.digest()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, part := range parts {
		k.completions.record(part, now)
		k.clearPart(part)
	}
	if crashes {
		k.recordCompletion(d, now)
	}
	k.reportVerdicts()
}

// recordCompletion records a completion of a request or part, and passes it on if it removed crashes;
// k.mu must be held.
func (k *Keeper) recordCompletion(d Digest, at time.Time) {
	if !k.ledger.RecordCompletion(d, at) {
		return
	}
	r := completionRecord(d, at)
	k.enqueue(r)
	k.recent.add(r)
	k.recent.notify()
	k.updateCount()
	k.o.Logger.WithFields(log.Fields{"digest": d.String(), "part": d.PartID()}).Info("request completed: its crashes no longer count")
}

// Verdict is whether a request must not be sent, and why.
type Verdict struct {
	Refused bool
	// Cause is the digest of the request or of the part of its prompt that is quarantined, and Crashes
	// the number of crashes recorded for it.
	Cause   Digest
	Crashes int
}

// Refuses returns the verdict on a request. It does not block.
func (k *Keeper) Refuses(now time.Time, s Subject) Verdict {
	if k.requestsWithCrashes.Load() == 0 {
		return Verdict{}
	}
	d, parts := s.digest(), s.parts()
	k.mu.Lock()
	defer k.mu.Unlock()
	if crashes, refused := k.ledger.Refuses(now, d); refused {
		return Verdict{Refused: true, Cause: d, Crashes: crashes}
	}
	part, crashes, refused := k.ledger.RefusesParts(now, parts)
	return Verdict{Refused: refused, Cause: part, Crashes: crashes}
}

// updateCount updates the number of requests with recorded crashes; k.mu must be held.
func (k *Keeper) updateCount() {
	n := k.ledger.Count()
	if k.requestsWithCrashes.Swap(int64(n)) != int64(n) && k.o.OnCountChanged != nil {
		k.o.OnCountChanged(n)
	}
}

// ReportLostRun records a run that lost its connection, and queues a probe of its upstream. It does
// not block.
func (k *Keeper) ReportLostRun(b LostRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	waiting := k.lostRuns[b.Address]
	if len(waiting) >= maxRunsPerUpstream {
		return
	}
	k.lostRuns[b.Address] = append(waiting, b)
	if len(waiting) > 0 {
		return // the probe that is already queued covers this run too
	}
	select {
	case k.probes <- b.Address:
	default:
		delete(k.lostRuns, b.Address)
		k.o.Logger.WithFields(log.Fields{"request": b.Request, "upstream": b.Upstream}).Warn("upstream not probed: too many probes queued")
	}
}

func (k *Keeper) probeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-k.probes:
			k.finishProbe(address, k.probe(ctx, address))
		}
	}
}

// probe dials an upstream, and if it accepts, once more a moment later.
func (k *Keeper) probe(ctx context.Context, address string) ProbeResult {
	if r := k.dial(ctx, address); r != UpstreamAlive || !clock.Sleep(ctx, probeAgainDelay) {
		return r
	}
	return k.dial(ctx, address)
}

// dial dials an upstream. The lost connection of a run does not prove a crash, since replicas
// reset single connections and networks drop them; a refused connection does.
func (k *Keeper) dial(ctx context.Context, address string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := k.o.Dial(ctx, address)
	switch {
	case err == nil:
		return UpstreamAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		return UpstreamCrashed
	default:
		return ProbeTimedOut
	}
}

// finishProbe logs the lost runs of a probed upstream, and records a crash for each of their
// requests if the upstream has crashed.
func (k *Keeper) finishProbe(address string, s ProbeResult) {
	if k.o.OnProbe != nil {
		k.o.OnProbe(s)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	runs := k.lostRuns[address]
	delete(k.lostRuns, address)
	for _, b := range runs {
		k.o.Logger.WithFields(log.Fields{
			"request": b.Request, "digest": b.Subject.digest().String(), "parts": partIDs(b.Subject.reportedParts()), "upstream": b.Upstream, "step": b.Step,
			"answering": b.Answering, "ran_ms": b.Ran.Milliseconds(), "sign": s.String(), "runs": len(runs),
		}).Info("run broke off")
		if s == UpstreamCrashed {
			e := Crash{Upstream: b.Upstream, At: k.o.Now().Truncate(time.Millisecond), Answering: b.Answering, Ran: b.Ran.Truncate(time.Millisecond)}
			k.recordLoss(b.Subject, e)
		}
	}
	k.updateCount()
	k.reportVerdicts()
}

// recordCrash records a crash that this daemon detected, and passes it on to the log and to the
// followers. The followers receive it even while the log accepts no appends.
func (k *Keeper) recordCrash(d Digest, e Crash) {
	if !k.ledger.RecordCrash(d, e) {
		return
	}
	r := crashRecord(d, e)
	k.enqueue(r)
	k.recent.add(r)
	k.recent.notify()
}
