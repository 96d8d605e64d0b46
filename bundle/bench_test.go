package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
)

// designBundle returns a bundle of the largest size that the project is designed
// for: 6,400 teams, 18 models and 12,000 upstreams.
func designBundle() *Bundle {
	b := testBundle("team-0")
	b.Pools, b.Models, b.Upstreams = map[string]Pool{}, map[string]Model{}, map[string]Upstream{}
	for i := range 6400 {
		digest := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		b.Teams[fmt.Sprintf("team-%d", i)] = Team{KeyDigests: []string{hex.EncodeToString(digest[:])}, Weight: 1, Class: Draft}
	}
	for i := range 18 {
		prefill, decode := fmt.Sprintf("prefill-%d", i), fmt.Sprintf("decode-%d", i)
		b.Pools[prefill], b.Pools[decode] = Pool{Role: RolePrefill, Slots: 4}, Pool{Role: RoleDecode, Slots: 20}
		b.Models[fmt.Sprintf("model-%d", i)] = Model{Version: "1", PrefillPool: prefill, DecodePool: decode, KVBytesPerToken: 1 << 17}
	}
	for i := range 12000 {
		b.Upstreams[fmt.Sprintf("upstream-%d", i)] = Upstream{
			Pool: fmt.Sprintf("decode-%d", i%18), DataCentre: fmt.Sprintf("dc%d", i%8),
			Address: fmt.Sprintf("10.%d.%d.1:8000", i>>8, i&255), State: StateServing,
		}
	}
	return b
}

// BenchmarkApplyDelta measures decoding and applying a delta that sets one upstream
// to leaving, on a bundle of the design size.
func BenchmarkApplyDelta(b *testing.B) {
	parent := designBundle()
	u := parent.Upstreams["upstream-7"]
	u.State = StateLeaving
	d := Delta{Ops: []Op{{Action: Upsert, Section: SectionUpstream, Name: "upstream-7", Upstream: &u}}}
	data := must(EncodeDelta(d))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Apply(parent, must(DecodeDelta(data))); err != nil {
			b.Fatal(err)
		}
	}
	raw := must(Review(must(NewDraft(Body{Number: 2, ParentNumber: 1, Kind: KindDelta, Payload: data}, ana)), trusted.Authors, ben))
	b.ReportMetric(float64(len(raw)), "record-bytes")
}

// BenchmarkDecodeBundle measures decoding and validating a bundle of the design
// size, which a daemon does once at its start.
func BenchmarkDecodeBundle(b *testing.B) {
	data := must(EncodeBundle(designBundle()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeBundle(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "bundle-bytes")
}

// BenchmarkVerify measures the verification of both signatures of a small record.
func BenchmarkVerify(b *testing.B) {
	r := delta(snapshot(nil, "g"), "d")
	for b.Loop() {
		if err := r.Verify(trusted); err != nil {
			b.Fatal(err)
		}
	}
}
