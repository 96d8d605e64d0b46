package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/corianderturn/corianderturn/internal/standin/httpjson"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var req engineapi.DecodeRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	var d *decode
	var ref *refusal
	var crashed <-chan struct{}
	var importCtx context.Context
	e.do(func(now time.Time, c *core) {
		crashed = c.gone
		if d, ref = c.startDecode(now, req); ref == nil {
			importCtx, d.abort = context.WithCancel(e.ctx)
		}
	})
	if ref != nil {
		e.replyRefusal(w, r, ref)
		return
	}
	e.spawn(func() { e.importKV(importCtx, d) })
	e.follow(w, r, d, req.FromIndex, crashed)
}

// serveStream sends a stream again from an index on.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := queryID(r)
	var d *decode
	var crashed <-chan struct{}
	e.do(func(_ time.Time, c *core) {
		crashed = c.gone
		if d = c.decodes[id]; d != nil && d.state == decodeReserved {
			d = nil
		}
	})
	if d == nil {
		e.reply(w, r, http.StatusNotFound, engineapi.Refusal{Reason: "no such stream"})
		return
	}
	e.follow(w, r, d, int(httpjson.Int(r, "from", 0)), crashed)
}

// follow writes the chunks of d from an index on until its end. It cuts the
// connection when the engine crashes or closes.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, d *decode, from int, crashed <-chan struct{}) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := &chunkWriter{engine: e, w: w, rc: http.NewResponseController(w), r: r}
	_ = out.rc.Flush()
	pos := position{next: from}
	for {
		var chunks []engineapi.Chunk
		var changed <-chan struct{}
		e.do(func(now time.Time, c *core) {
			chunks = pos.take(now, c, d)
			changed = d.changed
		})
		if !out.write(chunks) || pos.ended {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-crashed:
			httpjson.Cut()
		case <-e.ctx.Done():
			httpjson.Cut()
		}
	}
}

// position is how far one reader of a stream has come.
type position struct {
	next     int
	imported bool
	ended    bool
}

// take returns the chunks that are there for the reader and moves it on. A
// stream that failed ends in a chunk with Error and without Done.
func (p *position) take(now time.Time, c *core, d *decode) []engineapi.Chunk {
	var out []engineapi.Chunk
	if d.imported && !p.imported {
		p.imported = true
		load := c.load(now)
		out = append(out, engineapi.Chunk{WorkID: d.WorkID, Index: p.next, Imported: true, Load: &load})
	}
	p.next = max(p.next, d.FromIndex)
	for ; p.next < d.next(); p.next++ {
		chunk := engineapi.Chunk{WorkID: d.WorkID, Index: p.next, Text: d.tokens[p.next-d.FromIndex]}
		if p.next%loadEvery == 0 {
			load := c.load(now)
			chunk.Load = &load
		}
		out = append(out, chunk)
	}
	if d.state != decodeFinished {
		return out
	}
	p.ended = true
	load := c.load(now)
	last := engineapi.Chunk{WorkID: d.WorkID, Index: p.next, Load: &load}
	if d.failure != "" {
		last.Error = d.failure
	} else {
		last.Done, last.Tokens, last.FinishReason = true, d.next(), d.finish
	}
	return append(out, last)
}

// chunkWriter writes chunks and applies the faults of streams.
type chunkWriter struct {
	engine *Engine
	w      io.Writer
	rc     *http.ResponseController
	r      *http.Request
	n      int // chunks written
	faults Faults
	hit    bool
	kept   *engineapi.Chunk // held back to be sent after its successor
}

// write sends chunks and reports whether the stream may go on.
func (cw *chunkWriter) write(chunks []engineapi.Chunk) bool {
	for _, c := range chunks {
		cw.checkFaults()
		for _, damaged := range cw.garble(c) {
			if json.NewEncoder(cw.w).Encode(damaged) != nil {
				return false
			}
		}
		cw.n++
	}
	return cw.rc.Flush() == nil
}

// checkFaults cuts or stalls the stream when its fault has come. A stream that
// was hit once keeps its fault.
func (cw *chunkWriter) checkFaults() {
	if !cw.hit {
		cw.faults, cw.hit = cw.engine.faults.Hit(func(f Faults) bool {
			return f.CutAfter > 0 && cw.n >= f.CutAfter ||
				f.StallAfter > 0 && cw.n >= f.StallAfter ||
				f.Garble != "" && cw.n >= f.GarbleAfter
		})
		if cw.hit {
			cw.engine.faultsChanged()
		}
	}
	if !cw.hit {
		return
	}
	if cw.faults.CutAfter > 0 && cw.n >= cw.faults.CutAfter {
		_ = cw.rc.Flush()
		httpjson.Cut()
	}
	if cw.faults.StallAfter > 0 && cw.n >= cw.faults.StallAfter {
		_ = cw.rc.Flush()
		httpjson.Stall(cw.r, cw.engine.ctx.Done())
	}
}

// garble returns what is sent in place of c.
func (cw *chunkWriter) garble(c engineapi.Chunk) []engineapi.Chunk {
	if !cw.hit || cw.n < cw.faults.GarbleAfter {
		return []engineapi.Chunk{c}
	}
	switch cw.faults.Garble {
	case GarbleCrossed:
		c.RequestID = "crossed-" + c.RequestID
		c.Text = foreign(c.Text)
	case GarbleOlder:
		c.Attempt--
		c.Text = foreign(c.Text)
	case GarbleRepeated:
		return []engineapi.Chunk{c, c}
	case GarbleReordered:
		return cw.reorder(c)
	case GarbleTruncated:
		if c.Done {
			return nil
		}
	case GarbleSkipped:
		if cw.n == cw.faults.GarbleAfter {
			return nil
		}
	case GarbleBytes:
		_, _ = io.WriteString(cw.w, "{\"request_id\":\x00garbled\n")
		return nil
	}
	return []engineapi.Chunk{c}
}

// foreign returns what another request or attempt has in the place of a token: a
// router that takes it in shows a wrong answer.
func foreign(text string) string {
	if text == "" {
		return ""
	}
	return " ------"
}

// reorder holds every other token back until its successor has been sent.
func (cw *chunkWriter) reorder(c engineapi.Chunk) []engineapi.Chunk {
	if cw.kept == nil && c.Text != "" {
		cw.kept = &c
		return nil
	}
	out := []engineapi.Chunk{c}
	if cw.kept != nil {
		out = append(out, *cw.kept)
		cw.kept = nil
	}
	return out
}
