package upstream

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// newTestStream returns a Stream that reads s.
func newTestStream(s string) *Stream {
	return newStream(io.NopCloser(strings.NewReader(s)), NewStreamMeter(0, nil, ""))
}

// TestParseMatchesJSON checks that the parser of Stream decodes a chunk in the same way as
// encoding/json does.
func TestParseMatchesJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.Make[engineapi.Chunk]().Draw(t, "chunk")
		line, err := json.Marshal(want)
		if err != nil { // a NaN or infinite StepMS cannot be encoded as JSON
			return
		}
		want = engineapi.Chunk{}
		if err := json.Unmarshal(line, &want); err != nil {
			t.Fatal(err)
		}
		s := newTestStream(string(line) + "\n")
		defer s.Close()
		var got engineapi.Chunk
		if err := s.Next(&got); err != nil {
			if errors.Is(err, ErrLineTooLong) && len(line) >= MaxLineBytes {
				return
			}
			t.Fatal(err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s: %s", line, d)
		}
	})
}

// Guards against a truncated or malformed stream that is taken for a complete one, and
// against a line without an end that fills the memory. The connection ends inside a line, a
// line is not a valid chunk, or a line exceeds MaxLineBytes.
func TestStreamDamaged(t *testing.T) {
	for name, tc := range map[string]struct {
		in   string
		want error
	}{
		"end":          {"", io.EOF},
		"cut line":     {`{"request_id":"r"`, io.ErrUnexpectedEOF},
		"endless line": {strings.Repeat("x", MaxLineBytes+1), ErrLineTooLong},
	} {
		s := newTestStream(tc.in)
		if err := s.Next(new(engineapi.Chunk)); !errors.Is(err, tc.want) {
			t.Errorf("%s: got %v, want %v", name, err, tc.want)
		}
		s.Close()
	}
	for _, in := range []string{"null\n", "[]\n", `{"index":"x"}` + "\n", `{"index":1}x` + "\n", "{\x00}\n", "\n", `{"load":7}` + "\n"} {
		s := newTestStream(in)
		if err := s.Next(new(engineapi.Chunk)); err == nil {
			t.Errorf("%q was accepted", in)
		}
		s.Close()
	}
}

// line is a chunk of a typical size, as an engine sends it.
const line = `{"request_id":"01ARZ3NDEKTSV4RRFFQ69G5FAV","attempt":1,"index":17,"text":" 0a1b2c"}` + "\n"

// TestStreamAllocs checks that reading a token makes one allocation, for its text.
func TestStreamAllocs(t *testing.T) {
	s := newTestStream(strings.Repeat(line, 300))
	defer s.Close()
	var c engineapi.Chunk
	got := testing.AllocsPerRun(200, func() {
		if err := s.Next(&c); err != nil {
			t.Fatal(err)
		}
	})
	if got > 1 {
		t.Errorf("%v allocations per token, want 1", got)
	}
}

func BenchmarkStreamNext(b *testing.B) {
	data := bytes.Repeat([]byte(line), 1000)
	b.ReportAllocs()
	var c engineapi.Chunk
	for b.Loop() {
		s := newStream(io.NopCloser(bytes.NewReader(data)), NewStreamMeter(0, nil, ""))
		for s.Next(&c) == nil {
		}
		s.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/token")
}

// Guards against streams that hold memory until their deadline because their engine sends valid lines without end.
func TestStreamsWithoutEnd(t *testing.T) {
	for _, line := range []string{`{"index":0,"text":"a"}`, `{"load":{}}`, `{"text":"` + strings.Repeat("x", 15<<10) + `"}`} {
		s := newStream(io.NopCloser(strings.NewReader(strings.Repeat(line+"\n", 4<<20/len(line)))), NewStreamMeter(68, nil, ""))
		var err error
		read := 0
		for c := new(engineapi.Chunk); err == nil; read += len(line) {
			err = s.Next(c)
		}
		if !errors.Is(err, ErrStreamTooLong) || read > 2<<20 {
			t.Errorf("%.20q: %v after %d bytes", line, err, read)
		}
		s.Close()
	}
}

// Guards against refusals and failures that hold their caller because the body does not arrive. These bodies never do.
func TestErrorBodiesThatDoNotArrive(t *testing.T) {
	for _, status := range []int{http.StatusConflict, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		body, _ := io.Pipe()
		if err := statusError(&http.Response{StatusCode: status, Body: body}); err.Delivery != Maybe {
			t.Errorf("%d: %v", status, err)
		}
	}
}
