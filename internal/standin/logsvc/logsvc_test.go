package logsvc

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/corianderturn/corianderturn/infra"
	"github.com/corianderturn/corianderturn/infra/infraapi"
	"github.com/corianderturn/corianderturn/internal/waittest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout is much longer than any wait in these tests takes.
const waitTimeout = 30 * time.Second

// newClient returns a simulated log and a client that is connected to it.
func newClient(t *testing.T, cfg Config) (*Log, *infra.LogClient) {
	t.Helper()
	l := New(cfg)
	srv := httptest.NewServer(l.Handler())
	hc := &http.Client{Transport: &http.Transport{}, Timeout: 2 * waitTimeout}
	t.Cleanup(func() {
		l.Close()
		hc.CloseIdleConnections()
		srv.Close()
	})
	return l, infra.NewLog(srv.URL, hc)
}

// formatRecords returns the records as "offset=data".
func formatRecords(r infraapi.ReadReply) []string {
	out := []string{}
	for _, rec := range r.Records {
		out = append(out, fmt.Sprintf("%d=%s", rec.Offset, rec.Data))
	}
	return out
}

func TestOffsetsAndRetention(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	cases := []struct {
		name    string
		count   int
		age     time.Duration
		from    uint64
		trimmed bool
		want    []string
	}{
		{name: "all", want: []string{"0=a", "1=b", "2=c", "3=d"}},
		{name: "middle", from: 2, want: []string{"2=c", "3=d"}},
		{name: "end", from: 4, want: []string{}},
		{name: "beyond", from: 9, want: []string{}},
		{name: "count", count: 1, from: 3, want: []string{"3=d"}},
		{name: "trimmed by count", count: 1, from: 2, trimmed: true, want: []string{}},
		{name: "age", age: 15 * time.Second, from: 2, want: []string{"2=c", "3=d"}},
		{name: "trimmed by age", age: 15 * time.Second, from: 1, trimmed: true, want: []string{}},
		{name: "emptied", age: time.Second, from: 4, want: []string{}},
	}
	for _, tc := range cases {
		s := newStream()
		var offsets []uint64
		for i, batch := range [][][]byte{{[]byte("a"), []byte("b")}, {[]byte("c")}, {[]byte("d")}} {
			offsets = append(offsets, s.append(start.Add(time.Duration(i)*10*time.Second), batch))
		}
		s.trim(start.Add(22*time.Second), tc.count, tc.age)
		reply, trimmed := s.read(tc.from, 10)
		if diff := cmp.Diff(tc.want, formatRecords(reply)); diff != "" || trimmed != tc.trimmed {
			t.Errorf("%s: trimmed %t; records (-want +got):\n%s", tc.name, trimmed, diff)
		}
		if diff := cmp.Diff([]uint64{0, 2, 3}, offsets); diff != "" || reply.Next != 4 {
			t.Errorf("%s: offsets (-want +got):\n%s\nnext offset %d, want 4", tc.name, diff, reply.Next)
		}
	}
}

// Checks the error and the effect of an append under each fault: an outage before
// the append takes effect, a reply that is lost afterwards, and a duplicated
// record.
func TestAppendFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  Faults
		ok      bool
		applied bool // the append may have taken effect, so infra.NotApplied must be false
		want    []string
	}{
		{"none", Faults{}, true, true, []string{"0=x"}},
		{"down", Faults{Down: true}, false, false, []string{}},
		{"cut", Faults{Cut: true}, false, true, []string{}},
		{"lost reply", Faults{LoseReply: true}, false, true, []string{"0=x"}},
		{"duplicate", Faults{Duplicate: true}, true, true, []string{"0=x", "1=x"}},
		{"cut reads", Faults{CutReads: true}, true, true, []string{"0=x"}},
		{"another stream", Faults{Down: true, Stream: "other"}, true, true, []string{"0=x"}},
	}
	for _, tc := range cases {
		l, client := newClient(t, Config{})
		l.SetFaults(tc.faults, 1)
		_, err := client.Append(context.Background(), "s", []byte("x"))
		if (err == nil) != tc.ok || infra.NotApplied(err) == tc.applied {
			t.Errorf("%s: append returned %v, which does not match the fault", tc.name, err)
		}
		l.SetFaults(Faults{}, 0)
		reply, err := client.Read(context.Background(), "s", 0, 10, 0)
		if diff := cmp.Diff(tc.want, formatRecords(reply)); diff != "" || err != nil {
			t.Errorf("%s: %v: %s", tc.name, err, diff)
		}
	}
}

func TestTrimmedRead(t *testing.T) {
	l, client := newClient(t, Config{RetainCount: 2})
	for range 5 {
		l.Append("s", []byte("x"))
	}
	reply, err := client.Read(context.Background(), "s", 1, 10, 0)
	if !errors.Is(err, infra.ErrTrimmed) || reply.First != 3 || reply.Next != 5 {
		t.Errorf("read before the first record returned %v, %+v; want ErrTrimmed, first offset 3 and next 5", err, reply)
	}
}

func TestAppendRate(t *testing.T) {
	_, client := newClient(t, Config{AppendRate: 0.001})
	if _, err := client.Append(context.Background(), "s", []byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Append(context.Background(), "s", []byte("x")); !infra.NotApplied(err) {
		t.Errorf("append above the rate returned %v, want an error that infra.NotApplied accepts", err)
	}
}

func TestLongPoll(t *testing.T) {
	cases := []struct {
		name string
		wake func(*Log)
		want []string
		ok   bool
	}{
		{"append", func(l *Log) { l.Append("s", []byte("x")) }, []string{"0=x"}, true},
		{"outage", func(l *Log) { l.SetFaults(Faults{Down: true}, 0) }, []string{}, false},
	}
	for _, tc := range cases {
		l, client := newClient(t, Config{})
		type result struct {
			reply infraapi.ReadReply
			err   error
		}
		done := make(chan result, 1)
		go func() {
			reply, err := client.Read(context.Background(), "s", 0, 10, waitTimeout)
			done <- result{reply, err}
		}()
		waittest.Until(t, "the read waits", func() bool { return l.Stats().Reads > 0 })
		tc.wake(l)
		got := <-done
		if diff := cmp.Diff(tc.want, formatRecords(got.reply)); diff != "" || (got.err == nil) != tc.ok {
			t.Errorf("%s: %v: %s", tc.name, got.err, diff)
		}
	}
}
