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

// testIndex returns an index that holds at most maxKeys keys.
func testIndex(maxKeys int) *Index {
	return NewIndex(IndexConfig{Lifetime: testLifetime, Margin: testMargin, MaxKeys: maxKeys, AnswerBytes: 2 * answerOverhead})
}

// drawBatch draws a batch with new claims and with results of claims in earlier
// batches, or returns an earlier batch again.
func drawBatch(t *rapid.T, offset int, old *[]Batch) Batch {
	if len(*old) > 0 && rapid.IntRange(0, 9).Draw(t, "again") == 0 {
		return rapid.SampledFrom(*old).Draw(t, "batch")
	}
	var b Batch
	for i := range rapid.IntRange(0, 2).Draw(t, "claims") {
		b.Claims = append(b.Claims, Claim{
			ID:         ClaimID{wire.NodeID{Instance: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "node"))}, uint64(offset*10 + i)},
			Key:        Key{byte(rapid.IntRange(0, 2).Draw(t, "key"))},
			Body:       BodyDigest{byte(rapid.IntRange(0, 1).Draw(t, "body"))},
			SeenOffset: uint64(rapid.IntRange(0, offset).Draw(t, "seen")),
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

// TestReadersThatAreSureAgree checks that readers agree on the state of every key
// that they report as authoritative. One reader applies the whole stream, one
// starts late or misses records in the middle, and one holds fewer keys than there
// are. If a reader with missing records reported a wrong holder as authoritative,
// its daemon could grant a key that another one holds.
func TestReadersThatAreSureAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full, late, small := testIndex(100), testIndex(100), testIndex(1)
		n := rapid.IntRange(1, 30).Draw(t, "records")
		from := rapid.IntRange(0, n).Draw(t, "miss from")
		to := rapid.IntRange(from, n).Draw(t, "miss to")
		var old []Batch
		var claimed [3]int64 // log timestamp of each key's last claim, in ms
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
				late.SkipTo(r.Offset)
				late.Apply(r)
			}
			checkHolderChanges(t, before, lookups(full), &b, func(k int) time.Duration {
				return time.Duration(ms-claimed[k]) * time.Millisecond
			})
			for _, c := range b.Claims {
				claimed[c.Key[0]] = ms
			}
			checkAgreement(t, full, small)
			if offset < from || offset >= to {
				checkAgreement(t, full, late)
			}
			if small.Len() > 1 || full.answers.bytes > full.answers.limit {
				t.Fatalf("limits exceeded: %d keys, %d bytes of answers", small.Len(), full.answers.bytes)
			}
		}
	})
}

// lookups returns the states of the three keys of the test.
func lookups(x *Index) (out [3]KeyState) {
	for k := range out {
		out[k] = x.Lookup(Key{byte(k)})
	}
	return out
}

// checkAgreement checks that other agrees with full, which has applied the whole
// stream, on the keys that are authoritative in other.
func checkAgreement(t *rapid.T, full, other *Index) {
	for k, v := range lookups(other) {
		f := full.Lookup(Key{byte(k)})
		if v.Found && v.Authoritative && (f.Holder != v.Holder || f.Status != v.Status || f.ReleaseOffset != v.ReleaseOffset) {
			t.Fatalf("key %d: authoritative state %+v differs from that of the whole log, %+v", k, v, f)
		}
	}
}

// checkHolderChanges checks that a key gets another holder only if its last claim
// was more than a lifetime ago, or if it was released before the new claimant's
// request arrived. It also checks that a result is final.
func checkHolderChanges(t *rapid.T, before, after [3]KeyState, b *Batch, pause func(k int) time.Duration) {
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
			return c.ID == n.Holder && c.Body == o.Body && o.Status == Released && c.SeenOffset > o.ReleaseOffset
		})
		if !released {
			t.Fatalf("key %d went from %+v to %+v", k, o, n)
		}
	}
}
