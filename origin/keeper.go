package origin

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/fleet"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/freshcall"
)

const (
	// findTimeout bounds the search for a record. Callers of streams wait many times as long for
	// their first event; a daemon that is gone answers no sooner.
	findTimeout = 150 * time.Millisecond
	// maxSearches bounds the searches in progress. Further ones fail at once, so that callers that
	// name streams which never were cannot occupy the other daemons.
	maxSearches = 64
	// flushTimeout bounds what is sent at the end of the daemon.
	flushTimeout = 300 * time.Millisecond
	// maxUnsent bounds the records that wait to be sent to other daemons.
	maxUnsent = 4096
)

// Peers are the other daemons. relay.Origins implements it.
type Peers interface {
	// Share sends records to the daemons that are to keep them. logged is set if one of them appends
	// them to the platform's log.
	Share(ctx context.Context, list []Record) (logged bool)
	// ShareDelay is how long records are collected before they are sent.
	ShareDelay() time.Duration
	// Ask asks the daemons that may keep a record, until one has it.
	Ask(ctx context.Context, q Query) Reply
}

// Query asks for the record of a stream that a caller takes up.
type Query struct {
	// ID is the try that began the stream, as the caller names it; zero if it names none.
	ID ID `msgpack:"i"`
	// Service is the only service of the route; empty if there are several. Window is how long a
	// stream of the route may last, with all tries.
	Service string        `msgpack:"s,omitempty"`
	Window  time.Duration `msgpack:"w"`
}

func (q Query) named() bool { return q.ID != ID{} }

// Reply answers a Query.
type Reply struct {
	Record   Record `msgpack:"r"`
	Found    bool   `msgpack:"f,omitempty"`
	Conflict bool   `msgpack:"c,omitempty"`
	// SoleVersion answers a query without an ID: it is the only version that the service has had for
	// the window, proved by what was read after the query arrived; empty if that is not known. Several
	// is set if there were several. Older daemons say in a field "v" what they knew before.
	SoleVersion string `msgpack:"p,omitempty"`
	Several     bool   `msgpack:"m,omitempty"`
	// Source names the daemon that had the record or the proof, and Proof says what that is. Answered
	// is set if any daemon answered.
	Source   string `msgpack:"-"`
	Proof    Proof  `msgpack:"-"`
	Answered bool   `msgpack:"-"`
}

// Versions tells which software versions a service has had. fleet.Watcher implements it.
type Versions interface {
	// SoleVersion returns the only version that the upstreams of a service had within the window.
	// The version is empty if there were several, or if the registrations are out of date.
	SoleVersion(service string, window time.Duration) fleet.SoleVersion
	// ReadAhead reads the store and returns the versions of the registrations that it has and
	// SoleVersion does not count yet.
	ReadAhead(ctx context.Context) ([]fleet.ServiceVersion, error)
	Registration(name string) (reg fleet.Registration, registered bool)
	// InUse returns the versions that upstreams have now, as far as this daemon knows.
	InUse() []fleet.ServiceVersion
}

// Options configure a Keeper; Versions, Logger and Now are required.
type Options struct {
	// Peers are the other daemons; nil if this one knows none.
	Peers Peers
	// Log is the platform's log of records; nil if there is none. WritesLog reports whether this
	// daemon appends the records that it keeps, and ReadsLog whether it reads the log, and the store
	// for a proof, before it asks other daemons; nil means that it does.
	Log       Log
	WritesLog func() bool
	ReadsLog  func() bool
	Versions  Versions
	// OnTakenUp, if not nil, is called with the outcome for each stream that is taken up.
	OnTakenUp func(o Outcome)
	Logger    log.Interface
	Now       func() time.Time
}

// Keeper records the origins of this daemon's streams, shares them with other daemons and finds
// those of streams that are taken up. It implements supervise.Service and is safe for concurrent
// use.
type Keeper struct {
	o       Options
	table   *Table
	history *history // reads and appends the log; nil without one
	search  chan struct{}

	storeReads *freshcall.Group[struct{}, []fleet.ServiceVersion]
	logReads   *freshcall.Group[struct{}, struct{}] // nil without history
	asks       *freshcall.Group[soleQuery, Reply]

	unsentReady chan struct{} // holds a value while records wait to be sent
	mu          sync.Mutex    // guards unsent
	unsent      []Record
}

