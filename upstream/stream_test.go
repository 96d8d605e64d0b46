package upstream

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

func reader(s string) *Stream { return newStream(io.NopCloser(strings.NewReader(s))) }

// TestParseMatchesJSON checks the stream's own parser against encoding/json.
func TestParseMatchesJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.Make[engineapi.Chunk]().Draw(t, "chunk")
		line, err := json.Marshal(want)
		if err != nil { // NaN and infinite times between tokens have no JSON
			return
		}
		want = engineapi.Chunk{}
		if err := json.Unmarshal(line, &want); err != nil {
			t.Fatal(err)
		}
		s := reader(string(line) + "\n")
		defer s.Close()
		var got engineapi.Chunk
		if err := s.Next(&got); err != nil {
			if errors.Is(err, ErrLineTooLong) && len(line) >= MaxLine {
				return
			}
			t.Fatal(err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s: %s", line, d)
		}
	})
}

// Symptom: a cut or garbled stream passes for a whole one, or an endless line
// fills the memory.
// Sequence: the connection ends inside a line; a line is not JSON; no line end comes.
// Cause: line framing without a bound or an end check.
func TestStreamDamaged(t *testing.T) {
	for name, tc := range map[string]struct {
		in   string
		want error
	}{
		"end":          {"", io.EOF},
		"cut line":     {`{"request_id":"r"`, io.ErrUnexpectedEOF},
		"endless line": {strings.Repeat("x", MaxLine+1), ErrLineTooLong},
	} {
		s := reader(tc.in)
		if err := s.Next(new(engineapi.Chunk)); !errors.Is(err, tc.want) {
			t.Errorf("%s: got %v, want %v", name, err, tc.want)
		}
		s.Close()
	}
	for _, in := range []string{"null\n", "[]\n", `{"index":"x"}` + "\n", `{"index":1}x` + "\n", "{\x00}\n", "\n", `{"load":7}` + "\n"} {
		s := reader(in)
		if err := s.Next(new(engineapi.Chunk)); err == nil {
			t.Errorf("%q was taken", in)
		}
		s.Close()
	}
}

const line = `{"request_id":"01ARZ3NDEKTSV4RRFFQ69G5FAV","attempt":1,"index":17,"text":" 0a1b2c"}` + "\n"

// TestStreamAllocs holds a token to the one allocation of its text.
func TestStreamAllocs(t *testing.T) {
	s := reader(strings.Repeat(line, 300))
	defer s.Close()
	var c engineapi.Chunk
	got := testing.AllocsPerRun(200, func() {
		if err := s.Next(&c); err != nil {
			t.Fatal(err)
		}
	})
	if got > 1 {
		t.Errorf("%v allocations a token, want 1", got)
	}
}

func BenchmarkStreamNext(b *testing.B) {
	data := bytes.Repeat([]byte(line), 1000)
	b.ReportAllocs()
	var c engineapi.Chunk
	for b.Loop() {
		s := newStream(io.NopCloser(bytes.NewReader(data)))
		for s.Next(&c) == nil {
		}
		s.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/token")
}
