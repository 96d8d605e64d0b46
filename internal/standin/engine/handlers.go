package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/corianderturn/corianderturn/internal/standin/httpjson"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Handler returns the engine interface of package engineapi.
func (e *Engine) Handler() http.Handler {
	rt := httprouter.New()
	handle := func(method, path string, h http.HandlerFunc) {
		rt.HandlerFunc(method, path, func(w http.ResponseWriter, r *http.Request) {
			e.stall(r, path)
			h(w, r)
		})
	}
	handle(http.MethodPost, engineapi.PathReserve, e.serveReserve)
	handle(http.MethodPost, engineapi.PathPrefill, e.servePrefill)
	handle(http.MethodGet, engineapi.PathExport, e.serveExport)
	handle(http.MethodPost, engineapi.PathDecode, e.serveDecode)
	handle(http.MethodGet, engineapi.PathStream, e.serveStream)
	handle(http.MethodPost, engineapi.PathCancel, e.serveCancel)
	handle(http.MethodPost, engineapi.PathPause, e.servePause)
	handle(http.MethodPost, engineapi.PathResume, e.serveResume)
	handle(http.MethodGet, engineapi.PathHeld, e.serveHeld)
	handle(http.MethodGet, engineapi.PathLoad, e.serveLoad)
	handle(http.MethodGet, engineapi.PathEvents, e.serveEvents)
	handle(http.MethodPost, engineapi.PathOrders, e.serveOrders)
	handle(http.MethodGet, engineapi.PathState, e.serveState)
	return rt
}

// hit reports whether a fault applies to this call and counts it.
func (e *Engine) hit(match func(Faults) bool) bool {
	_, ok := e.faults.Hit(match)
	if ok {
		e.faultsChanged()
	}
	return ok
}

// stall holds the call when its path is to be delayed or stalled before it
// takes effect.
func (e *Engine) stall(r *http.Request, path string) {
	f, late := e.faults.Hit(func(f Faults) bool { return slices.Contains(f.Delay, path) })
	if late {
		e.faultsChanged()
		httpjson.Sleep(time.Duration(f.DelayMS)*time.Millisecond, e.ctx.Done())
	}
	if e.hit(func(f Faults) bool { return slices.Contains(f.Stall, path) }) {
		httpjson.Stall(r, e.ctx.Done())
	}
}

// reply answers a call that took effect, unless a fault loses the answer.
func (e *Engine) reply(w http.ResponseWriter, r *http.Request, status int, v any) {
	path := r.URL.Path
	if e.hit(func(f Faults) bool { return slices.Contains(f.StallReply, path) }) {
		httpjson.Stall(r, e.ctx.Done())
	}
	lost := func(f Faults) bool {
		return slices.Contains(f.CutReply, path) || f.LoseCancel && path == engineapi.PathCancel
	}
	if e.hit(lost) {
		httpjson.Cut()
	}
	httpjson.Write(w, status, v)
}

// replyRefusal answers with a refusal and counts one that was a fault's.
func (e *Engine) replyRefusal(w http.ResponseWriter, r *http.Request, ref *refusal) {
	e.hit(func(f Faults) bool { return f.Refuse })
	e.reply(w, r, ref.status, ref.Refusal)
}

func (e *Engine) serveReserve(w http.ResponseWriter, r *http.Request) {
	var req engineapi.ReserveRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	var ref *refusal
	var out engineapi.ReserveReply
	e.do(func(now time.Time, c *core) {
		ref = c.reserve(now, req)
		out.Load = c.load(now)
	})
	if ref != nil {
		e.replyRefusal(w, r, ref)
		return
	}
	e.reply(w, r, http.StatusOK, out)
}

// servePrefill answers once the result is ready. The prefill goes on when the
// caller goes away.
func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var req engineapi.PrefillRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	var p *prefill
	var ref *refusal
	var crashed <-chan struct{}
	e.do(func(now time.Time, c *core) {
		p, ref = c.addPrefill(now, req)
		crashed = c.gone
	})
	if ref != nil {
		e.replyRefusal(w, r, ref)
		return
	}
	select {
	case <-p.ready:
	case <-p.gone:
	case <-crashed:
		httpjson.Cut()
	case <-r.Context().Done():
		httpjson.Cut()
	case <-e.ctx.Done():
		httpjson.Cut()
	}
	e.replyPrefill(w, r, p)
}

func (e *Engine) replyPrefill(w http.ResponseWriter, r *http.Request, p *prefill) {
	var ref *refusal
	var out engineapi.PrefillReply
	e.do(func(now time.Time, c *core) {
		if c.prefills[p.WorkID] != p {
			ref = c.refuse(now, http.StatusConflict, "attempt was cancelled or has expired")
			return
		}
		out = engineapi.PrefillReply{
			PromptTokens: p.tokens,
			CachedTokens: p.cached,
			KVBytes:      p.kvBytes,
			ExpiresInMS:  p.expires.Sub(now).Milliseconds(),
			Load:         c.load(now),
		}
	})
	if ref != nil {
		e.reply(w, r, ref.status, ref.Refusal)
		return
	}
	e.reply(w, r, http.StatusOK, out)
}

// serveWork answers cancel, pause and resume.
func (e *Engine) serveWork(w http.ResponseWriter, r *http.Request, f func(time.Time, *core, engineapi.WorkID) engineapi.CancelReply) {
	var req engineapi.CancelRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	var out engineapi.CancelReply
	e.do(func(now time.Time, c *core) { out = f(now, c, req.WorkID) })
	e.reply(w, r, http.StatusOK, out)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.serveWork(w, r, func(now time.Time, c *core, id engineapi.WorkID) engineapi.CancelReply {
		return c.cancel(now, id)
	})
}

func (e *Engine) servePause(w http.ResponseWriter, r *http.Request) {
	e.serveWork(w, r, func(_ time.Time, c *core, id engineapi.WorkID) engineapi.CancelReply {
		return c.pause(id)
	})
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.serveWork(w, r, func(now time.Time, c *core, id engineapi.WorkID) engineapi.CancelReply {
		return c.resume(now, id)
	})
}

func (e *Engine) serveHeld(w http.ResponseWriter, r *http.Request) {
	var out engineapi.HeldReply
	e.do(func(now time.Time, c *core) { out = c.held(now) })
	e.reply(w, r, http.StatusOK, out)
}

// serveLoad answers with the last snapshot, which lags.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if e.hit(func(f Faults) bool { return f.DropLoad }) {
		httpjson.Cut()
	}
	var out engineapi.Load
	e.do(func(_ time.Time, c *core) { out = c.snapshot })
	e.reply(w, r, http.StatusOK, out)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	from := uint64(max(0, httpjson.Int(r, "from", 0)))
	var out engineapi.EventsReply
	e.do(func(now time.Time, c *core) {
		out.Incarnation = c.incarnation
		out.Events, out.Next = c.cache.read(now, from)
	})
	e.reply(w, r, http.StatusOK, out)
}

// serveOrders answers 200 with Accepted false when it refuses an order.
func (e *Engine) serveOrders(w http.ResponseWriter, r *http.Request) {
	var req engineapi.Order
	if !httpjson.Read(w, r, &req) {
		return
	}
	var out engineapi.OrderReply
	var load *pending
	e.do(func(now time.Time, c *core) { out, load = c.config.give(now, req) })
	if load != nil {
		e.spawn(func() { e.fetchWeights(load) })
	}
	e.reply(w, r, http.StatusOK, out)
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	var out engineapi.State
	e.do(func(_ time.Time, c *core) { out = c.config.state(c.incarnation) })
	e.reply(w, r, http.StatusOK, out)
}
