package bundle

import (
	"bytes"
	"crypto/ed25519"
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"
)

// signUnchecked encodes a body without the checks of NewDraft and adds both signatures.
func signUnchecked(b Body, author, reviewer Key) []byte {
	data := must(encodeBody(b))
	env := envelope{Body: data, AuthorSig: ed25519.Sign(author.Private, authorMessage(data)), Reviewer: reviewer.ID}
	env.ReviewerSig = ed25519.Sign(reviewer.Private, reviewerMessage(env))
	return must(env.encode())
}

func TestVerify(t *testing.T) {
	body := func(change func(*Body)) Body {
		b := Body{Format: Format, Number: 1, Kind: KindSnapshot, Payload: must(EncodeBundle(testBundle("t"))), Author: "ana"}
		change(&b)
		return b
	}
	same := func(*Body) {}
	mallory := testKey("mallory", 9)
	swap := func(change func(*envelope)) []byte {
		r := must(DecodeRecord(signUnchecked(body(same), ana, ben)))
		env := r.env
		change(&env)
		return must(env.encode())
	}
	tests := []struct {
		name string
		raw  []byte
		want string
	}{
		{"good", signUnchecked(body(same), ana, ben), ""},
		{"not reviewed", must(NewDraft(body(same), ana)), "not reviewed"},
		{"unknown author", signUnchecked(body(func(b *Body) { b.Author = "mallory" }), mallory, ben), `author key "mallory" is not trusted`},
		{"unknown reviewer", signUnchecked(body(same), ana, mallory), `reviewer key "mallory" is not trusted`},
		{"self-signed", signUnchecked(body(same), ana, ana), "must use different keys"},
		{"same key under another id", signUnchecked(body(same), ana, Key{"ana-2", ana.Private}), "must use different keys"},
		{"author's signature by another", signUnchecked(body(same), ben, ben), "author's signature"},
		{"reviewer's signature by another", signUnchecked(body(same), ana, Key{"ben", mallory.Private}), "reviewer's signature"},
		{"reviewer changed after signing", swap(func(e *envelope) { e.Reviewer = "ana-2" }), "must use different keys"},
		{"signatures swapped", swap(func(e *envelope) { e.AuthorSig, e.ReviewerSig = e.ReviewerSig, e.AuthorSig }), "author's signature"},
		{"number skips", signUnchecked(body(func(b *Body) { b.Number = 3; b.ParentNumber = 1 }), ana, ben), "does not follow parent"},
		{"number 0", signUnchecked(body(func(b *Body) { b.Number = 0 }), ana, ben), "does not follow parent"},
		{"first is a delta", signUnchecked(body(func(b *Body) { b.Kind = KindDelta }), ana, ben), "must be a snapshot"},
		{"first has a parent", signUnchecked(body(func(b *Body) { b.ParentDigest[0] = 1 }), ana, ben), "no parent digest"},
		{"unknown kind", signUnchecked(body(func(b *Body) { b.Number, b.ParentNumber, b.Kind = 2, 1, "x" }), ana, ben), "unknown kind"},
		{"later format", signUnchecked(body(func(b *Body) { b.Format = Format + 1 }), ana, ben), "newer than this release"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := DecodeRecord(tt.raw)
			if err != nil {
				t.Fatal(err)
			}
			err = r.Verify(trusted)
			if tt.want == "" && err != nil || tt.want != "" && (err == nil || !strings.Contains(err.Error(), tt.want)) {
				t.Errorf("error %v, want %q", err, tt.want)
			}
		})
	}
}

