package request_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/quarantine"
	"github.com/corianderturn/corianderturn/request"
	"github.com/corianderturn/corianderturn/upstream"
)

const (
	// silenceTarget is the target for the first byte of calls, and silenceFactor the multiple of it
	// after which another replica is sought.
	silenceTarget = 20 * time.Millisecond
	silenceFactor = 1.5
	// longFactor is a multiple within which a replica that is not silent answers on a busy machine too.
	longFactor = 50
	// callSilence is the length of the silence that calls meet.
	callSilence = 400 * time.Millisecond
)

// replicaCall is a call that reached a replica.
type replicaCall struct {
	replica string
	ctx     context.Context
}

// scriptedServices is a request.Services whose replicas, named by their addresses, answer as their
// functions say; one without a function answers at once. answering counts the calls in progress.
type scriptedServices struct {
	mu        sync.Mutex
	behaviour map[string]func(context.Context) (int, error)
	calls     []replicaCall
	answering int
}

func (s *scriptedServices) Call(ctx context.Context, addr string, _ upstream.ServiceCall) (*upstream.ServiceResponse, error) {
	s.mu.Lock()
	s.calls = append(s.calls, replicaCall{addr, ctx})
	s.answering++
	answer := s.behaviour[addr]
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answering--
	}()
	status := http.StatusOK
	if answer != nil {
		var err error
		if status, err = answer(ctx); err != nil {
			return nil, err
		}
	}
	return &upstream.ServiceResponse{Status: status, Body: []byte(addr)}, nil
}

// replicas returns the replicas in the order in which the calls reached them.
func (s *scriptedServices) replicas() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.calls {
		out = append(out, c.replica)
	}
	return out
}

// inProgress returns the number of calls in progress.
func (s *scriptedServices) inProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answering
}

// silentFor answers with 200 after a silence.
func silentFor(d time.Duration) func(context.Context) (int, error) {
	return func(ctx context.Context) (int, error) {
		select {
		case <-ctx.Done():
			return 0, upstream.NewCallError(upstream.Maybe, 0, ctx.Err())
		case <-time.After(d):
			return http.StatusOK, nil
		}
	}
}

// silent never answers.
func silent(ctx context.Context) (int, error) {
	<-ctx.Done()
	return 0, upstream.NewCallError(upstream.Maybe, 0, ctx.Err())
}

func answers(status int) func(context.Context) (int, error) {
	return func(context.Context) (int, error) { return status, nil }
}

func fails(d upstream.Delivery) func(context.Context) (int, error) {
	return func(context.Context) (int, error) { return 0, upstream.NewCallError(d, 0, errors.New("scripted")) }
}

// lineRecorder is a log.Handler that keeps the lines. It is safe for concurrent use.
type lineRecorder struct {
	mu    sync.Mutex
	lines []*log.Entry
}

func (r *lineRecorder) HandleLog(e *log.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, e)
	return nil
}

// fieldsOf returns the fields of the lines with a message.
func (r *lineRecorder) fieldsOf(message string) (out []log.Fields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.lines {
		if e.Message == message {
			out = append(out, e.Fields)
		}
	}
	return out
}

// silenceFixture is a runner with scripted replicas "s0", "s1" and so on of a plain service.
type silenceFixture struct {
	*fleet
	services *scriptedServices
	limits   *fakeLimits
	lines    *lineRecorder
	call     request.Call
}

func newSilenceFixture(t testing.TB, replicas int, change func(*request.Options)) *silenceFixture {
	s := &silenceFixture{
		services: &scriptedServices{behaviour: map[string]func(context.Context) (int, error){}},
		limits:   &fakeLimits{},
		lines:    &lineRecorder{},
	}
	s.fleet = newFleet(t, func(o *request.Options) {
		o.Services, o.UpstreamLimits = s.services, s.limits
		o.Snapshot = s.silenceSnapshot
		o.Limits.CallTimeoutFactor = silenceFactor
		o.Logger = &log.Logger{Handler: s.lines, Level: log.InfoLevel}
		if change != nil {
			change(o)
		}
	})
	for i := range replicas {
		name := "s" + string(rune('0'+i))
		s.join(name, name)
	}
	now := time.Now()
	s.call = request.Call{
		ID: "c1", Team: "t", Class: bundle.Urgent, Service: "svc", Method: http.MethodGet, Path: "/",
		Accepted: now, Deadline: now.Add(maxWait),
	}
	return s
}

