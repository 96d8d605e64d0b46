package claims

import (
	"context"
	"encoding/binary"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/clock"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/request"
)

// memoryLog is the stand-in for the log, called in memory with a simulated round
// trip of delay.
type memoryLog struct {
	*logsvc.Log
	delay time.Duration
}

func newMemoryLog(delay time.Duration) memoryLog {
	return memoryLog{logsvc.New(logsvc.Config{}), delay}
}

func (l memoryLog) Append(ctx context.Context, name string, records ...[]byte) (uint64, error) {
	clock.Sleep(ctx, l.delay/2)
	defer clock.Sleep(ctx, l.delay/2)
	return l.Log.Append(name, records...), nil
}

func (l memoryLog) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (infraapi.ReadReply, error) {
	clock.Sleep(ctx, l.delay/2)
	defer clock.Sleep(ctx, l.delay/2)
	return l.Log.Read(ctx, name, from, limit, wait)
}

// benchBatch returns a batch with the given number of claims and as many results.
func benchBatch(claims int) *Batch {
	node := wire.NodeID{Instance: "entry-3", Incarnation: 1_700_000_000_000}
	b := &Batch{}
	for i := range claims {
		b.Claims = append(b.Claims, Claim{
			ID: ClaimID{node, uint64(1_000 + i)}, Key: benchKey(i), Body: BodyDigest{1}, SeenOffset: 123_456, RequestID: "0123456789abcdef0123456789abcdef",
		})
		b.Results = append(b.Results, Result{ID: ClaimID{node, uint64(i)}, Key: benchKey(i), Status: Ran})
	}
	return b
}

// benchKey returns the i-th key.
func benchKey(i int) (k Key) {
	binary.BigEndian.PutUint64(k[:], uint64(i))
	return k
}

// BenchmarkEncode encodes batches and reports the bytes per claim.
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

// BenchmarkDecode decodes batches.
func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, _ := benchBatch(n).Encode()
			for b.Loop() {
				if _, err := decodeBatch(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLookup looks keys up in an index of about 100,000 keys.
func BenchmarkLookup(b *testing.B) {
	const keys = 100_000
	x := NewIndex(IndexConfig{Lifetime: testLifetime, MaxKeys: keys, AnswerBytes: 1 << 20})
	for i := range keys / 256 {
		batch := benchBatch(256)
		for j := range batch.Claims {
			batch.Claims[j].Key = benchKey(i*256 + j)
		}
		data, _ := batch.Encode()
		x.Apply(infraapi.Record{Offset: uint64(i), Data: data, TimeMS: 1})
	}
	for i := 0; b.Loop(); i++ {
		x.Lookup(benchKey(i % keys))
	}
}

// BenchmarkClaim claims keys through a log in memory that has no delay: by one
// caller without linger, and by many callers with the default linger.
func BenchmarkClaim(b *testing.B) {
	b.Run("one", func(b *testing.B) {
		b.ReportAllocs()
		l := newMemoryLog(0)
		g := testGate(b, "a", l, func(o *Options) { o.Linger = time.Nanosecond })
		for i := 0; b.Loop(); i++ {
			benchClaim(b, g, fmt.Sprint(i))
		}
		b.ReportMetric(float64(l.Stats().Appends)/float64(b.N), "appends/op")
		b.ReportMetric(float64(l.Stats().Bytes)/float64(b.N), "B/op-log")
	})
	b.Run("many", func(b *testing.B) {
		l := newMemoryLog(0)
		g := testGate(b, "a", l, func(o *Options) { o.Linger = 10 * time.Millisecond; o.MaxKeys = 1 << 30 })
		b.SetParallelism(64)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				benchClaim(b, g, g.Issuer().Issue("x")[4:])
			}
		})
		b.ReportMetric(float64(l.Stats().Appends)/float64(b.N), "appends/op")
		b.ReportMetric(float64(l.Stats().Bytes)/float64(b.N), "B/op-log")
	})
}

