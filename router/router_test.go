package router

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/internal/standin/logsvc"
	"github.com/corianderturn/corianderturn/internal/standin/logtest"
	"github.com/corianderturn/corianderturn/internal/waittest"
	"github.com/corianderturn/corianderturn/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is long enough that no result depends on the speed of the machine.
const testTimeout = time.Minute

func newRouter(t *testing.T, name, logURL string, seeds ...string) *Router {
	t.Helper()
	return newFromSettings(t, testSettings(t, name, logURL, seeds...))
}

func testSettings(t *testing.T, name, logURL string, seeds ...string) *settings.Settings {
	t.Helper()
	s := settings.Defaults()
	s.Instance.Name = name
	s.Callers.Listen = "127.0.0.1:0"
	s.Peers.Listen = "127.0.0.1:0"
	s.Peers.Seeds = seeds
	s.Platform.LogURL = logURL
	s.Drain.Delay = 0
	s.Bundle.Authors = publicKey(t, "author")
	s.Bundle.Reviewers = publicKey(t, "reviewer")
	return s
}

func newFromSettings(t *testing.T, s *settings.Settings) *Router {
	t.Helper()
	r, err := New(s, Options{Logger: &log.Logger{Handler: discard.Default, Level: log.FatalLevel}})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func publicKey(t *testing.T, id string) map[string]string {
	t.Helper()
	key, err := bundle.GenerateKey(id)
	if err != nil {
		t.Fatal(err)
	}
	return map[string]string{id: bundle.FormatPublicKey(key.Public())}
}

// run starts r and returns a channel with the result of its Run.
func run(ctx context.Context, r *Router) <-chan error {
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	return done
}

// waitLive waits until n daemons are live in the membership view of r.
func waitLive(t *testing.T, r *Router, n int) {
	t.Helper()
	waittest.Until(t, fmt.Sprintf("%d daemons live", n), func() bool { return len(r.peers.View().Live()) == n })
}

func TestStartAndDrain(t *testing.T) {
	url := logtest.Start(t, logsvc.Config{}).URL
	for name, end := range map[string]func(cancel context.CancelFunc, r *Router){
		"by the context":    func(cancel context.CancelFunc, _ *Router) { cancel() },
		"by administrators": func(_ context.CancelFunc, r *Router) { r.StartDrain(); r.StartDrain() },
	} {
		ctx, cancel := context.WithCancel(context.Background())
		r := newRouter(t, "one", url)
		done := run(ctx, r)
		end(cancel, r)
		if err := waittest.Receive(t, "the daemon ends", done); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		cancel()
	}
}

// Guards against a replaced daemon that keeps accepting requests, whose engine work stewards
// then cancel. The daemon was partitioned or suspended, the platform has started its
// instance again, and the old process resumes: it must learn that it has been superseded.
func TestReplacedDaemonEnds(t *testing.T) {
	url := logtest.Start(t, logsvc.Config{}).URL
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	old := newRouter(t, "one", url)
	oldDone := run(ctx, old)
	other := newRouter(t, "two", url, old.PeersAddress())
	otherDone := run(ctx, other)
	waitLive(t, other, 2)
	next := newRouter(t, "one", url, other.PeersAddress())
	nextDone := run(ctx, next)
	if err := waittest.Receive(t, "the old daemon ends", oldDone); !errors.Is(err, ErrSuperseded) {
		t.Errorf("the replaced daemon ended with %v", err)
	}
	cancel()
	for _, done := range []<-chan error{otherDone, nextDone} {
		if err := waittest.Receive(t, "the daemon ends", done); err != nil {
			t.Error(err)
		}
	}
}