func (s *silenceFixture) silenceSnapshot() *policy.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &bundle.Bundle{Services: map[string]bundle.Service{"svc": {Pool: "svc"}}, Classes: map[bundle.Class]bundle.ClassTarget{bundle.Urgent: {FirstTokenMillis: silenceTarget.Milliseconds()}}}
	return policy.NewSnapshot(b, 1, time.Now(), slices.Clone(s.members), nil)
}

// afterFirst runs change when the first call reaches its replica.
func (s *silenceFixture) afterFirst(change func()) {
	first := s.services.behaviour["s0"]
	s.services.behaviour["s0"] = func(ctx context.Context) (int, error) {
		change()
		return first(ctx)
	}
}

// refusesRepeats is a quarantine that refuses every request but its first dispatch.
type refusesRepeats struct {
	mu    sync.Mutex
	asked int
}

func (*refusesRepeats) ReportLostRun(quarantine.LostRun) {}

func (*refusesRepeats) RecordCompletion(time.Time, quarantine.Subject) {}

func (q *refusesRepeats) Refuses(time.Time, quarantine.Subject) quarantine.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.asked++
	return quarantine.Verdict{Refused: q.asked > 1}
}

// Guards against calls that end without an answer because their replica was silent for a while, was
// given up, and no other replica could or would answer.
func TestSilentReplicaIsKeptUntilAnotherAnswers(t *testing.T) {
	for _, tc := range []struct {
		name     string
		replicas int
		change   func(*request.Options)
		arrange  func(*silenceFixture)
	}{
		{"no other replica", 1, nil, nil},
		{"no retry permit", 2, nil, func(s *silenceFixture) { s.budgetEmpty.Store(true) }},
		{"no units left", 2, nil, func(s *silenceFixture) { s.limits.left = map[string]int{"s0": 1, "s1": 0} }},
		{"quarantined meanwhile", 2, func(o *request.Options) { o.Quarantine = &refusesRepeats{} }, nil},
		{"the other replica leaves", 2, nil, func(s *silenceFixture) {
			s.afterFirst(func() { s.set(func() { s.onPlan = func(int) { s.leave("s1") } }) })
		}},
		{"this process was stopped", 2, nil, func(s *silenceFixture) { s.afterFirst(func() { s.set(func() { s.stale = true }) }) }},
		{"the other replica is gone", 2, nil, func(s *silenceFixture) { s.afterFirst(func() { s.leave("s1") }) }},
		{"as many attempts as are allowed", 4, nil, func(s *silenceFixture) {
			s.services.behaviour["s1"], s.services.behaviour["s2"] = silentFor(2*callSilence), silentFor(2*callSilence)
		}},
		{"as many sends as are allowed", 3, nil, func(s *silenceFixture) {
			s.call.MaxSends = 2
			s.services.behaviour["s1"] = silent
		}},
		{"the other replica refuses", 2, nil, func(s *silenceFixture) { s.services.behaviour["s1"] = fails(upstream.Refused) }},
		{"the other replica is not reached", 2, nil, func(s *silenceFixture) { s.services.behaviour["s1"] = fails(upstream.NotSent) }},
		{"the other replica breaks off", 2, nil, func(s *silenceFixture) { s.services.behaviour["s1"] = fails(upstream.Maybe) }},
		{"the other replica is unavailable", 2, nil, func(s *silenceFixture) { s.services.behaviour["s1"] = answers(http.StatusServiceUnavailable) }},
		{"all are silent", 3, nil, func(s *silenceFixture) {
			s.services.behaviour["s1"], s.services.behaviour["s2"] = silentFor(callSilence), silentFor(callSilence)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSilenceFixture(t, tc.replicas, tc.change)
			s.services.behaviour["s0"] = silentFor(callSilence)
			if tc.arrange != nil {
				tc.arrange(s)
			}
			answer, err := s.runner.Call(context.Background(), s.call)
			if err != nil || answer.Status != http.StatusOK {
				t.Errorf("got %+v, %v; calls reached %v", answer, err, s.services.replicas())
			}
			if n := s.services.inProgress(); n != 0 {
				t.Errorf("%d calls in progress after the end", n)
			}
		})
	}
}

