package relay

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderturn/corianderturn/fleet"
)

// routes returns n routes with different names and prefixes.
func routes(n int) []fleet.Route {
	out := make([]fleet.Route, n)
	for i := range out {
		out[i] = fleet.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "host.example", Prefix: fmt.Sprintf("/p%d/", i), MaxSends: 1,
			Targets: []fleet.Target{{Service: "s", Weight: 1}},
		}
	}
	return out
}

// Small and compressed batches are unchanged after encoding and decoding.
func TestBatchRoundTrip(t *testing.T) {
	for name, b := range map[string]fleet.Batch{
		"nothing": {Next: 7},
		"records": {Next: 2, Away: true, Whole: true, Changes: []fleet.Change{
			{Put: &fleet.Registration{Name: "a", Born: 4, Service: "s", Address: "10.0.0.1:1", DataCentre: "dc", Role: fleet.RoleDecode, Slots: 12, Draining: true}},
			{Gone: "b"},
		}},
		"a large configuration": {Next: 9, Changes: []fleet.Change{{Config: &fleet.Config{
			Version: 7, Routes: routes(1400), Services: map[string]fleet.Service{"s": {MaxConns: 3, Engine: &fleet.Engine{Slots: 12}}},
		}}}},
	} {
		raw, err := encodeBatch(b)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeBatch(raw)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if diff := cmp.Diff(b, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// Load: a configuration of 1,400 routes for sixty followers of a reader whose link carries
// 20 Mbit/s. At 16 KB each, the compressed batches take 0.4 s.
func TestLargeBatchIsCompressed(t *testing.T) {
	raw, err := encodeBatch(fleet.Batch{Changes: []fleet.Change{{Config: &fleet.Config{Routes: routes(1400)}}}})
	if err != nil || len(raw) > 40<<10 {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
}

func TestDecodeBatchRejectsInvalidInput(t *testing.T) {
	for name, raw := range map[string][]byte{
		"nothing": nil, "another format": {9, 1}, "cut short": {formatFlate, 1, 2}, "no records": {formatPlain, 0xc1}, "too deep": append([]byte{formatPlain}, make([]byte, 3)...),
	} {
		if _, err := decodeBatch(raw); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func FuzzUnpack(f *testing.F) {
	raw, err := encodeBatch(snapshotOf(3, "a", "b"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{formatFlate, 0x4b, 0x04, 0x00})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if b, err := decodeBatch(raw); err == nil {
			if _, err := encodeBatch(b); err != nil {
				t.Errorf("a decoded batch cannot be encoded: %v", err)
			}
		}
	})
}
