package engine

import (
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/corianderturn/corianderturn/internal/standin/httpjson"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// Handler returns the handler of the HTTP interface of package engineapi.
func (e *Engine) Handler() http.Handler {
	rt := httprouter.New()
	handle := func(method, path string, h http.HandlerFunc) {
		rt.HandlerFunc(method, path, func(w http.ResponseWriter, r *http.Request) {
			if path != engineapi.PathExport { // engines ask each other for exports
				e.rests.Call()
			}
			if id := r.Header.Get(engineapi.HeaderCallID); id != "" {
				w.Header().Set(engineapi.HeaderCallID, id)
			}
			e.delayOrStall(r, path)
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

// hitFault reports whether the current faults satisfy match. If they do, it
// counts the call against their limit.
func (e *Engine) hitFault(match func(Faults) bool) bool {
	_, ok := e.faults.Hit(match)
	if ok {
		e.faultsChanged()
	}
	return ok
}

// delayOrStall applies the faults Delay and Stall for the path, before the call
// takes effect.
func (e *Engine) delayOrStall(r *http.Request, path string) {
	f, delayed := e.faults.Hit(func(f Faults) bool { return slices.Contains(f.Delay, path) })
	if delayed {
		e.faultsChanged()
		httpjson.Sleep(time.Duration(f.DelayMS)*time.Millisecond, e.ctx.Done())
	}
	if e.hitFault(func(f Faults) bool { return slices.Contains(f.Stall, path) }) {
		httpjson.Stall(r, e.ctx.Done())
	}
}

// reply sends the reply to a call that took effect, unless the faults StallReply,
// CutReply or LoseCancel withhold it.
func (e *Engine) reply(w http.ResponseWriter, r *http.Request, status int, v any) {
	path := r.URL.Path
	if e.hitFault(func(f Faults) bool { return slices.Contains(f.StallReply, path) }) {
		httpjson.Stall(r, e.ctx.Done())
	}
	lost := func(f Faults) bool {
		return slices.Contains(f.CutReply, path) || f.LoseCancel && path == engineapi.PathCancel
	}
	if e.hitFault(lost) {
		httpjson.Abort()
	}
	httpjson.Write(w, status, v)
}

// replyRefusal sends a refusal. If the fault Refuse is set, the refusal counts
// against its limit.
func (e *Engine) replyRefusal(w http.ResponseWriter, r *http.Request, ref *refusal) {
	e.hitFault(func(f Faults) bool { return f.Refuse })
	if ref.AsksForRest() {
		e.rests.Told(time.Duration(ref.RetryAfterMS) * time.Millisecond)
	}
	e.reply(w, r, ref.status, ref.Refusal)
}

// serveReserve reserves a slot and KV memory for an attempt.
func (e *Engine) serveReserve(w http.ResponseWriter, r *http.Request) {
	var req engineapi.ReserveRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	var ref *refusal
	var out engineapi.ReserveReply
	e.withCore(func(now time.Time, c *core) {
		ref = c.reserve(now, req)
		out.Load = c.load(now)
	})
	if ref != nil {
		e.replyRefusal(w, r, ref)
		return
	}
	e.reply(w, r, http.StatusOK, out)
}

// servePrefill replies once the result is ready. The prefill continues if the
// client disconnects.
func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	var req engineapi.PrefillRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	var p *prefill
	var ref *refusal
	var crashed <-chan struct{}
	e.withCore(func(now time.Time, c *core) {
		p, ref = c.addPrefill(now, req)
		crashed = c.crashed
	})
	if ref != nil {
		e.replyRefusal(w, r, ref)
		return
	}
	select {
	case <-p.ready:
	case <-p.freed:
	case <-crashed:
		httpjson.Abort()
	case <-r.Context().Done():
		httpjson.Abort()
	case <-e.ctx.Done():
		httpjson.Abort()
	}
	e.replyPrefill(w, r, p)
}

// replyPrefill sends the reply for a prefill that is ready, or a refusal if it
// was freed meanwhile.
func (e *Engine) replyPrefill(w http.ResponseWriter, r *http.Request, p *prefill) {
	var ref *refusal
	var out engineapi.PrefillReply
	e.withCore(func(now time.Time, c *core) {
		if c.prefills[p.WorkID] != p {
			ref = c.refuse(now, http.StatusConflict, "attempt was cancelled or has expired")
			return
		}
		out = engineapi.PrefillReply{
			PromptTokens: p.promptTokens,
			CachedTokens: p.cachedTokens,
			KVBytes:      p.kvBytes,
			ExpiresInMS:  p.expiresAt.Sub(now).Milliseconds(),
			Load:         c.load(now),
		}
	})
	if ref != nil {
		e.reply(w, r, ref.status, ref.Refusal)
		return
	}
	e.reply(w, r, http.StatusOK, out)
}

// serveAttemptCall serves the calls that take a CancelRequest: cancel, pause and
// resume.
func (e *Engine) serveAttemptCall(w http.ResponseWriter, r *http.Request, f func(time.Time, *core, engineapi.WorkID) engineapi.CancelReply) {
	var req engineapi.CancelRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	var out engineapi.CancelReply
	e.withCore(func(now time.Time, c *core) { out = f(now, c, req.WorkID) })
	e.reply(w, r, http.StatusOK, out)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.serveAttemptCall(w, r, func(now time.Time, c *core, id engineapi.WorkID) engineapi.CancelReply {
		return c.cancel(now, id)
	})
}

func (e *Engine) servePause(w http.ResponseWriter, r *http.Request) {
	e.serveAttemptCall(w, r, func(_ time.Time, c *core, id engineapi.WorkID) engineapi.CancelReply {
		return c.pause(id)
	})
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	e.serveAttemptCall(w, r, func(now time.Time, c *core, id engineapi.WorkID) engineapi.CancelReply {
		return c.resume(now, id)
	})
}

// serveHeld replies with the list of everything that uses KV memory.
func (e *Engine) serveHeld(w http.ResponseWriter, r *http.Request) {
	var out engineapi.HeldReply
	e.withCore(func(now time.Time, c *core) { out = c.held(now) })
	e.reply(w, r, http.StatusOK, out)
}

// serveLoad replies with the load snapshot, which is up to Config.LoadLag old.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if e.hitFault(func(f Faults) bool { return f.DropLoad }) {
		httpjson.Abort()
	}
	var out engineapi.Load
	e.withCore(func(_ time.Time, c *core) { out = c.loadSnapshot })
	e.reply(w, r, http.StatusOK, out)
}

// serveEvents replies with the published cache events from a sequence number on.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	from := uint64(max(0, httpjson.QueryInt(r, "from", 0)))
	var out engineapi.EventsReply
	e.withCore(func(now time.Time, c *core) {
		out.Incarnation = c.incarnation
		out.Events, out.Next = c.cache.read(now, from)
	})
	e.reply(w, r, http.StatusOK, out)
}

// serveOrders replies to every valid call with status 200; a refused order has
// Accepted false in the reply.
func (e *Engine) serveOrders(w http.ResponseWriter, r *http.Request) {
	var req engineapi.Order
	if !httpjson.Read(w, r, &req) {
		return
	}
	var out engineapi.OrderReply
	var fetch *pendingOrder
	e.withCore(func(now time.Time, c *core) { out, fetch = c.deployment.acceptOrder(now, req) })
	if fetch != nil {
		e.spawn(func() { e.fetchWeights(fetch) })
	}
	e.reply(w, r, http.StatusOK, out)
}

// serveState replies with the role, the loaded models and adapters, and the pending
// orders.
func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	var out engineapi.State
	e.withCore(func(_ time.Time, c *core) { out = c.deployment.state(c.incarnation) })
	e.reply(w, r, http.StatusOK, out)
}