// Msgpack allows several encodings of the same record, with signatures that still
// verify but another digest. A daemon that adopted such a copy from a peer would
// reject the record's children, whose parent digest is that of the original. So
// only the canonical encoding may be accepted.
func TestOneEncoding(t *testing.T) {
	r := snapshot(nil, "g")
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.EncodeArrayLen(4)
	for _, part := range [][]byte{r.env.Body, r.env.AuthorSig, []byte(r.env.Reviewer), r.env.ReviewerSig} {
		enc.EncodeBytes(part) // also for the reviewer's id, whose canonical type is string
	}
	for name, raw := range map[string][]byte{
		"other types":    append([]byte(recordMagic), buf.Bytes()...),
		"trailing bytes": append(bytes.Clone(r.Raw()), 0),
		"oversized":      make([]byte, MaxRecord+1),
	} {
		if _, err := DecodeRecord(raw); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Ten bytes on the log whose msgpack header claims a length of 4 GiB must not make
// every daemon allocate that much memory, as the msgpack library's own decoding does.
func TestClaimedLengths(t *testing.T) {
	body := func(data string) []byte { return must(envelope{Body: []byte(data)}.encode()) }
	for name, data := range map[string][]byte{
		"record":              []byte(recordMagic + "\x94\xc6\xff\xff\xff\xff"),
		"list":                []byte(recordMagic + "\xdd\xff\xff\xff\xff"),
		"body":                body("\x98\x01\x01\x00\xc6\xff\xff\xff\xff"),
		"body of many fields": body("\xdd\xff\xff\xff\xff\x01"),
		"checkpoint":          []byte(checkpointMagic + "\x01\xdd\xff\xff\xff\xff"),
		"checkpoint's record": []byte(checkpointMagic + "\x01\x91\xc6\xff\xff\xff\xff"),
	} {
		c := NewChain(trusted)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		v, _ := c.OfferLog(0, data)
		runtime.ReadMemStats(&after)
		if grown := after.TotalAlloc - before.TotalAlloc; v != Invalid || grown > 1<<20 {
			t.Errorf("%s: %s, %d bytes allocated", name, v, grown)
		}
	}
}

func TestReviewRefuses(t *testing.T) {
	draft := must(NewDraft(Body{Number: 1, Kind: KindSnapshot}, ana))
	for name, tt := range map[string]struct {
		draft    []byte
		reviewer Key
	}{
		"own draft":               {draft, ana},
		"own key, other id":       {draft, Key{"ana-2", ana.Private}},
		"reviewed already":        {must(Review(draft, trusted.Authors, ben)), testKey("eva", 3)},
		"tampered draft":          {tamper(draft), ben},
		"author is not an author": {must(NewDraft(Body{Number: 1, Kind: KindSnapshot}, testKey("eva", 3))), ben},
	} {
		if _, err := Review(tt.draft, trusted.Authors, tt.reviewer); err == nil {
			t.Errorf("%s: signed", name)
		}
	}
}

func TestKeyRoundTrip(t *testing.T) {
	k := must(GenerateKey("ana"))
	if diff := cmp.Diff(k, must(ParseKey(must(MarshalKey(k))))); diff != "" {
		t.Error(diff)
	}
	conf := TrustConfig{Authors: map[string]string{"ana": FormatPublicKey(ana.Public())}, Reviewers: map[string]string{"ben": "AAAA"}}
	if _, err := conf.Trust(); err == nil || !strings.Contains(err.Error(), "reviewers.ben") {
		t.Errorf("error %v does not name the field", err)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	g := snapshot(nil, "g")
	f.Add(g.Raw())
	f.Add(delta(g, "d").Raw())
	f.Add(must(NewDraft(Body{Number: 1, Kind: KindSnapshot}, ana)))
	f.Add(tamper(g.Raw()))
	f.Add(must(encodeCheckpoint(checkpoint{Through: 7, Records: [][]byte{g.Raw()}})))
	f.Add([]byte(recordMagic + "\x94\xc6\xff\xe1\xff\xff"))
	f.Add(must(envelope{Body: []byte("\x98\x01\x01\x00\xc6\xff\xff\xff\xff")}.encode()))
	f.Add([]byte(checkpointMagic + "\x01\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := NewChain(trusted)
		c.Trimmed(1)
		_, _ = c.OfferLog(1, data)
		r, err := DecodeRecord(data)
		if err != nil || r.Verify(trusted) != nil {
			return
		}
		again, err := r.env.encode()
		if err != nil || !bytes.Equal(again, data) {
			t.Errorf("a record that verifies has a second encoding: %v", err)
		}
		if v, _ := NewChain(trusted).Offer(data); v == Adopted && r.Number != 1 && r.Kind != KindSnapshot {
			t.Errorf("adopted number %d of kind %s without a base", r.Number, r.Kind)
		}
	})
}

func TestDiffApply(t *testing.T) {
	from := testBundle("a")
	to := testBundle("b")
	to.Pools = map[string]Pool{"p": {Role: RolePrefill, Slots: 2}, "d": {Role: RoleDecode, Slots: 3}, "s": {Role: RoleService, Slots: 1}}
	to.Models = map[string]Model{"m": {Version: "1", PrefillPool: "p", DecodePool: "d", KVBytesPerToken: 1, Adapters: []string{"x"}}}
	to.Upstreams = map[string]Upstream{"u": {Pool: "p", DataCentre: "dc", Address: "h:1", State: StateJoining}}
	to.Services = map[string]Service{"s": {Pool: "s", Class: Draft, TimeoutMillis: 1}}
	to.Policy.RetryBudget = 0.5
	to.Classes[Urgent] = to.Classes[Draft]
	before := must(EncodeBundle(from))
	for _, pair := range [][2]*Bundle{{from, to}, {to, from}} {
		d := Diff(pair[0], pair[1])
		got, err := Apply(pair[0], must(DecodeDelta(must(EncodeDelta(d)))))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(pair[1], got, cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	}
	if !bytes.Equal(before, must(EncodeBundle(from))) {
		t.Error("Apply changed its parent")
	}
	if d := Diff(to, to); len(d.Ops) != 0 {
		t.Errorf("a bundle differs from itself: %v", d)
	}
}

func TestApplyRefuses(t *testing.T) {
	team := &Team{Weight: 1, Class: Draft}
	tests := []struct {
		name string
		ops  []Op
		want string
	}{
		{"empty", nil, "empty"},
		{"remove unknown", []Op{{Action: Remove, Section: SectionTeam, Name: "x"}}, `ops[0] remove team "x": no such entry`},
		{"value missing", []Op{{Action: Upsert, Section: SectionTeam, Name: "x"}}, `"team" does not fit`},
		{"value of another section", []Op{{Action: Upsert, Section: SectionTeam, Name: "x", Team: team, Pool: &Pool{}}}, `"pool" does not fit`},
		{"name missing", []Op{{Action: Upsert, Section: SectionTeam, Team: team}}, "name is missing"},
		{"remove the policy", []Op{{Action: Remove, Section: SectionPolicy}}, "can only be upserted"},
		{"unknown action", []Op{{Action: "x", Section: SectionTeam, Name: "x"}}, "unknown action"},
		{"unknown section", []Op{{Action: Upsert, Section: "x", Name: "x"}}, "unknown section"},
		{"result invalid", []Op{{Action: Remove, Section: SectionClass, Name: "draft"}}, `teams.t.class: class "draft"`},
	}
	for _, tt := range tests {
		if _, err := Apply(testBundle("t"), Delta{Ops: tt.ops}); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want %q", tt.name, err, tt.want)
		}
	}
}
