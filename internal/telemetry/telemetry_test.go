package telemetry

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/corianderturn/corianderturn/bundle"
	"github.com/corianderturn/corianderturn/errkind"
	"github.com/corianderturn/corianderturn/internal/wire"
	"github.com/corianderturn/corianderturn/policy"
	"github.com/corianderturn/corianderturn/request"
)

// useAllInstruments records at least one value with each method of in.
func useAllInstruments(in *Instruments) {
	in.RequestDone(bundle.Urgent, nil)
	in.RequestDone(bundle.Draft, errkind.New(errkind.Overloaded, ""))
	in.FirstToken(bundle.Urgent, time.Second)
	in.BetweenTokens(bundle.Draft, time.Millisecond)
	in.Retry()
	in.RetryPermit(true)
	in.Hedge("denied", "share-spent")
	in.SetRetryShare(9, 5.4)
	in.SetCallsWaiting(1)
	in.CallRefusedEarly(errkind.Overloaded)
	in.CallPredicted(time.Second, time.Millisecond)
	in.TeamAdmitted("red", 40)
	in.TeamRefused("red", 2)
	in.PrefillWasted(41)
	in.AdmissionWaiting(2, 5)
	in.AdmissionTurns("room", 3)
	in.AdmissionReservations("refused", 4)
	in.AdmissionDropped("duplicate")
	in.AdmissionCoordinatorLost("silent")
	in.Cancel()
	in.CancelAcked()
	p := in.Policy(fakePolicy{})
	_, _ = p.Plan(nil, nil, policy.Query{}, nil)
	_, _ = p.PickService(nil, nil, "", policy.Query{}, nil)
	for _, g := range []fakeGrant{{run: true}, {owner: true}, {}} {
		_, _ = in.Gate(fakeGate{grant: g}).Claim(context.Background(), request.ClaimKey{})
	}
	in.Step("reserve")
	in.SendFailed("refused", "refusal")
	in.StoreRead("config", ReadDirect, "followers")
	in.StoreReread("config", "trimmed")
	in.StoreRewritten("origins", 3)
	in.SetStoreEpoch(2)
	in.UpstreamProbe("ended")
	in.StreamTakenUp("recorded")
	in.SetQuarantineRequests(2)
	in.PartVerdict(true)
	in.PartVerdict(false)
	in.SetConfigurationVersion(7)
	in.SetLimitedUpstreams(1)
	in.UpstreamDialed("refused")
	in.UpstreamStated(StatedRest)
	in.SetUnreachableUpstreams(3)
	in.DetourOpened("opened")
	in.ConnectionCarried("busy")
	in.SetCarriedConnections(2)
	in.AnswerLimited(AnswersRefused)
	in.ClientLimited("heads")
	in.SetAnswersHeld(4096)
	in.LimitDecisions(LimitSent, 1)
	_, _ = in.Gate(fakeGate{err: errkind.New(errkind.KeyReused, "")}).Claim(context.Background(), request.ClaimKey{})
}

type fakePolicy struct{ policy.Policy }

func (fakePolicy) Plan(*policy.Snapshot, policy.Inflight, policy.Query, *rand.Rand) (policy.Plan, *errkind.Error) {
	return policy.Plan{Reason: "cached"}, nil
}

func (fakePolicy) PickService(*policy.Snapshot, policy.Inflight, string, policy.Query, *rand.Rand) (policy.ServicePlan, *errkind.Error) {
	return policy.ServicePlan{Reason: "unused"}, errkind.New(errkind.NoUpstream, "")
}

type fakeGate struct {
	grant fakeGrant
	err   *errkind.Error
}

func (f fakeGate) Claim(context.Context, request.ClaimKey) (request.Grant, *errkind.Error) {
	return f.grant, f.err
}

type fakeGrant struct {
	request.Grant
	run, owner bool
}

func (f fakeGrant) Run() bool                  { return f.run }
func (f fakeGrant) Owner() (wire.NodeID, bool) { return wire.NodeID{}, f.owner }

// Every defined metric, including one of another package, must appear on the /metrics page
// under the name and type of its definition.
func TestEveryMetricIsOnThePage(t *testing.T) {
	m, err := NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close(context.Background())
	useAllInstruments(Discard())
	useAllInstruments(m.Instruments)
	m.OnScrape(func() ScrapeValues { return ScrapeValues{Sweeps: 7, ViewAge: 1500 * time.Millisecond} })
	other, err := m.Meter().Int64Counter("corianderturn.other.thing")
	if err != nil {
		t.Fatal(err)
	}
	other.Add(context.Background(), 3)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	page := w.Body.String()
	for _, d := range m.Definitions() {
		if !strings.Contains(page, "# TYPE "+d.Name+" "+d.Type+"\n") {
			t.Errorf("%s %s is not on the page", d.Type, d.Name)
		}
	}
	for _, line := range []string{
		`corianderturn_requests_total{class="urgent",outcome="answered"} 1`,
		`corianderturn_refusals_total{kind="overloaded"} 1`,
		`corianderturn_sweeps_total 7`,
		`corianderturn_steps_total{step="reserve"} 1`,
		`corianderturn_store_readings_total{feed="config",reason="followers",result="direct"} 1`,
		`corianderturn_configuration_version 7`,
		`corianderturn_prefill_wasted_tokens_total 41`,
		`corianderturn_decisions_total{reason="cached"} 1`,
		`corianderturn_decisions_total{reason="no-upstream"} 1`,
		`corianderturn_claims_total{result="granted"} 1`,
		`corianderturn_claims_total{result="elsewhere"} 1`,
		`corianderturn_claims_total{result="repeated"} 1`,
		`corianderturn_claims_total{result="key-reused"} 1`,
		`corianderturn_other_thing_total 3`,
		`corianderturn_view_age_seconds 1.5`,
	} {
		if !strings.Contains(page, line+"\n") {
			t.Errorf("no line %s in\n%s", line, page)
		}
	}
}

// Guards against credentials in the logs, which would let everyone who reads them act as a
// caller. They get there when a request fails and its error text, or a field with its key,
// is logged.
func TestSecretsAreMasked(t *testing.T) {
	for _, format := range []string{FormatText, FormatJSON} {
		var out bytes.Buffer
		l, err := NewLogger(&out, "info", format)
		if err != nil {
			t.Fatal(err)
		}
		l.WithField("authorization", "sesame1").WithField("admin_token", "sesame2").WithField("idempotency-key", "sesame3").
			WithField("prompt_tokens", 41).WithField("cause", errors.New("sent Bearer sesame4 in vain")).
			WithError(errors.New("bad header: bearer sesame5")).Error("got Basic sesame6==")
		l.Debug("not written")
		got := out.String()
		if strings.Contains(got, "sesame") || strings.Contains(got, "not written") {
			t.Errorf("%s: %s", format, got)
		}
		if !strings.Contains(got, "41") || !strings.Contains(got, "bearer redacted") {
			t.Errorf("%s: text that is not secret was masked: %s", format, got)
		}
	}
}

func TestBadLogSettings(t *testing.T) {
	if _, err := NewLogger(nil, "loud", FormatText); err == nil {
		t.Error("an invalid level was accepted")
	}
	if _, err := NewLogger(nil, "info", "xml"); err == nil {
		t.Error("an unknown format was accepted")
	}
}

func BenchmarkBetweenTokens(b *testing.B) {
	m, err := NewMetrics()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.BetweenTokens(bundle.Urgent, 40*time.Millisecond)
	}
}
