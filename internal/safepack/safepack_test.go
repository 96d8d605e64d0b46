package safepack_test

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/corianderturn/corianderturn/internal/safepack"
	"github.com/corianderturn/corianderturn/internal/wire"
)

type inner struct {
	Name string            `msgpack:"n"`
	Tags map[string]string `msgpack:"t"`
	When time.Time         `msgpack:"w"`
}

type outer struct {
	Items []inner  `msgpack:"i"`
	Raw   []byte   `msgpack:"r"`
	Nums  []uint64 `msgpack:"u"`
	Float float64  `msgpack:"f"`
	None  *inner   `msgpack:"z"`
}

func TestRoundTrip(t *testing.T) {
	want := outer{
		Items: []inner{{Name: "a", Tags: map[string]string{"x": "y"}, When: time.Unix(7, 0)}, {Name: string(make([]byte, 300))}},
		Raw:   make([]byte, 70_000),
		Nums:  []uint64{0, 1, 1 << 20, 1 << 40},
		Float: 1.5,
	}
	data, err := msgpack.Marshal(&want)
	if err != nil {
		t.Fatal(err)
	}
	var got outer
	if err := safepack.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("(-want +got):\n%s", diff)
	}
}

// Malformed input is rejected without large allocations. The msgpack library itself trusts lengths
// and recurses: ten bytes that state a list of millions of elements would exhaust the memory, and
// megabytes of nested lists in an unknown field would overflow the stack.
func TestHostileInputIsRefusedCheaply(t *testing.T) {
	nested := append([]byte{0x81, 0xa1, 'q'}, bytes.Repeat([]byte{0x91}, 4<<20)...)
	for name, data := range map[string][]byte{
		"byte string":     []byte("\x81\xa1r\x91\xc6\xff\xff\xff\xff"),
		"list of structs": []byte("\x81\xa1k\xdd\x01\xff\xff\xff"),
		"map":             []byte("\x81\xa1k\xdf\x01\xff\xff\xff"),
		"extension":       []byte("\x81\xa1k\xc9\x7f\xff\xff\xff\x01"),
		"nested lists":    nested,
		"cut short":       []byte("\x82\xa1k"),
		"trailing bytes":  []byte("\x80\x80"),
		"empty":           {},
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for _, v := range []any{&wire.BundleRecords{}, &wire.Heartbeat{}, &outer{}} {
				if safepack.Unmarshal(data, v) == nil {
					t.Errorf("Unmarshal into %T returned no error", v)
				}
			}
			runtime.ReadMemStats(&after)
			const most = 1 << 20
			if got := after.TotalAlloc - before.TotalAlloc; got > most {
				t.Errorf("%d bytes allocated, want at most %d", got, most)
			}
		})
	}
}
