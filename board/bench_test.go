package board

import (
	"fmt"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/upstream/engineapi"
)

// benchBoard returns a board with n upstreams, three quarters of them in the decode
// pool, and their sorted names.
func benchBoard(n int) (*Board, []string) {
	v := version(1, "", nil)
	v.Bundle.Pools["p"] = bundle.Pool{Role: bundle.RolePrefill}
	for i := range n {
		pool := "d"
		if i%4 == 0 {
			pool = "p"
		}
		v.Bundle.Upstreams[fmt.Sprintf("u%04d", i)] = bundle.Upstream{
			Pool: pool, DataCentre: fmt.Sprintf("dc%d", i%3), State: bundle.StateServing,
		}
	}
	b := New(Config{})
	b.SetVersion(t0, v)
	return b, b.names
}

// BenchmarkSnapshot applies one load report and builds the snapshot that contains it.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{20, 200, 1500, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			board, names := benchBoard(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := after(time.Duration(i+1) * time.Millisecond)
				board.ApplyReport(now, names[i%n], load(1, uint64(i+1), i%20), 0)
				board.Snapshot(now)
			}
		})
	}
}

// BenchmarkApply applies one row from a peer for every upstream and builds the snapshot
// that contains them.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{20, 200, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			board, _ := benchBoard(n)
			rows := make([]wire.BoardRow, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for j := range rows {
					rows[j] = wire.BoardRow{BundleNumber: 1, Index: uint16(j), Active: uint8((i + j) % 20)}
				}
				now := after(time.Duration(i+1) * time.Millisecond)
				board.ApplyRows(now, rows)
				board.Snapshot(now)
			}
		})
	}
}

// BenchmarkSetVersion applies a bundle version that changes no upstream, as most
// versions do, and builds the next snapshot.
func BenchmarkSetVersion(b *testing.B) {
	for _, n := range []int{200, 1500, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			board, _ := benchBoard(n)
			b.ReportAllocs()
			for i := uint64(2); b.Loop(); i++ {
				board.SetVersion(t0, &bundle.Version{Number: i, Bundle: board.version.Bundle})
				board.Snapshot(t0)
			}
		})
	}
}

// BenchmarkCacheEvents applies a batch of 100 cache events of one of 1,500 replicas and
// builds the snapshot that contains them.
func BenchmarkCacheEvents(b *testing.B) {
	board, names := benchBoard(1500)
	events := make([]engineapi.CacheEvent, 100)
	seq := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		for i := range events {
			seq++
			events[i] = engineapi.CacheEvent{Seq: seq, Block: seq * 0x9e3779b97f4a7c15}
		}
		board.CacheEvents(t0, names[0], engineapi.EventsReply{Incarnation: 1, Next: seq + 1, Events: events})
		board.Snapshot(t0)
	}
}

// BenchmarkInflight starts and ends one request, in parallel, while 20 others are in
// flight on the upstream.
func BenchmarkInflight(b *testing.B) {
	f := NewInflight()
	for range 20 {
		f.Begin("a", 0)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			done, team := f.Begin("a", 100), f.BeginTeam("x")
			f.Upstream("a", t0)
			team()
			done()
		}
	})
}

// BenchmarkRowsAndNotices measures how long a steward takes to read 32 rows for one
// message, and a daemon to read the leaving notices for one round of heartbeats.
func BenchmarkRowsAndNotices(b *testing.B) {
	board, names := benchBoard(12000)
	for i, name := range names {
		board.ApplyReport(t0, name, load(1, 1, i%20), 0)
	}
	b.Run("rows", func(b *testing.B) {
		for b.Loop() {
			board.Rows(t0, names[:32])
		}
	})
	b.Run("leaving", func(b *testing.B) {
		for b.Loop() {
			board.LeavingNotices()
		}
	})
}
