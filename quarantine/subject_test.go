package quarantine

import (
	"fmt"
	"testing"
)

// Guards against a team whose requests are refused for a part that crashes upstreams in another team's
// prompts: the same id is another part.
func TestPartsBelongToTheirTeam(t *testing.T) {
	a, b := PartDigest("a", "5c1e07a2"), PartDigest("b", "5c1e07a2")
	if a == b {
		t.Error("two teams share a part")
	}
	if !a.IsPart() || a.PartID() != "5c1e07a2" || b.PartID() != "5c1e07a2" {
		t.Errorf("parts %s and %s", a.PartID(), b.PartID())
	}
	long, other := PartDigest("a", "5c1e07a2ffff"), PartDigest("a", "5c1e07a2fffe")
	if long == other || len(long.PartID()) != 8 {
		t.Errorf("parts with long ids: %s, %s", long, other)
	}
	if d := DigestOf("x"); d.IsPart() || d.PartID() != "" {
		t.Error("a whole request is taken for a part")
	}
}

// Guards against a caller that floods the ledger, the log and other daemons with a prompt of thousands
// of parts.
func TestReportedPartsAreBounded(t *testing.T) {
	var parts []Digest
	for i := range 10_000 {
		parts = append(parts, PartDigest("", fmt.Sprintf("%08x", i)))
	}
	got := SubjectOf(Digest{}, parts...).reportedParts()
	if len(got) != maxReportedParts || got[0] != parts[0] || got[len(got)-1] != parts[len(parts)-1] {
		t.Errorf("%d parts reported", len(got))
	}
	k := newTestKeeper(nil, nil)
	k.recordLoss(SubjectOf(Digest{}, parts...), Crash{Upstream: "u", At: t0})
	if n := k.ledger.Count(); n > maxReportedParts+1 {
		t.Errorf("%d entries", n)
	}
}

// BenchmarkPartDigests is what a completion of a prompt of eight parts costs a daemon: the digests, and
// the note of when it completed.
func BenchmarkPartDigests(b *testing.B) {
	k := newTestKeeper(nil, nil)
	for i := range b.N {
		var parts []Digest
		for n := range 8 {
			parts = append(parts, PartDigest("team", fmt.Sprintf("%08x", (i%1000)*8+n)))
		}
		k.RecordCompletion(t0, SubjectOf(Digest{}, parts...))
	}
}