// NewKeeper returns a Keeper without records.
func NewKeeper(o Options) *Keeper {
	k := &Keeper{o: o, table: NewTable(), search: make(chan struct{}, maxSearches), unsentReady: make(chan struct{}, 1)}
	k.storeReads, k.asks = freshcall.New(callTimeout, k.readAhead), freshcall.New(proveTimeout, k.ask)
	if o.Log != nil {
		k.history, k.logReads = newHistory(o, k.table), freshcall.New(callTimeout, k.readLog)
	}
	return k
}

// Name implements supervise.Service.
func (k *Keeper) Name() string { return "origins" }

// Run implements supervise.Service.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.flush(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	if k.history != nil {
		wg.Go(func() { k.history.appendLoop(ctx) })
		wg.Go(func() { k.noteVersions(ctx) })
	}
	for k.o.Peers != nil && ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-k.unsentReady:
		}
		if clock.Sleep(ctx, k.o.Peers.ShareDelay()) {
			k.share(ctx)
		}
	}
	<-ctx.Done()
	return nil
}

// flush sends and appends what waits at the end of the daemon.
func (k *Keeper) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	if k.o.Peers != nil {
		k.share(ctx)
	}
	if k.history == nil {
		return
	}
	if list := k.history.take(); len(list) > 0 {
		if err := k.history.append(ctx, list); err != nil {
			k.o.Logger.WithField("records", len(list)).WithError(err).Warn("origin records lost at the end of the daemon")
		}
	}
}

// Add records the origin of a stream of this daemon. It does not block. The record is kept for at
// most maxLife.
func (k *Keeper) Add(r Record) {
	r.LifeMillis = min(r.LifeMillis, maxLife.Milliseconds())
	if !k.table.Add(k.o.Now(), r) {
		return
	}
	k.append(r)
	if k.o.Peers == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unsent) == maxUnsent {
		k.o.Logger.WithField("records", maxUnsent).Warn("origin records not shared: too many wait")
		k.unsent = nil
	}
	k.unsent = append(k.unsent, r)
	select {
	case k.unsentReady <- struct{}{}:
	default:
	}
}

// share sends the records that wait. If no daemon that gets them writes the log, this one does.
func (k *Keeper) share(ctx context.Context) {
	k.mu.Lock()
	list := k.unsent
	k.unsent = nil
	k.mu.Unlock()
	if len(list) == 0 {
		return
	}
	if logged := k.o.Peers.Share(ctx, list); !logged && k.history != nil && !k.writesLog() {
		k.history.add(list)
	}
}

// Accept keeps records that other daemons have made. logged is set if this daemon appends them to
// the platform's log.
func (k *Keeper) Accept(list []Record) (logged bool) {
	for _, r := range list {
		if k.table.Add(k.o.Now(), r) {
			k.append(r)
		}
	}
	return k.history != nil && k.writesLog()
}

// append adds a record to those that wait for the log if this daemon writes it.
func (k *Keeper) append(r Record) {
	if k.history != nil && k.writesLog() {
		k.history.add([]Record{r})
	}
}

func (k *Keeper) writesLog() bool { return k.o.WritesLog == nil || k.o.WritesLog() }

// readsStore reports whether this daemon reads the store itself before it asks others.
func (k *Keeper) readsStore() bool { return k.o.ReadsLog == nil || k.o.ReadsLog() }

func (k *Keeper) readsLog() bool { return k.history != nil && k.readsStore() }

// Lookup answers another daemon.
func (k *Keeper) Lookup(ctx context.Context, q Query) Reply {
	if !q.named() {
		return k.proveByStore(ctx, q)
	}
	reply := k.local(q)
	if !reply.Found && !reply.Conflict && k.readsLog() {
		k.history.catchUp(ctx)
		reply = k.local(q)
	}
	return reply
}