// Guards against calls that wait for a silent replica until their deadline although another one
// would answer, and against calls that go on at the silent one for nobody.
func TestSilentCallIsAnsweredElsewhere(t *testing.T) {
	budget := &countingBudget{}
	s := newSilenceFixture(t, 3, func(o *request.Options) {
		o.RetryBudget = func(string) request.RetryBudget { return budget }
		o.Limits.CallTimeoutFactor = longFactor
	})
	s.services.behaviour["s0"] = silent
	answer, err := s.runner.Call(context.Background(), s.call)
	if err != nil || string(answer.Body) != "s1" {
		t.Errorf("got %+v, %v", answer, err)
	}
	if got := s.services.replicas(); !slices.Equal(got, []string{"s0", "s1"}) || budget.permits != 1 {
		t.Errorf("calls reached %v with %d permits", got, budget.permits)
	}
	if s.services.calls[0].ctx.Err() == nil || s.services.inProgress() != 0 {
		t.Error("the call goes on at the silent replica")
	}
}

// Guards against a replica that is found too late: none is left when the silence is noticed, and one
// joins a moment later.
func TestReplacementIsSoughtAgain(t *testing.T) {
	s := newSilenceFixture(t, 1, nil)
	s.services.behaviour["s0"] = silent
	s.budgetEmpty.Store(true)
	s.join("s1", "s1")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if answer, err := s.runner.Call(context.Background(), s.call); err != nil || string(answer.Body) != "s1" {
			t.Errorf("got %+v, %v", answer, err)
		}
	}()
	waitUntil(t, "a denied retry", func() bool { return len(s.lines.fieldsOf("retry")) > 0 })
	s.budgetEmpty.Store(false)
	<-done
}

// Guards against units of a rate limit that stay taken for a replacement that is not sent.
func TestUnsentReplacementReturnsLimitUnits(t *testing.T) {
	s := newSilenceFixture(t, 2, nil)
	s.services.behaviour["s0"] = silentFor(callSilence)
	s.limits.left = map[string]int{"s0": 1, "s1": 1}
	s.budgetEmpty.Store(true)
	if _, err := s.runner.Call(context.Background(), s.call); err != nil {
		t.Error(err)
	}
	if left := s.limits.left; left["s0"] != 0 || left["s1"] != 1 {
		t.Errorf("units left: %v", left)
	}
}

// Guards against an error in place of a service's own answer, when the replica that was waited for
// beside it has none until the deadline.
func TestUnavailableIsPassedOnAtDeadline(t *testing.T) {
	s := newSilenceFixture(t, 2, nil)
	s.services.behaviour["s0"], s.services.behaviour["s1"] = silent, answers(http.StatusBadGateway)
	s.call.Deadline = s.call.Accepted.Add(callSilence)
	if answer, err := s.runner.Call(context.Background(), s.call); err != nil || answer.Status != http.StatusBadGateway {
		t.Errorf("got %+v, %v", answer, err)
	}
}

