package router

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/ratelimit"
	"github.com/corianderturn/corianderturn/upstream"
)

// upstreamLimits hears which rate limits upstreams name. It implements upstream.Notices and
// supervise.Service, and is safe for concurrent use.
type upstreamLimits struct {
	a    *Attached
	book *ratelimit.Book
}

func newUpstreamLimits(a *Attached) *upstreamLimits {
	return &upstreamLimits{a: a, book: ratelimit.NewBook()}
}

// Name implements supervise.Service.
func (l *upstreamLimits) Name() string { return "upstream limits" }

// Run implements supervise.Service. It tells what is sent to upstreams with a limit.
//
// What goes wrong without the lines: an upstream in need gets too much, and nobody can tell
// which daemons did not know of its limit, and which knew and sent all the same.
func (l *upstreamLimits) Run(ctx context.Context) error {
	for clock.Sleep(ctx, ratelimit.Window) {
		inForce := l.book.InForce(time.Now())
		l.a.metrics.UpstreamLimits(len(inForce))
		for _, h := range inForce {
			l.a.logger.WithFields(log.Fields{"upstream": h.Upstream.Name, "limit": h.Limit, "sent_here": h.Sent}).Info("upstream has a limit")
		}
	}
	return nil
}

// Noticed implements upstream.Notices.
func (l *upstreamLimits) Noticed(n upstream.Notice) {
	u := l.life(n.Upstream)
	if n.Unreadable != "" {
		l.a.logger.WithFields(log.Fields{"upstream": n.Upstream, "limit": shorten(n.Unreadable)}).Warn("limit of an upstream not readable: the one before stays")
	}
	switch {
	case n.Named:
		l.hear(ratelimit.Word{Upstream: u, Named: true, Limit: n.Limit, At: n.Came})
	case n.Ran && n.Unreadable == "":
		l.hear(ratelimit.Word{Upstream: u, At: n.Sent})
	}
	if n.Request {
		l.book.Sent(n.Sent, u)
	}
}

// shorten bounds what another process wrote, for a log line.
func shorten(text string) string {
	const most = 40 // bytes
	return text[:min(len(text), most)]
}

// life returns an upstream as it is registered.
func (l *upstreamLimits) life(name string) ratelimit.Upstream {
	u := ratelimit.Upstream{Name: name}
	if v := l.a.watcher.View(); v != nil {
		u.Life = v.Members[name].Born
	}
	return u
}

// hear takes a word and logs what it changes.
func (l *upstreamLimits) hear(w ratelimit.Word) {
	now := time.Now()
	c, changed := l.book.Hear(now, w)
	if !changed {
		return
	}
	fields := l.a.logger.WithFields(log.Fields{
		"upstream": c.Upstream.Name, "life": c.Upstream.Life, "was": c.Was, "limit": c.Is, "sent_here": c.Sent, "age_ms": now.Sub(w.At).Milliseconds(),
	})
	if c.Is == ratelimit.None {
		fields.Info("upstream names no limit any more")
		return
	}
	fields.Info("upstream names a limit")
}