// local answers a query for a record from what this daemon has.
func (k *Keeper) local(q Query) (reply Reply) {
	reply.Record, reply.Found, reply.Conflict = k.table.Get(k.o.Now(), q.ID)
	return reply
}

// TakeUp is a caller's try that takes up a stream.
type TakeUp struct {
	// Request is the id of the try. Resumes is the one that began the stream, as the caller names
	// it, empty if it names none, and LastEvent the number of events that the caller has.
	Request, Team, Resumes string
	LastEvent              int
	// Services are those to which the route leads, and Window how long its streams may last.
	Services []string
	Window   time.Duration
}

// Finding is the origin of a stream.
type Finding struct {
	Outcome Outcome
	// Service and Version are set if the stream may go on. Record is set if there is one.
	Service, Version string
	Record           Record
}

// Find finds the origin of a stream that a caller takes up.
func (k *Keeper) Find(ctx context.Context, t TakeUp) Finding {
	began := k.o.Now()
	reply, f := k.find(ctx, t)
	if k.o.OnTakenUp != nil {
		k.o.OnTakenUp(f.Outcome)
	}
	fields := log.Fields{
		"request": t.Request, "resumes": t.Resumes, "last_event": t.LastEvent, "outcome": string(f.Outcome),
		"service": f.Service, "version": f.Version, "source": reply.Source, "proved_by": string(reply.Proof), "took_ms": k.o.Now().Sub(began).Milliseconds(),
	}
	if reply.Found {
		fields["upstream"], fields["age_ms"], fields["began_at"] = reply.Record.Upstream, reply.Record.Age(k.o.Now()).Milliseconds(), reply.Record.Version
	}
	k.o.Logger.WithFields(fields).Info("stream taken up")
	return f
}

func (k *Keeper) find(ctx context.Context, t TakeUp) (Reply, Finding) {
	q := Query{Window: t.Window}
	if t.Resumes != "" {
		q.ID = IDOf(t.Team, t.Resumes)
	}
	if len(t.Services) == 1 {
		q.Service = t.Services[0]
	}
	reply, ok := k.answer(ctx, q)
	if !ok {
		return reply, Finding{Outcome: Busy}
	}
	reg, registered := k.o.Versions.Registration(reply.Record.Upstream)
	e := evidence{
		record: reply.Record, found: reply.Found, conflict: reply.Conflict, holds: Holds(reply.Record, reg, registered),
		named: q.named(), services: t.Services, soleVersion: reply.SoleVersion,
	}
	f := Finding{}
	if f.Service, f.Version, f.Outcome = decide(e); f.Outcome == Recorded {
		f.Record = reply.Record
	}
	return reply, f
}

// answer finds the record of a stream, or else the only version of its service; ok is false if too many
// records are being looked up.
func (k *Keeper) answer(ctx context.Context, q Query) (reply Reply, ok bool) {
	if !q.named() {
		if q.Service == "" {
			return Reply{}, true
		}
		return k.proveSole(ctx, q), true
	}
	reply = k.local(q)
	reply.Source = sourceOwn
	if reply.Found || reply.Conflict {
		return reply, true
	}
	select {
	case k.search <- struct{}{}:
		defer func() { <-k.search }()
		return k.askOthers(ctx, q), true
	default:
		return Reply{}, false
	}
}

// The sources of a record that no other daemon had.
const (
	sourceOwn = "own"
	sourceLog = "log"
)

// askOthers asks the other daemons and reads the log. A daemon that need not read it does so if none
// of the others answers.
func (k *Keeper) askOthers(ctx context.Context, q Query) Reply {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	readsLog := k.readsLog()
	if readsLog {
		wg.Go(func() { k.history.catchUp(ctx) })
	}
	var reply Reply
	if k.o.Peers != nil {
		reply = k.o.Peers.Ask(ctx, q)
	}
	if reply.Found || reply.Conflict {
		cancel() // what the log has is not needed
		return reply
	}
	if !readsLog && !reply.Answered && k.history != nil {
		k.history.catchUp(ctx)
	}
	wg.Wait()
	own := k.local(q)
	own.Source = sourceLog
	return own
}
