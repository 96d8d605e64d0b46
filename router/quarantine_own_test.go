package router

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/corianderturn/corianderturn/internal/logpos"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/standin/logtest"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/quarantine"
)

// closedAddress returns an address at which nothing listens, like that of a crashed upstream.
func closedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Guards against a request that crashes three upstreams per daemon, and three more after each
// restart of a daemon, because Router daemons do not share and store the crashes they see.
// Here three upstreams crash, one seen by one daemon and two by another. A third daemon, and
// one that starts after all of them have stopped, must refuse the request.
func TestDaemonsOfTheOwnInterfaceShareEnds(t *testing.T) {
	url := logtest.Start(t, logsvc.Config{}).URL
	fatal := quarantine.SubjectOf(quarantine.DigestOf("fatal"))
	refuses := func(r *Router) func() bool {
		return func() bool {
			return r.quarantine.Refuses(time.Now(), fatal).Refused
		}
	}
	start := func(name string) (r *Router, stop func()) {
		ctx, cancel := context.WithCancel(context.Background())
		r = newRouter(t, name, url)
		done := run(ctx, r)
		return r, func() {
			cancel()
			if err := waittest.Receive(t, "the daemon ends", done); err != nil {
				t.Error(err)
			}
		}
	}
	first, stopFirst := start("first")
	second, stopSecond := start("second")
	third, stopThird := start("third")
	for i, r := range []*Router{first, second, second} {
		r.quarantine.ReportLostRun(quarantine.LostRun{Subject: fatal, Upstream: fmt.Sprint("u", i), Address: closedAddress(t)})
	}
	waittest.Until(t, "a daemon that saw no crash refuses", refuses(third))
	for _, stop := range []func(){stopFirst, stopSecond, stopThird} {
		stop()
	}
	next, stop := start("next")
	defer stop()
	waittest.Until(t, "a daemon that starts later refuses", refuses(next))
}

// Guards against crash records that a daemon never reads, because the log was restored from a copy and
// gave them the offsets of lost ones.
func TestCrashRecordsOfARestoredLog(t *testing.T) {
	service := logtest.Start(t, logsvc.Config{})
	l := quarantineLog{service.Client, &log.Logger{Handler: discard.Default, Level: log.FatalLevel}}
	add := func(names ...string) {
		for _, name := range names {
			if err := l.Append(t.Context(), []quarantine.Record{{Upstream: name, Millis: 1}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	read := func(from logpos.Position) (names []string, next logpos.Position) {
		list, next, err := l.Read(t.Context(), from, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range list {
			names = append(names, r.Upstream)
		}
		return names, next
	}
	add("a", "lost1", "lost2")
	_, next := read(logpos.Position{})
	service.Restore(map[string]uint64{quarantineStream: 1})
	add("b", "c", "d")
	if names, _ := read(next); !slices.Equal(names, []string{"a", "b", "c", "d"}) {
		t.Errorf("read %v", names)
	}
}
