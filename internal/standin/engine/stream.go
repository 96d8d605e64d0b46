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

// serveDecode starts a decode and streams its chunks. The import and the decode
// continue if the client disconnects.
func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var req engineapi.DecodeRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	var d *decode
	var ref *refusal
	var crashed <-chan struct{}
	var importCtx context.Context
	e.withCore(func(now time.Time, c *core) {
		crashed = c.crashed
		if d, ref = c.startDecode(now, req); ref == nil {
			importCtx, d.cancelImport = context.WithCancel(e.ctx)
		}
	})
	if ref != nil {
		e.replyRefusal(w, r, ref)
		return
	}
	e.spawn(func() { e.importKV(importCtx, d) })
	e.streamChunks(w, r, d, req.FromIndex, crashed)
}

// serveStream sends an existing stream again, from the index in the query on.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := workIDFromQuery(r)
	var d *decode
	var crashed <-chan struct{}
	e.withCore(func(_ time.Time, c *core) {
		crashed = c.crashed
		if d = c.decodes[id]; d != nil && d.state == decodeReserved {
			d = nil
		}
	})
	if d == nil {
		e.reply(w, r, http.StatusNotFound, engineapi.Refusal{Reason: "no such stream"})
		return
	}
	e.streamChunks(w, r, d, int(httpjson.QueryInt(r, "from", 0)), crashed)
}

// streamChunks writes the chunks of d from index from on until the stream ends. It
// aborts the connection when the engine crashes or is closed.
func (e *Engine) streamChunks(w http.ResponseWriter, r *http.Request, d *decode, from int, crashed <-chan struct{}) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := &chunkWriter{engine: e, w: w, rc: http.NewResponseController(w), r: r}
	_ = out.rc.Flush()
	pos := streamReader{nextIndex: from}
	for {
		var chunks []engineapi.Chunk
		var changed <-chan struct{}
		e.withCore(func(now time.Time, c *core) {
			chunks = pos.nextChunks(now, c, d)
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
			httpjson.Abort()
		case <-e.ctx.Done():
			httpjson.Abort()
		}
	}
}

// streamReader is the position of one client in a stream.
type streamReader struct {
	nextIndex int  // index of the next token to send
	imported  bool // the chunk that reports the import has been returned
	ended     bool // the last chunk has been returned
}

// nextChunks returns the chunks that the client has not received yet and advances
// the position. The last chunk of a failed stream has Error set and Done unset.
func (p *streamReader) nextChunks(now time.Time, c *core, d *decode) []engineapi.Chunk {
	var out []engineapi.Chunk
	if d.imported && !p.imported {
		p.imported = true
		load := c.load(now)
		out = append(out, engineapi.Chunk{WorkID: d.WorkID, Index: p.nextIndex, Imported: true, Load: &load})
	}
	p.nextIndex = max(p.nextIndex, d.FromIndex)
	for ; p.nextIndex < d.nextIndex(); p.nextIndex++ {
		chunk := engineapi.Chunk{WorkID: d.WorkID, Index: p.nextIndex, Text: d.tokens[p.nextIndex-d.FromIndex]}
		if p.nextIndex%tokensPerLoadReport == 0 {
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
	last := engineapi.Chunk{WorkID: d.WorkID, Index: p.nextIndex, Load: &load}
	if d.failure != "" {
		last.Error = d.failure
	} else {
		last.Done, last.Tokens, last.FinishReason = true, d.nextIndex(), d.finishReason
	}
	return append(out, last)
}

// chunkWriter writes the chunks of one stream and applies the stream faults.
type chunkWriter struct {
	engine   *Engine
	w        io.Writer
	rc       *http.ResponseController
	r        *http.Request
	written  int    // chunks written
	faults   Faults // the faults that affect this stream, if faultHit is set
	faultHit bool
	heldBack *engineapi.Chunk // sent after the next chunk, for CorruptReordered
}

// write sends chunks and reports whether the client still receives them.
func (cw *chunkWriter) write(chunks []engineapi.Chunk) bool {
	for _, c := range chunks {
		cw.applyFaults()
		for _, damaged := range cw.corrupt(c) {
			if json.NewEncoder(cw.w).Encode(damaged) != nil {
				return false
			}
		}
		cw.written++
	}
	return cw.rc.Flush() == nil
}

// applyFaults cuts or stalls the stream when it has reached the chunk at which a
// fault begins. A stream keeps the first faults that affect it.
func (cw *chunkWriter) applyFaults() {
	if !cw.faultHit {
		cw.faults, cw.faultHit = cw.engine.faults.Hit(func(f Faults) bool {
			return f.CutAfter > 0 && cw.written >= f.CutAfter ||
				f.StallAfter > 0 && cw.written >= f.StallAfter ||
				f.Garble != "" && cw.written >= f.GarbleAfter
		})
		if cw.faultHit {
			cw.engine.faultsChanged()
		}
	}
	if !cw.faultHit {
		return
	}
	if cw.faults.CutAfter > 0 && cw.written >= cw.faults.CutAfter {
		_ = cw.rc.Flush()
		httpjson.Abort()
	}
	if cw.faults.StallAfter > 0 && cw.written >= cw.faults.StallAfter {
		_ = cw.rc.Flush()
		httpjson.Stall(cw.r, cw.engine.ctx.Done())
	}
}

// corrupt returns the chunks to send in place of c. For CorruptBytes it writes the
// invalid bytes itself.
func (cw *chunkWriter) corrupt(c engineapi.Chunk) []engineapi.Chunk {
	if !cw.faultHit || cw.written < cw.faults.GarbleAfter {
		return []engineapi.Chunk{c}
	}
	switch cw.faults.Garble {
	case CorruptOtherRequest:
		c.RequestID = "crossed-" + c.RequestID
		c.Text = mismatchedToken(c.Text)
	case CorruptOlderAttempt:
		c.Attempt--
		c.Text = mismatchedToken(c.Text)
	case CorruptRepeated:
		return []engineapi.Chunk{c, c}
	case CorruptReordered:
		return cw.reorder(c)
	case CorruptTruncated:
		if c.Done {
			return nil
		}
	case CorruptSkipped:
		if cw.written == cw.faults.GarbleAfter {
			return nil
		}
	case CorruptBytes:
		_, _ = io.WriteString(cw.w, "{\"request_id\":\x00garbled\n")
		return nil
	}
	return []engineapi.Chunk{c}
}

// mismatchedToken returns a replacement for a token that appears in no answer, so
// that a router which accepts a chunk of another request or attempt delivers a
// visibly wrong answer.
func mismatchedToken(text string) string {
	if text == "" {
		return ""
	}
	return " ------"
}

// reorder holds back every other token until the next chunk has been sent.
func (cw *chunkWriter) reorder(c engineapi.Chunk) []engineapi.Chunk {
	if cw.heldBack == nil && c.Text != "" {
		cw.heldBack = &c
		return nil
	}
	out := []engineapi.Chunk{c}
	if cw.heldBack != nil {
		out = append(out, *cw.heldBack)
		cw.heldBack = nil
	}
	return out
}
