package site

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Endless is what an upstream sends until the daemon closes the connection. The zero value is nothing.
type Endless string

// The values of Endless. Those that begin with Slow send a few bytes from time to time, all others as fast as
// the daemon reads, but at most 20 MB/s from one upstream.
const (
	// EndlessLine is a line in the body of a stream, and EndlessEvents valid events.
	EndlessLine   Endless = "line"
	EndlessEvents Endless = "events"
	// EndlessAnswer is a plain answer, or that of an engine to a reservation, a prompt or a report.
	EndlessAnswer Endless = "answer"
	// SlowRefusal is the body of a refusal, and SlowError that of a status 500.
	SlowRefusal Endless = "slow-refusal"
	SlowError   Endless = "slow-error"
)

const (
	endlessRate  = 20e6    // bytes a second
	endlessBurst = 1 << 20 // bytes
	endlessWrite = 32 << 10
	slowPause    = 20 * time.Millisecond
)

// endlessBytes is what EndlessLine and EndlessAnswer consist of.
var endlessBytes = strings.Repeat("x", endlessWrite)

// flood limits what an upstream sends without end over all its connections, and counts it.
type flood struct{ limiter *rate.Limiter }

func newFlood() flood { return flood{rate.NewLimiter(endlessRate, endlessBurst)} }

// write writes what next returns, some kilobytes at a time, until the daemon closes the connection.
func (f flood) write(ctx context.Context, w http.ResponseWriter, sent func(n int), next func() string) {
	for rc := http.NewResponseController(w); ; {
		text := next()
		if f.limiter.WaitN(ctx, len(text)) != nil {
			return
		}
		n, err := io.WriteString(w, text)
		sent(n)
		if err != nil || rc.Flush() != nil {
			return
		}
	}
}

// Flooded returns the number of bytes that the upstream has sent without end.
func (u *Upstream) Flooded() int64 { return u.flooded.Load() }

func (u *Upstream) countFlooded(n int) { u.flooded.Add(int64(n)) }

// engineCall reports whether r reserves a slot or reads a report.
func engineCall(r *http.Request) bool {
	return r.URL.Path == "/corianderturn/hold-take" || r.URL.Path == "/corianderturn/report"
}

// serveEndlessReply sends a reply without end if the fault says so, and reports whether it did.
func (u *Upstream) serveEndlessReply(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Endless != EndlessAnswer {
		return false
	}
	u.flood.write(r.Context(), w, u.countFlooded, func() string { return endlessBytes })
	return true
}

// serveSlowRefusal sends a refusal whose body does not end if the fault says so, and reports whether it did.
func (u *Upstream) serveSlowRefusal(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Endless != SlowRefusal {
		return false
	}
	u.recordRejected(r)
	writeNotExecuted(w)
	writeSlowly(r.Context(), w)
	return true
}

// serveEndless sends the answer to an executed request as the fault says, and reports whether it did.
func (u *Upstream) serveEndless(w http.ResponseWriter, r *http.Request, f Faults) bool {
	id, i := r.Header.Get("Attempt-Id"), 0
	if u.Events > 0 {
		i, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	}
	switch f.Endless {
	case SlowError:
		w.WriteHeader(http.StatusInternalServerError)
		writeSlowly(r.Context(), w)
	case EndlessLine, EndlessAnswer:
		for range min(f.EndlessAfter, u.Events-i) {
			i++
			_, _ = io.WriteString(w, Event(id, i)) // fails only if the daemon closed the connection
		}
		u.flood.write(r.Context(), w, u.countFlooded, func() string { return endlessBytes })
	case EndlessEvents:
		u.flood.write(r.Context(), w, u.countFlooded, func() string {
			var b strings.Builder
			for b.Len() < endlessWrite {
				i++
				b.WriteString(Event(id, i))
			}
			return b.String()
		})
	default:
		return false
	}
	return true
}

// writeSlowly writes a byte from time to time until the daemon closes the connection.
func writeSlowly(ctx context.Context, w http.ResponseWriter) {
	for rc := http.NewResponseController(w); ; {
		if _, err := io.WriteString(w, "x"); err != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(slowPause):
		}
	}
}
