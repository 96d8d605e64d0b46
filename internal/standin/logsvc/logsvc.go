// Package logsvc simulates the platform's append-only log for tests and trials. It
// keeps its streams in memory, trims them by count and age, and limits the rate of
// appends.
package logsvc

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/standin/fault"
	"github.com/corianderturn/corianderturn/internal/standin/httpjson"
)

const (
	// DefaultAppendRate is the number of appends accepted per second. The users
	// state several hundred for their own log.
	DefaultAppendRate = 500
	// maxRead is the largest number of records returned by one read.
	maxRead = 1000
	// maxWait is the longest time that one read waits for records.
	maxWait = 30 * time.Second
	// paramStream is the parameter for the name of the stream in the paths of
	// package infraapi.
	paramStream = "stream"
	// retryAfterSeconds is the Retry-After header of a refused append.
	retryAfterSeconds = "1"
)

// Config configures a log. Package kong derives the flags of `standin log` from
// its fields and tags.
type Config struct {
	AppendRate  float64       `help:"Appends accepted per second." default:"500"`
	RetainCount int           `help:"Largest number of records kept per stream; 0 means no limit." default:"0"`
	RetainAge   time.Duration `help:"Age at which a record is dropped; 0 means never." default:"0s"`
	// Now is the log's clock; nil means time.Now.
	Now func() time.Time `kong:"-"`
}

// Faults are the faults that a test can set on a log. The zero value sets none.
type Faults struct {
	// Stream restricts the faults to the streams whose names have this prefix.
	Stream string `json:"stream,omitempty"`
	// Down replies with 503. Cut closes the connection before the call takes effect.
	Down bool `json:"down,omitempty"`
	Cut  bool `json:"cut,omitempty"`
	// CutReads is like Cut, but for reads only.
	CutReads bool `json:"cut_reads,omitempty"`
	// DelayMS delays every call before it takes effect, in milliseconds. An append
	// takes effect even if the client has disconnected meanwhile.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseReply lets an append take effect and closes the connection without a
	// reply. StallReply lets it take effect and never replies.
	LoseReply  bool `json:"lose_reply,omitempty"`
	StallReply bool `json:"stall_reply,omitempty"`
	// Duplicate appends the records twice and replies with the first offset.
	Duplicate bool `json:"duplicate,omitempty"`
}

// appliesTo reports whether the faults apply to the stream with the given name.
func (f Faults) appliesTo(name string) bool { return strings.HasPrefix(name, f.Stream) }

// Stats are the log's counters since its start or the last reset.
type Stats struct {
	Appends   int           `json:"appends"`
	Records   int           `json:"records"`
	Bytes     int64         `json:"bytes"`
	Reads     int           `json:"reads"`
	Refused   int           `json:"refused"` // appends above the append rate
	PerStream []StreamStats `json:"streams"`
}

// StreamStats are the offsets of one stream.
type StreamStats struct {
	Name  string `json:"name"`
	First uint64 `json:"first"` // offset of the oldest record kept
	Next  uint64 `json:"next"`  // offset of the next record to be appended
}

// Log is a simulated log. It is safe for concurrent use. Close aborts waiting and
// stalled calls.
type Log struct {
	cfg     Config
	faults  *fault.Injector[Faults]
	limiter *rate.Limiter
	closed  chan struct{}

	mu      sync.Mutex
	streams map[string]*stream
	stats   Stats
	epoch   uint64 // counts the restorations
}

// New returns an empty log. An append rate of 0 or less means the default.
func New(cfg Config) *Log {
	if cfg.AppendRate <= 0 {
		cfg.AppendRate = DefaultAppendRate
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Log{
		cfg:     cfg,
		faults:  fault.NewInjector[Faults](),
		limiter: rate.NewLimiter(rate.Limit(cfg.AppendRate), max(1, int(cfg.AppendRate))),
		closed:  make(chan struct{}),
		streams: make(map[string]*stream),
	}
}

// Close aborts waiting and stalled calls. It must be called once.
func (l *Log) Close() { close(l.closed) }

// Handler returns the handler of the log API of package infraapi.
func (l *Log) Handler() http.Handler {
	rt := httprouter.New()
	rt.POST(infraapi.PathAppend, func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		l.serveAppend(w, r, ps.ByName(paramStream))
	})
	rt.GET(infraapi.PathRead, func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		l.serveRead(w, r, ps.ByName(paramStream))
	})
	return rt
}

// applyFaults applies the faults that delay or fail a read or an append before it
// takes effect. It reports whether it has replied to the call.
func (l *Log) applyFaults(w http.ResponseWriter, name string, read bool) bool {
	if f := l.faults.Get(); f.appliesTo(name) {
		httpjson.Sleep(time.Duration(f.DelayMS)*time.Millisecond, l.closed)
	}
	if l.hitFault(name, func(f Faults) bool { return f.Cut || read && f.CutReads }) {
		httpjson.Abort()
	}
	if l.hitFault(name, func(f Faults) bool { return f.Down }) {
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
		return true
	}
	return false
}

// hitFault reports whether the current faults apply to the stream and satisfy
// match. If they do, it counts the call against their limit.
func (l *Log) hitFault(name string, match func(Faults) bool) bool {
	_, ok := l.faults.Hit(func(f Faults) bool { return f.appliesTo(name) && match(f) })
	return ok
}

