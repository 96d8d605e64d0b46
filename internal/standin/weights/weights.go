// Package weights simulates the platform's weight store for tests and trials. It
// sends deterministic bytes at a rate that all readers share.
package weights

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/standin/fault"
	"github.com/corianderturn/corianderturn/internal/standin/httpjson"
)

const (
	// DefaultRate is the total rate of all reads, in bytes per second. It is small
	// enough for tests.
	DefaultRate = 8 << 20
	// DefaultSize is the size of one set of weights, in bytes. It is small enough
	// for tests.
	DefaultSize = 1 << 20
	// chunkBytes is the size of one write, in bytes.
	chunkBytes = 16 << 10
)

// Config configures a weight store. Package kong derives the flags of
// `standin weights` from its fields and tags.
type Config struct {
	Rate float64 `help:"Rate shared by all readers, in bytes per second." default:"8388608"`
	Size int64   `help:"Size of one set of weights, in bytes." default:"1048576"`
}

// Faults are the faults that a test can set on a weight store. The zero value sets
// none.
type Faults struct {
	// Down replies with 503. Cut closes the connection after half of the bytes.
	// Stall never replies.
	Down  bool `json:"down,omitempty"`
	Cut   bool `json:"cut,omitempty"`
	Stall bool `json:"stall,omitempty"`
	// DelayMS delays every reply, in milliseconds. Slow divides the rate if it is
	// greater than 0.
	DelayMS int64   `json:"delay_ms,omitempty"`
	Slow    float64 `json:"slow,omitempty"`
}

// Stats are the store's counters since its start or the last reset.
type Stats struct {
	Reads int64 `json:"reads"`
	Bytes int64 `json:"bytes"`
}

// Store is a simulated weight store. It is safe for concurrent use. Close aborts
// the calls in progress.
type Store struct {
	cfg     Config
	faults  *fault.Injector[Faults]
	limiter *rate.Limiter
	ctx     context.Context
	cancel  context.CancelFunc
	reads   atomic.Int64
	bytes   atomic.Int64
}

// New returns a weight store. A rate or size of 0 or less means the default.
func New(cfg Config) *Store {
	if cfg.Rate <= 0 {
		cfg.Rate = DefaultRate
	}
	if cfg.Size <= 0 {
		cfg.Size = DefaultSize
	}
	w := &Store{
		cfg:     cfg,
		faults:  fault.NewInjector[Faults](),
		limiter: rate.NewLimiter(rate.Limit(cfg.Rate), chunkBytes),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Close aborts the calls in progress.
func (s *Store) Close() { s.cancel() }

// Handler returns the handler of the weight store API of package infraapi.
func (s *Store) Handler() http.Handler {
	rt := httprouter.New()
	rt.GET(infraapi.PathWeights, func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		s.serveWeights(w, r, ps.ByName("model")+"@"+ps.ByName("version"))
	})
	rt.HEAD(infraapi.PathWeights, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Length", strconv.FormatInt(s.cfg.Size, 10))
	})
	return rt
}

// serveWeights applies the faults and sends the weights that name identifies.
func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request, name string) {
	faults := s.faults.Get()
	httpjson.Sleep(time.Duration(faults.DelayMS)*time.Millisecond, s.ctx.Done())
	cut := false
	switch {
	case s.hitFault(func(f Faults) bool { return f.Stall }):
		httpjson.Stall(r, s.ctx.Done())
	case s.hitFault(func(f Faults) bool { return f.Down }):
		http.Error(w, "the store is down", http.StatusServiceUnavailable)
		return
	case s.hitFault(func(f Faults) bool { return f.Cut }):
		cut = true
	}
	s.reads.Add(1)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.cfg.Size, 10))
	s.send(w, r, name, cut)
}

// send writes the bytes of the weights called name at the shared rate. If cut is
// set, it aborts the connection after half of them.
func (s *Store) send(w http.ResponseWriter, r *http.Request, name string, cut bool) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	src := rand.NewChaCha8([32]byte{})
	src.Seed(seedFromName(name))
	buf := make([]byte, chunkBytes)
	for left := s.cfg.Size; left > 0; {
		n := min(left, int64(len(buf)))
		if s.limiter.WaitN(ctx, int(n)) != nil || cut && left <= s.cfg.Size/2 {
			httpjson.Abort()
		}
		_, _ = src.Read(buf[:n])
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		s.bytes.Add(n)
		left -= n
	}
}

// seedFromName returns a seed that depends only on the name.
func seedFromName(name string) [32]byte {
	var seed [32]byte
	sum := xxhash.Sum64String(name)
	for i := range 8 {
		seed[i] = byte(sum >> (8 * i))
	}
	return seed
}

// hitFault reports whether the current faults satisfy match. If they do, it counts
// the call against their limit.
func (s *Store) hitFault(match func(Faults) bool) bool {
	_, ok := s.faults.Hit(match)
	return ok
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	return Stats{Reads: s.reads.Load(), Bytes: s.bytes.Load()}
}

// SetFaults replaces the faults. They are cleared after they have affected the
// given number of calls; 0 means that they stay.
func (s *Store) SetFaults(f Faults, times int) {
	s.faults.Set(f, times)
	s.updateRate()
}

// updateRate sets the shared rate from the configuration and the fault Slow.
func (s *Store) updateRate() {
	limit := s.cfg.Rate
	if slow := s.faults.Get().Slow; slow > 0 {
		limit /= slow
	}
	s.limiter.SetLimit(rate.Limit(limit))
}

// Control returns the fault control API.
func (s *Store) Control() http.Handler {
	return fault.Router(s.faults, fault.Hooks{
		Stats: func() any { return s.Stats() },
		Reset: func() {
			s.reads.Store(0)
			s.bytes.Store(0)
		},
		Changed: s.updateRate,
	})
}
