package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// encodeFrame returns the bytes of an encoded frame.
func encodeFrame(t testing.TB, e Envelope, msg any) []byte {
	t.Helper()
	f, err := Encode(e, msg, MaxFrame)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(f.Bytes())
}

func TestReaderReturnsWhatWasEncoded(t *testing.T) {
	want := Heartbeat{Node: NodeID{"i-1", 7}, DataCentre: "a", Address: "127.0.0.1:1", Seq: 1 << 40,
		BundleNumber: 3, BundleDigest: []byte{1}, Leaving: []string{"u"}, RelayedSeqs: RelayedSeqs(nil).Append(9, 1<<16+2),
		Known: []KnownDaemon{{Node: NodeID{"i-2", 1}, DataCentre: "b", Address: "x"}}}
	var in bytes.Buffer
	in.Write(encodeFrame(t, Envelope{Type: TypeHeartbeat, ID: 5, Reply: true}, &want))
	in.Write(encodeFrame(t, Envelope{Type: TypeHeartbeat}, &Heartbeat{Seq: 2, Abbreviated: true}))
	r := NewReader(&in, MaxFrame)
	for _, w := range []Heartbeat{want, {Seq: 2, Abbreviated: true}} {
		env, _, err := r.Read()
		if err != nil {
			t.Fatal(err)
		}
		var got Heartbeat
		if err := Decode(env.Body, &got); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(w, got); d != "" {
			t.Error(d)
		}
	}
	if _, _, err := r.Read(); !errors.Is(err, io.EOF) {
		t.Errorf("read at the end: got %v, want io.EOF", err)
	}
}

// Guards against lengths, versions or values of a frame that are used without
// validation. A faulty peer or one of another release sends the bytes below, which must
// be neither misinterpreted nor cause large allocations.
func TestReaderRefusesBadFrames(t *testing.T) {
	good := encodeFrame(t, Envelope{Type: TypeHello}, &Hello{})
	withLength := func(n uint32, b ...byte) []byte { return append(binary.BigEndian.AppendUint32(nil, n), b...) }
	otherVersion, _ := msgpack.Marshal(&Envelope{Version: Version + 1})
	for name, c := range map[string]struct {
		in   []byte
		want error
	}{
		"over the bound":   {withLength(101), ErrTooLarge},
		"largest length":   {withLength(1<<32 - 1), ErrTooLarge},
		"garbled":          {withLength(3, 0xc1, 0xc1, 0xc1), ErrMalformed},
		"empty":            {withLength(0), ErrMalformed},
		"trailing bytes":   {append(withLength(uint32(len(good)-3), good[4:]...), 0xc0), ErrMalformed},
		"other version":    {withLength(uint32(len(otherVersion)), otherVersion...), ErrVersion},
		"cut in the body":  {good[:len(good)-1], io.ErrUnexpectedEOF},
		"cut in the head":  {good[:2], io.ErrUnexpectedEOF},
		"huge inner array": {withLength(7, 0x81, 0xa1, 'b', 0xc6, 0x7f, 0xff, 0xff), ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, err := NewReader(bytes.NewReader(c.in), 100).Read(); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestEncodeBoundsTheFrame(t *testing.T) {
	if _, err := Encode(Envelope{Type: TypeForward}, &Forward{Body: make([]byte, 100)}, 100); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v, want ErrTooLarge", err)
	}
}

func TestBoardKeepsRowsWithinItsUnits(t *testing.T) {
	in := Board{Rows: []BoardRow{
		{BundleNumber: 1 << 40, Index: MaxBoardIndex, Active: 20, Queued: 3, StepMS: 43, LinkBusyMS: 33, QueuedKTok: 9, AgeMS: 1, Leaving: true},
		{BundleNumber: 1 << 40, Index: 1, AgeMS: 60000, LinkBusyMS: 65535},
		{BundleNumber: 2, Index: 0, Active: 255},
	}}
	want := Board{Rows: []BoardRow{in.Rows[0], in.Rows[1], in.Rows[2]}}
	want.Rows[0].LinkBusyMS, want.Rows[0].AgeMS = 48, 16
	want.Rows[1].LinkBusyMS, want.Rows[1].AgeMS = 4080, 4080
	env, _, err := NewReader(bytes.NewReader(encodeFrame(t, Envelope{Type: TypeBoard}, &in)), MaxFrame).Read()
	if err != nil {
		t.Fatal(err)
	}
	var got Board
	if err := Decode(env.Body, &got); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if _, err := Encode(Envelope{}, &Board{Rows: []BoardRow{{Index: MaxBoardIndex + 1}}}, MaxFrame); err == nil {
		t.Error("an index that overlaps the leaving bit was packed")
	}
}

func FuzzReader(f *testing.F) {
	f.Add(encodeFrame(f, Envelope{Type: TypeHello, ID: 1}, &Hello{Node: NodeID{"i", 1}}))
	f.Add(encodeFrame(f, Envelope{Type: TypeBoard}, &Board{Rows: []BoardRow{{Index: 3}, {BundleNumber: 2}}}))
	f.Add(encodeFrame(f, Envelope{Type: TypeHeartbeat}, &Heartbeat{Seq: 9, RelayedSeqs: RelayedSeqs{1, 2, 3, 4, 5, 6}}))
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in), 1<<16)
		for {
			env, _, err := r.Read()
			if err != nil {
				return
			}
			var hb Heartbeat
			_ = Decode(env.Body, &hb)
			for range hb.RelayedSeqs.All() {
			}
			var b Board
			if Decode(env.Body, &b) == nil && len(b.Rows)*BoardRowBytes > len(env.Body) {
				t.Fatalf("%d rows from %d bytes", len(b.Rows), len(env.Body))
			}
		}
	})
}