// benchDelay is the round-trip time to the log or to a peer.
const benchDelay = 2 * time.Millisecond

// BenchmarkFleet makes claims at a steady total rate, and reports their latency and
// the load on the log. Either seven daemons append to the log themselves with the
// default settings, or 92 daemons send their claims to four homes, one for each
// shard.
func BenchmarkFleet(b *testing.B) {
	for _, rate := range []int{50, 200, 1000} {
		b.Run(fmt.Sprintf("direct-%d", rate), func(b *testing.B) {
			l := newMemoryLog(benchDelay)
			benchFleet(b, l, benchGates(b, l, 7, func(o *Options) { o.AppendsPerSecond, o.Linger = 0, 0 }), rate)
		})
		b.Run(fmt.Sprintf("homes-%d", rate), func(b *testing.B) {
			l := newMemoryLog(benchDelay)
			benchFleet(b, l, benchUnfollowedGates(b, l, 92), rate)
		})
	}
}

// benchGates returns n gates that use the log l.
func benchGates(b *testing.B, l Log, n int, edit func(*Options)) (gates []*Gate) {
	for i := range n {
		gates = append(gates, testGate(b, fmt.Sprint(i), l, edit))
	}
	return gates
}

// benchUnfollowedGates returns n gates that follow no shard, and starts four more
// gates that are each the home of one shard.
func benchUnfollowedGates(b *testing.B, l Log, n int) []*Gate {
	var homes []*Gate
	for i := range 4 {
		homes = append(homes, testGate(b, fmt.Sprint("home", i), l, func(o *Options) {
			o.Follow = func(shard int) bool { return shard == i }
			o.LookupAtHome = func(context.Context, int, wire.ClaimGet) (wire.ClaimState, error) {
				return wire.ClaimState{}, errNotHome
			}
			o.Linger, o.AppendsPerSecond = 0, 70
		}))
	}
	return benchGates(b, l, n, func(o *Options) {
		o.Follow = func(int) bool { return false }
		o.LookupAtHome = func(ctx context.Context, shard int, get wire.ClaimGet) (wire.ClaimState, error) {
			clock.Sleep(ctx, benchDelay)
			return homes[shard].ServeLookup(ctx, get)
		}
		o.AppendAtHome = func(ctx context.Context, shard int, put wire.ClaimAppend) (wire.ClaimAppended, error) {
			clock.Sleep(ctx, benchDelay)
			return homes[shard].ServeAppend(ctx, put)
		}
	})
}

// benchFleet makes rate claims per second, each at the next gate in turn.
func benchFleet(b *testing.B, l memoryLog, gates []*Gate, rate int) {
	var mu sync.Mutex
	latency := hdrhistogram.New(1, 10_000_000, 3)
	var wg conc.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for i := 0; b.Loop(); i++ {
		<-tick.C
		wg.Go(func() {
			start := time.Now()
			benchClaim(b, gates[i%len(gates)], "k"+strconv.Itoa(i))
			mu.Lock()
			_ = latency.RecordValue(time.Since(start).Microseconds())
			mu.Unlock()
		})
	}
	wg.Wait()
	b.ReportMetric(float64(l.Stats().Appends)/b.Elapsed().Seconds(), "appends/s")
	b.ReportMetric(float64(l.Stats().Bytes)/float64(b.N), "B/claim")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
}

// BenchmarkToken issues bound tokens and claims them.
func BenchmarkToken(b *testing.B) {
	g := testGate(b, "a", newMemoryLog(0), func(o *Options) { o.MaxTokens = 1 << 30 })
	for b.Loop() {
		benchClaim(b, g, g.Issuer().Issue("team"))
	}
}

// benchClaim claims a key and finishes the request.
func benchClaim(b *testing.B, g *Gate, key string) {
	gr, err := g.Claim(b.Context(), claimKey(key, 1))
	if err != nil {
		b.Error(err)
		return
	}
	gr.Finish(request.Outcome{Run: errkind.Ran})
}
