package claims

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/wire"
)

const (
	testLifetime = 100 * time.Second
	testMargin   = 5 * time.Second
)

func testIndex(maxKeys int) *Index {
	return NewIndex(IndexConfig{Lifetime: testLifetime, Margin: testMargin, MaxKeys: maxKeys, AnswerBytes: 2 * answerOverhead})
}

// drawBatch draws claims with new ids, results of earlier claims, or an earlier
// batch once more.
func drawBatch(t *rapid.T, offset int, old *[]Batch) Batch {
	if len(*old) > 0 && rapid.IntRange(0, 9).Draw(t, "again") == 0 {
		return rapid.SampledFrom(*old).Draw(t, "batch")
	}
	var b Batch
	for i := range rapid.IntRange(0, 2).Draw(t, "claims") {
		b.Claims = append(b.Claims, Claim{
			ID:   ClaimID{wire.NodeID{Instance: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "node"))}, uint64(offset*10 + i)},
			Key:  Key{byte(rapid.IntRange(0, 2).Draw(t, "key"))},
			Body: Body{byte(rapid.IntRange(0, 1).Draw(t, "body"))},
			Seen: uint64(rapid.IntRange(0, offset).Draw(t, "seen")),
		})
	}
	for _, o := range *old {
		for _, c := range o.Claims {
			if rapid.IntRange(0, 3).Draw(t, "result") == 0 {
				status := rapid.SampledFrom([]Status{Ran, Unknown, Released, Released}).Draw(t, "status")
				b.Results = append(b.Results, Result{ID: c.ID, Key: c.Key, Status: status, Answer: []byte("a")})
			}
		}
	}
	*old = append(*old, b)
	return b
}

// Symptom: after a restart, a trimmed log or a full index, a daemon grants a key
// that another one holds.
// Sequence: it reads the stream from the middle, misses records, or forgets keys
// over its bound, and is then sure of a holder that is not the first.
// Cause: a reader that lacks records must know what it cannot know.
func TestReadersThatAreSureAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, late, small := testIndex(100), testIndex(100), testIndex(1)
		n := rapid.IntRange(1, 30).Draw(t, "records")
		from := rapid.IntRange(0, n).Draw(t, "miss from")
		to := rapid.IntRange(from, n).Draw(t, "miss to")
		var old []Batch
		var claimed [3]int64 // log time of each key's last claim
		ms := int64(1_000_000)
		for offset := range n {
			ms += rapid.SampledFrom([]int64{0, 1, 40, 60, 99, 101, 106}).Draw(t, "pause") * 1000
			b := drawBatch(t, offset, &old)
			data, err := b.Encode()
			if err != nil {
				t.Fatal(err)
			}
			r := infraapi.Record{Offset: uint64(offset), Data: data, TimeMS: ms}
			before := lookups(full)
			full.Apply(r)
			small.Apply(r)
			if offset < from || offset >= to {
				late.Skip(r.Offset)
				late.Apply(r)
			}
			checkHandOver(t, before, lookups(full), &b, func(k int) time.Duration {
				return time.Duration(ms-claimed[k]) * time.Millisecond
			})
			for _, c := range b.Claims {
				claimed[c.Key[0]] = ms
			}
			checkAgrees(t, full, small)
			if offset < from || offset >= to {
				checkAgrees(t, full, late)
			}
			if small.Len() > 1 || full.answers.bytes > full.answers.limit {
				t.Fatalf("bounds passed: %d keys, %d bytes of answers", small.Len(), full.answers.bytes)
			}
		}
	})
}

func lookups(x *Index) (out [3]View) {
	for k := range out {
		out[k] = x.Lookup(Key{byte(k)})
	}
	return out
}

func checkAgrees(t *rapid.T, full, other *Index) {
	for k, v := range lookups(other) {
		f := full.Lookup(Key{byte(k)})
		if v.Found && v.Sure && (f.Holder != v.Holder || f.Status != v.Status || f.Released != v.Released) {
			t.Fatalf("key %d: sure of %+v, but the whole log says %+v", k, v, f)
		}
	}
}

// checkHandOver checks that a key finds another holder only when its last claim
// was more than a lifetime ago, or when it was released before the claimant's
// request arrived; and that a result is final.
func checkHandOver(t *rapid.T, before, after [3]View, b *Batch, pause func(k int) time.Duration) {
	for k := range after {
		o, n := before[k], after[k]
		if !o.Found || !n.Found || pause(k) > testLifetime {
			continue
		}
		if o.Offset == n.Offset {
			if o.Status != Held && o.Status != n.Status {
				t.Fatalf("key %d: result %d became %d", k, o.Status, n.Status)
			}
			continue
		}
		released := slices.ContainsFunc(b.Claims, func(c Claim) bool {
			return c.ID == n.Holder && c.Body == o.Body && o.Status == Released && c.Seen > o.Released
		})
		if !released {
			t.Fatalf("key %d went from %+v to %+v", k, o, n)
		}
	}
}