// unpackedRow is a BoardRow as a msgpack array, to compare its size and speed with
// those of the packed form.
type unpackedRow struct {
	_msgpack                     struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Index                        uint16
	Active, Queued, StepMS, KTok uint8
	LinkBusyMS, AgeMS            uint16
	Leaving                      bool
}

// benchRows returns a board of n rows with typical values.
func benchRows(n int) *Board {
	b := &Board{Rows: make([]BoardRow, n)}
	for i := range b.Rows {
		b.Rows[i] = BoardRow{BundleNumber: 41000, Index: uint16(i * 8), Active: uint8(150 + i%20), Queued: uint8(i % 3),
			StepMS: 43, LinkBusyMS: uint16(i % 900), QueuedKTok: uint8(i % 60), AgeMS: uint16(i % 1000)}
	}
	return b
}

// benchRoundTrip measures encoding msg and decoding it into reply. It reports the size
// of the frame, and for a board that of a row.
func benchRoundTrip(b *testing.B, msg, reply any, rows int) {
	b.ReportAllocs()
	var size int
	src := bytes.NewReader(nil)
	r := NewReader(src, MaxFrame)
	for b.Loop() {
		f, err := Encode(Envelope{Type: TypeBoard}, msg, MaxFrame)
		if err != nil {
			b.Fatal(err)
		}
		size = len(f.Bytes())
		src.Reset(f.Bytes())
		env, _, err := r.Read()
		if err != nil {
			b.Fatal(err)
		}
		if err := Decode(env.Body, reply); err != nil {
			b.Fatal(err)
		}
		f.Release()
	}
	b.ReportMetric(float64(size), "B/frame")
	if rows > 0 {
		b.ReportMetric(float64(size)/float64(rows), "B/row")
	}
}

func BenchmarkRoundTrip(b *testing.B) {
	full := &Heartbeat{Node: NodeID{"entry-0123456789", 1_790_000_000_000}, DataCentre: "dc-3", Address: "10.12.34.56:7400",
		Seq: 300_000, BundleNumber: 41_000, BundleDigest: make([]byte, 32)}
	b.Run("heartbeat-full", func(b *testing.B) { benchRoundTrip(b, full, &Heartbeat{}, 0) })
	b.Run("heartbeat-short", func(b *testing.B) { benchRoundTrip(b, &Heartbeat{Seq: 300_000, Abbreviated: true}, &Heartbeat{}, 0) })
	for name, n := range map[string]int{"32": 32, "1500": 1500} {
		board := benchRows(n)
		b.Run("board-packed-"+name, func(b *testing.B) { benchRoundTrip(b, board, &Board{}, n) })
		arrays := make([]unpackedRow, n)
		for i, r := range board.Rows {
			arrays[i] = unpackedRow{Index: r.Index, Active: r.Active, Queued: r.Queued, StepMS: r.StepMS, KTok: r.QueuedKTok, LinkBusyMS: r.LinkBusyMS, AgeMS: r.AgeMS}
		}
		b.Run("board-arrays-"+name, func(b *testing.B) { benchRoundTrip(b, arrays, &[]unpackedRow{}, n) })
	}
}