// serveAppend applies the faults and the rate limit, and appends the records.
func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	var req infraapi.AppendRequest
	if !httpjson.Read(w, r, &req) || l.applyFaults(w, name, false) {
		return
	}
	if len(req.Records) == 0 {
		http.Error(w, "an append needs a record", http.StatusBadRequest)
		return
	}
	if !l.limiter.Allow() {
		l.mu.Lock()
		l.stats.Refused++
		l.mu.Unlock()
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	offset := l.Append(name, req.Records...)
	if l.hitFault(name, func(f Faults) bool { return f.Duplicate }) {
		l.Append(name, req.Records...)
	}
	if l.hitFault(name, func(f Faults) bool { return f.StallReply }) {
		httpjson.Stall(r, l.closed)
	}
	if l.hitFault(name, func(f Faults) bool { return f.LoseReply }) {
		httpjson.Abort()
	}
	httpjson.Write(w, http.StatusOK, infraapi.AppendReply{Offset: offset})
}

// Append appends records directly, without the rate limit and the faults. It
// returns the offset of the first one.
func (l *Log) Append(name string, records ...[]byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Appends++
	l.stats.Records += len(records)
	for _, data := range records {
		l.stats.Bytes += int64(len(data))
	}
	s := l.stream(name)
	now := l.cfg.Now()
	offset := s.append(now, records)
	s.trim(now, l.cfg.RetainCount, l.cfg.RetainAge)
	return offset
}

// stream returns the stream with the given name and creates it if necessary; l.mu
// must be held.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = newStream()
		l.streams[name] = s
	}
	return s
}

// serveRead serves a long-poll read: it replies when records are available, when
// the wait time is over, or when a fault is set that fails reads.
func (l *Log) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	changed := l.faults.Changed()
	if l.applyFaults(w, name, true) {
		return
	}
	l.mu.Lock()
	l.stats.Reads++
	l.mu.Unlock()
	from := uint64(max(0, httpjson.QueryInt(r, "from", 0)))
	limit := int(min(max(1, httpjson.QueryInt(r, "max", maxRead)), maxRead))
	wait := min(time.Duration(httpjson.QueryInt(r, "wait_ms", 0))*time.Millisecond, maxWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, trimmed, grown := l.read(name, from, limit)
		if trimmed {
			httpjson.Write(w, http.StatusGone, reply)
			return
		}
		if len(reply.Records) > 0 || wait <= 0 {
			httpjson.Write(w, http.StatusOK, reply)
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-changed:
			changed = l.faults.Changed()
			if l.applyFaults(w, name, true) {
				return
			}
		case <-r.Context().Done():
			httpjson.Abort()
		case <-l.closed:
			httpjson.Abort()
		}
	}
}

// read trims a stream and reads from it. It also returns whether the offset was
// trimmed, and a channel that is closed at the next append.
func (l *Log) read(name string, from uint64, limit int) (infraapi.ReadReply, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.trim(l.cfg.Now(), l.cfg.RetainCount, l.cfg.RetainAge)
	reply, trimmed := s.read(from, limit)
	reply.Epoch = l.epoch
	return reply, trimmed, s.appended
}

// Read reads up to limit records from offset from on, without the faults, and
// waits up to wait for them. It has the signature of the log client's Read, but
// returns no error if the offset was trimmed.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (infraapi.ReadReply, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, trimmed, grown := l.read(name, from, limit)
		if trimmed || len(reply.Records) > 0 {
			return reply, nil
		}
		select {
		case <-grown:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return reply, ctx.Err()
		}
	}
}

// Stats returns the counters.
func (l *Log) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.stats
	for name, s := range l.streams {
		out.PerStream = append(out.PerStream, StreamStats{Name: name, First: s.firstOffset(), Next: s.nextOffset})
	}
	return out
}

// Restore restores the log from a copy and begins a new epoch. ends are the offsets at which the streams end
// in the copy; a stream that is not listed is empty there.
func (l *Log) Restore(ends map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, s := range l.streams {
		s.cut(ends[name])
	}
	l.epoch++
}

// Trim removes the oldest records of a stream until at most keep records are left.
func (l *Log) Trim(name string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = s.records[max(0, len(s.records)-keep):]
}

// TrimBefore removes the records of a stream before an offset.
func (l *Log) TrimBefore(name string, offset uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if gone := int64(offset) - int64(s.firstOffset()); gone > 0 {
		s.records = s.records[min(int(gone), len(s.records)):]
	}
}

// SetFaults replaces the faults. They are cleared after they have affected the
// given number of calls; 0 means that they stay.
func (l *Log) SetFaults(f Faults, times int) { l.faults.Set(f, times) }

// reset clears the counters.
func (l *Log) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats = Stats{}
}

// TrimRequest is the body of POST /trim. It removes the records of Stream before
// the offset Before.
type TrimRequest struct {
	Stream string `json:"stream"`
	Before uint64 `json:"before"`
}

// RestoreRequest is the body of POST /restore. Ends is the argument of Log.Restore.
type RestoreRequest struct {
	Ends map[string]uint64 `json:"ends"`
}

// Control returns the fault control API: the paths of package fault,
// POST /trim and POST /restore.
func (l *Log) Control() http.Handler {
	rt := fault.Router(l.faults, fault.Hooks{
		Stats: func() any { return l.Stats() },
		Reset: l.reset,
	})
	rt.HandlerFunc(http.MethodPost, "/trim", func(w http.ResponseWriter, r *http.Request) {
		var req TrimRequest
		if !httpjson.Read(w, r, &req) {
			return
		}
		l.TrimBefore(req.Stream, req.Before)
		w.WriteHeader(http.StatusNoContent)
	})
	rt.HandlerFunc(http.MethodPost, "/restore", func(w http.ResponseWriter, r *http.Request) {
		var req RestoreRequest
		if !httpjson.Read(w, r, &req) {
			return
		}
		l.Restore(req.Ends)
		w.WriteHeader(http.StatusNoContent)
	})
	return rt
}
