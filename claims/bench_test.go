package claims

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/platform/platformapi"
	"github.com/corianderturn/corianderturn/request"
)

func benchBatch(claims int) *Batch {
	node := wire.NodeID{Instance: "entry-3", Incarnation: 1_700_000_000_000}
	b := &Batch{}
	for i := range claims {
		b.Claims = append(b.Claims, Claim{
			ID: ClaimID{node, uint64(1_000 + i)}, Key: benchKey(i), Body: Body{1}, Seen: 123_456, RequestID: "0123456789abcdef0123456789abcdef",
		})
		b.Results = append(b.Results, Result{ID: ClaimID{node, uint64(i)}, Key: benchKey(i), Status: Ran})
	}
	return b
}

func benchKey(i int) (k Key) {
	binary.BigEndian.PutUint64(k[:], uint64(i))
	return k
}

func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			batch := benchBatch(n)
			var data []byte
			for b.Loop() {
				data, _ = batch.Encode()
			}
			b.ReportMetric(float64(len(data))/float64(n), "B/claim")
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, _ := benchBatch(n).Encode()
			for b.Loop() {
				if _, err := DecodeBatch(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkLookup(b *testing.B) {
	const keys = 100_000
	x := NewIndex(IndexConfig{Lifetime: testLifetime, MaxKeys: keys, AnswerBytes: 1 << 20})
	for i := range keys / 256 {
		batch := benchBatch(256)
		for j := range batch.Claims {
			batch.Claims[j].Key = benchKey(i*256 + j)
		}
		data, _ := batch.Encode()
		x.Apply(platformapi.Record{Offset: uint64(i), Data: data, TimeMS: 1})
	}
	for i := 0; b.Loop(); i++ {
		x.Lookup(benchKey(i % keys))
	}
}

// BenchmarkClaim claims keys through a log in memory without delay: by one
// caller and no linger, and by many with the default linger.
func BenchmarkClaim(b *testing.B) {
	b.Run("one", func(b *testing.B) {
		b.ReportAllocs()
		l := newFakeLog()
		g := testGate(b, "a", l, func(o *Options) { o.Linger = time.Nanosecond })
		for i := 0; b.Loop(); i++ {
			benchClaim(b, g, fmt.Sprint(i))
		}
		b.ReportMetric(float64(l.appends)/float64(b.N), "appends/op")
		b.ReportMetric(float64(l.bytes)/float64(b.N), "B/op-log")
	})
	b.Run("many", func(b *testing.B) {
		l := newFakeLog()
		g := testGate(b, "a", l, func(o *Options) { o.Linger = 10 * time.Millisecond; o.MaxKeys = 1 << 30 })
		b.SetParallelism(64)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				benchClaim(b, g, g.Minter().Mint("x")[4:])
			}
		})
		b.ReportMetric(float64(l.appends)/float64(b.N), "appends/op")
		b.ReportMetric(float64(l.bytes)/float64(b.N), "B/op-log")
	})
}

func BenchmarkToken(b *testing.B) {
	g := testGate(b, "a", newFakeLog(), func(o *Options) { o.MaxTokens = 1 << 30 })
	for b.Loop() {
		benchClaim(b, g, g.Minter().Mint("team"))
	}
}

func benchClaim(b *testing.B, g *Gate, key string) {
	gr, err := g.Claim(b.Context(), claimKey(key, 1))
	if err != nil {
		b.Error(err)
		return
	}
	gr.Finish(request.Outcome{Run: errkind.Ran})
}
