package origin

import (
	"encoding/binary"
	"testing"
	"time"
)

// BenchmarkAdd measures what recording the origin of a stream costs its first token, with the records
// of a reader in place.
func BenchmarkAdd(b *testing.B) {
	k := NewKeeper(Options{Versions: fakeVersions{}, Now: time.Now})
	r := begun("a", "v1")
	add := func(i int) {
		binary.BigEndian.PutUint64(r.ID[:], uint64(i)*0x9e3779b97f4a7c15)
		k.Add(r)
	}
	const kept = 20_000
	for i := range kept {
		add(-i - 1)
	}
	for i := 0; b.Loop(); i++ {
		add(i)
	}
	raw, err := r.Pack()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(raw)), "B/record")
}
