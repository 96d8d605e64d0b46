package fleet

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a version that counts as the only one while another one is, or may be, in service.
func TestSoleVersion(t *testing.T) {
	const window, maxAge = 20 * time.Second, 3 * time.Second
	now := time.Now()
	r := NewRegistry("i", "dc", testLease)
	put := func(name, version string) {
		r.Put(&Registration{Name: name, Service: "llm", Version: version, Address: name})
	}
	read := func(after time.Duration, snapshot bool) {
		now = now.Add(after)
		r.recordGap(now, snapshot)
		r.RecordRead(now, false)
		r.versions.settle(now)
	}
	want := func(name string, want SoleVersion) {
		t.Helper()
		if got := r.SoleVersion(now, "llm", window, maxAge); got != want {
			t.Errorf("%s: %+v, want %+v", name, got, want)
		}
	}
	want("nothing read", SoleVersion{})
	put("a", "v1")
	put("b", "v1")
	read(0, true)
	want("just started", SoleVersion{Version: "v1"})
	for range 10 {
		read(2*time.Second, false)
	}
	want("watched", SoleVersion{Version: "v1", Watched: true})
	put("b", "v2")
	put("b", "v1")
	read(time.Second, false)
	want("another version came and went", SoleVersion{Several: true})
	read(window, false)
	want("still within the window", SoleVersion{Several: true})
	read(time.Second, false)
	want("after the window", SoleVersion{Version: "v1", Watched: true})
	now = now.Add(maxAge + 1)
	want("registrations out of date", SoleVersion{})
	read(time.Second, true)
	want("records were missed", SoleVersion{Version: "v1"})
	for range 10 {
		read(2*time.Second, false)
	}
	want("watched again", SoleVersion{Version: "v1", Watched: true})
	read(time.Second, true)
	want("what came and went before a snapshot is not known", SoleVersion{Version: "v1"})
	r.HandleMissing(now, []string{"a", "b"}, false)
	put("c", "v2")
	read(time.Second, false)
	want("all were replaced", SoleVersion{Several: true})
	for i := range 1000 {
		put("c", fmt.Sprint("v", i))
		read(time.Millisecond, false)
	}
	want("too many versions", SoleVersion{Several: true})
	if n := len(r.versions.services["llm"]); n > 2*maxVersions+2 {
		t.Errorf("%d versions are remembered", n)
	}
}

// Guards against a version that counts as the only one while a restored store has an upstream of another, which
// is held here and may be in use at a daemon that has just started.
func TestHeldRegistrationsCountAsVersions(t *testing.T) {
	now := time.Now()
	r := NewRegistry("i", "dc", testLease)
	put := func(name, version string, sequence uint64) *Registration {
		return &Registration{Name: name, Service: "llm", Version: version, Address: name, Sequence: sequence}
	}
	r.Put(put("a", "v2", 1))
	r.Put(put("b", "v2", 9))
	r.recordGap(now, true)
	r.RecordRead(now, false)
	r.BeginEpoch(now)
	r.Receive(now, put("b", "v1", 3))
	if r.Held() != 1 {
		t.Fatalf("%d registrations are held", r.Held())
	}
	if got := r.SoleVersion(now, "llm", time.Minute, time.Minute); !got.Several {
		t.Errorf("%+v", got)
	}
}
