package testbed

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/internal/standin/service"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/settings"
)

// testTimeout is far longer than any wait in a test that passes.
const testTimeout = time.Minute

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "testbed")
	if err == nil {
		err = Build(context.Background(), dir, ProgramStandIn)
	}
	if err != nil {
		panic(err)
	}
	bin = dir
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	os.RemoveAll(dir)
	if err := goleak.Find(); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// testFleet starts the platform and the upstreams of a layout, without daemons.
func testFleet(t *testing.T, l Layout) *Fleet {
	t.Helper()
	bed := New(bin, t.TempDir())
	t.Cleanup(bed.Close)
	f, err := StartFleet(testContext(t), bed, l)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestProcessLifecycle(t *testing.T) {
	ctx := testContext(t)
	bed := New(bin, t.TempDir())
	defer bed.Close()
	p, err := bed.Start(ctx, "s", ProgramStandIn, "service")
	if err != nil {
		t.Fatal(err)
	}
	if err := SetFaults(ctx, p, service.Faults{Refuse: true}, 1); err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+p.Listen+"/orders", "", nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("refusing service: %v %v", resp, err)
	}
	resp.Body.Close()
	if err := p.Freeze(ctx); err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		var stats service.Stats
		result <- p.Stats(ctx, &stats)
	}()
	requireNoReply(t, result)
	if err := p.Thaw(); err != nil {
		t.Fatal(err)
	}
	if err := <-result; err != nil {
		t.Errorf("request to a process that was frozen: %v", err)
	}
	if err := p.Terminate(ctx); err != nil || p.Running() {
		t.Errorf("exit on SIGTERM: %v\n%s", err, p.StderrTail())
	}
}

func TestStartErrorContainsOutput(t *testing.T) {
	bed := New(bin, t.TempDir())
	defer bed.Close()
	_, err := bed.Start(testContext(t), "bad", ProgramStandIn, "engine", "--slots=0")
	if err == nil || len(bed.Processes()) != 0 {
		t.Fatalf("a stand-in with a bad flag started: %v", err)
	}
	if want := "Slots"; !strings.Contains(err.Error(), want) {
		t.Errorf("error %q does not contain the process's output", err)
	}
}

// Guards against settings and bundles that the daemons would reject because their
// format has changed. The settings files are loaded as a daemon loads them, and two
// versions of the bundle are verified with the keys in the settings.
func TestDaemonsAcceptSettingsAndBundle(t *testing.T) {
	ctx := testContext(t)
	f := testFleet(t, Layout{DataCentres: []string{"dc1", "dc2"}, Daemons: 3, Prefill: 1, Decode: 2, Services: 1, InstancesFlags: []string{"--lag=0s"}})
	want := map[string]int{PoolPrefill: 1, PoolDecode: 2, PoolService: 1}
	got := map[string]int{}
	for _, u := range f.Bundle().Upstreams {
		got[u.Pool]++
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for _, d := range f.Daemons {
		s, err := settings.Load(d.SettingsFile)
		if err != nil {
			t.Fatal(err)
		}
		if len(s.Peers.Seeds) != 2 || s.Instance.DataCentre != d.DataCentre {
			t.Errorf("settings of %s: %+v", d.Name, s)
		}
	}
	s := f.settingsOf(0)
	trust, err := bundle.TrustConfig{Authors: s.Bundle.Authors, Reviewers: s.Bundle.Reviewers}.Trust()
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := f.Publisher.Publish(ctx, f.Bundle()); err != nil {
			t.Fatal(err)
		}
	}
	log := infra.NewLog(s.Platform.LogURL, nil)
	reply, err := log.Read(ctx, s.Bundle.Stream, 0, 10, 0)
	if err != nil {
		t.Fatal(err)
	}
	chain := bundle.NewChain(trust)
	for _, r := range reply.Records {
		if verdict, err := chain.OfferLog(r.Offset, r.Data); verdict != bundle.Adopted {
			t.Fatalf("record %d: %v: %v", r.Offset, verdict, err)
		}
	}
	if v := chain.InForce(); v == nil || v.Number != 2 {
		t.Errorf("in force: %+v", v)
	}
	list, err := infra.NewInstances(s.Platform.InstancesURL, nil).List(ctx)
	if err != nil || len(list) != 7 {
		t.Errorf("%d instances listed, want 7: %v", len(list), err)
	}
}

// Guards against links that ignore their mode or source, so that a simulated
// partition affects the wrong data centre or none. The connections of one data
// centre to the platform are cut, stalled and opened again.
func TestPlatformLinkModes(t *testing.T) {
	ctx := testContext(t)
	f := testFleet(t, Layout{DataCentres: []string{"dc1", "dc2"}, Daemons: 2})
	read := func(n int) error {
		_, err := infra.NewLog(f.settingsOf(n).Platform.LogURL, nil).Read(ctx, "s", 0, 1, 0)
		return err
	}
	f.SetPlatformMode("dc1", Cut)
	if cut, open := read(0), read(1); cut == nil || open != nil {
		t.Errorf("with dc1 cut: dc1 %v, dc2 %v", cut, open)
	}
	f.SetPlatformMode("dc1", Stalled)
	result := make(chan error, 1)
	go func() { result <- read(0) }()
	if err := read(1); err != nil {
		t.Errorf("with dc1 stalled: dc2 %v", err)
	}
	requireNoReply(t, result)
	f.SetPlatformMode("dc1", Open)
	if err := <-result; err != nil {
		t.Errorf("a call stalled until the link was opened: %v", err)
	}
}

// requireNoReply fails the test when a result arrives within 50 ms.
func requireNoReply(t *testing.T, result <-chan error) {
	t.Helper()
	select {
	case err := <-result:
		t.Fatalf("unexpected reply: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
}

func TestPeerLinkIdentifiesDataCentre(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	link, err := newLink(target.Addr().String(), peerDataCentre)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.Set("dc2", Cut)
	for dc, open := range map[string]bool{"dc1": true, "dc2": false} {
		frame, err := wire.Encode(wire.Envelope{Type: wire.TypeHello}, wire.Hello{DataCentre: dc}, maxHelloBytes)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", link.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(frame.Bytes()); err != nil {
			t.Fatal(err)
		}
		if open {
			up, err := target.Accept()
			if err != nil {
				t.Fatal(err)
			}
			got := make([]byte, len(frame.Bytes()))
			if _, err := io.ReadFull(up, got); err != nil || !cmp.Equal(got, frame.Bytes()) {
				t.Errorf("%s: the target received %x as the first frame: %v", dc, got, err)
			}
			link.Set(dc, Cut)
			if _, err := up.Read(got); err == nil {
				t.Errorf("%s: the connection is still open after the cut", dc)
			}
			up.Close()
		} else if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: data received on a cut connection", dc)
		}
		conn.Close()
		frame.Release()
	}
}