// Guards against work that goes on at several replicas after the caller has left.
func TestCallerEndsAllDispatches(t *testing.T) {
	s := newSilenceFixture(t, 3, nil)
	for _, name := range []string{"s0", "s1", "s2"} {
		s.services.behaviour[name] = silent
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	ended := make(chan *errkind.Error, 1)
	go func() {
		_, err := s.runner.Call(ctx, s.call)
		ended <- err
	}()
	waitUntil(t, "the call runs at all replicas", func() bool { return s.services.inProgress() == 3 })
	leave()
	if err := <-ended; err == nil || err.Kind != errkind.ClientGone || err.Run != errkind.Unknown {
		t.Errorf("got %v (run state %q)", err, runOf(err))
	}
	if n := s.services.inProgress(); n != 0 {
		t.Errorf("%d calls in progress after the end", n)
	}
}

// Guards against a second run of a call that must run at most once, because its replica is silent.
func TestSilentCallIsNotSentTwice(t *testing.T) {
	s := newSilenceFixture(t, 2, nil)
	s.services.behaviour["s0"] = silentFor(callSilence)
	s.call.Method, s.call.SendOnce = http.MethodPost, true
	answer, err := s.runner.Call(context.Background(), s.call)
	if got := s.services.replicas(); err != nil || string(answer.Body) != "s0" || len(got) != 1 {
		t.Errorf("got %+v, %v; calls reached %v", answer, err, got)
	}
}

// Guards against retries without permits: every dispatch after the first one takes one.
func TestPermitsCoverDispatchesOfSilentCalls(t *testing.T) {
	budget := &countingBudget{}
	s := newSilenceFixture(t, 5, func(o *request.Options) {
		o.RetryBudget = func(string) request.RetryBudget { return budget }
		o.Limits.MaxAttempts = 4
	})
	s.services.behaviour["s0"], s.services.behaviour["s1"] = silentFor(callSilence), fails(upstream.NotSent)
	s.services.behaviour["s2"], s.services.behaviour["s3"] = fails(upstream.Maybe), silent
	if _, err := s.runner.Call(context.Background(), s.call); err != nil {
		t.Error(err)
	}
	const notSent = 1
	if got := s.services.replicas(); budget.permits != len(got)-1-notSent {
		t.Errorf("%d permits, calls reached %v", budget.permits, got)
	}
}

// Guards against logs that do not say why a call was ended or kept.
func TestSilenceLines(t *testing.T) {
	for _, tc := range []struct {
		name    string
		factor  float64
		arrange func(*silenceFixture)
		want    []string // of each line: replica, replacement and reason
	}{
		{"replaced", longFactor, func(s *silenceFixture) { s.services.behaviour["s0"] = silent }, []string{"s0 s1 replacement-sent", "s0 s1 answered-elsewhere"}},
		{"no replica", silenceFactor, func(s *silenceFixture) { s.leave("s1") }, []string{"s0  no-upstream"}},
		{"no permit", silenceFactor, func(s *silenceFixture) { s.budgetEmpty.Store(true) }, []string{"s0  no-retry-permit"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newSilenceFixture(t, 2, func(o *request.Options) { o.Limits.CallTimeoutFactor = tc.factor })
			s.services.behaviour["s0"] = silentFor(callSilence)
			tc.arrange(s)
			if _, err := s.runner.Call(context.Background(), s.call); err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, fields := range s.lines.fieldsOf("silent call") {
				got = append(got, strings.Join([]string{fields["upstream"].(string), fields["replacement"].(string), fields["reason"].(string)}, " "))
				if fields["request"] != "c1" || fields["silent_ms"].(int64) < int64(tc.factor*float64(silenceTarget.Milliseconds())) {
					t.Errorf("line %v", fields)
				}
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

// failures is a request.Observer that records the upstreams whose calls failed.
type failures struct {
	observer
	mu    sync.Mutex
	names []string
}

func (f *failures) Failed(_ time.Time, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.names = append(f.names, name)
}

// Guards against replicas that never answer and keep getting calls, and against slow ones that count
// as failed although the others are no faster.
func TestSilentReplicaCountsAsFailed(t *testing.T) {
	s1Reached := make(chan struct{})
	for _, tc := range []struct {
		name   string
		factor float64
		s0, s1 func(context.Context) (int, error)
		want   []string
	}{
		{"another one answers in time", longFactor, silent, nil, []string{"s0"}},
		{"another one is slow too", silenceFactor, silent, silentFor(callSilence), nil},
		{"it answers before the other one", silenceFactor, func(context.Context) (int, error) {
			<-s1Reached
			return http.StatusOK, nil
		}, func(ctx context.Context) (int, error) {
			close(s1Reached)
			return silent(ctx)
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := &failures{}
			s := newSilenceFixture(t, 2, func(o *request.Options) { o.Observer, o.Limits.CallTimeoutFactor = f, tc.factor })
			s.services.behaviour["s0"], s.services.behaviour["s1"] = tc.s0, tc.s1
			if _, err := s.runner.Call(context.Background(), s.call); err != nil {
				t.Error(err)
			}
			if !slices.Equal(f.names, tc.want) {
				t.Errorf("failed: %v, want %v", f.names, tc.want)
			}
		})
	}
}
