package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// crashThree reports three runs of the fatal request whose upstreams crashed, a second apart.
func crashThree(k *Keeper) {
	for i := range 3 {
		k.ReportLostRun(LostRun{Subject: SubjectOf(fatal), Upstream: fmt.Sprint("u", i), Address: fmt.Sprint("u", i)})
		time.Sleep(time.Second)
	}
}

// Guards against a quarantined request whose records expire in the log, so that it crashes three more
// upstreams after a restart of all daemons; and against every daemon renewing the same records. The
// request is repeated at two daemons in turn, for longer than the log's retention time of a minute.
func TestRefusedRequestsStayOnTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newTestLog()
		keepers := shared.start(t, 2)
		crashThree(keepers[0])
		const seconds = 300
		for i := range seconds {
			if !refusesFatal(keepers[i%2], time.Now()) {
				t.Fatalf("not refused after %d s", i)
			}
			time.Sleep(time.Second)
		}
		// Three crashes, renewed every half minute.
		if got := shared.len(); got < 3*seconds/60 || got > 3*(1+seconds/30) {
			t.Errorf("%d records in the log", got)
		}
	})
}

// idleTime is how long a request is not repeated: longer than the log's retention time.
const idleTime = 5 * testRetention

// Guards against renewing records only while their request is repeated. A request is quarantined
// and then not sent for longer than the retention time; after a restart of all daemons it must
// still be refused.
func TestWhatIsRefusedOutlivesTheDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newTestLog()
		keepers, stop := shared.startStoppable(t, 3)
		crashThree(keepers[0])
		time.Sleep(idleTime)
		stop()
		// Three crashes, renewed after every half of the retention time.
		if got, most := shared.len(), 3*(1+int(2*idleTime/testRetention)); got > most {
			t.Errorf("%d records in the log, want at most %d", got, most)
		}
		keepers = shared.start(t, 3)
		time.Sleep(time.Second)
		for i, k := range keepers {
			if !refusesFatal(k, time.Now()) {
				t.Errorf("daemon %d does not refuse the request", i)
			}
		}
	})
}

// Guards against refusing a request again that an operator has lifted from quarantine, because
// crashes are renewed and the lift is not. A daemon that was partitioned for longer than the
// retention time reports the old crashes after the lift; then all daemons restart.
func TestWhatWasLiftedOutlivesTheDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newTestLog()
		keepers, stop := shared.startStoppable(t, 3)
		crashThree(keepers[0])
		crashes := shared.all()
		if err := shared.Append(t.Context(), []Record{Lift(fatal, time.Now())}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(idleTime)
		stop()
		if err := shared.Append(t.Context(), crashes); err != nil {
			t.Fatal(err)
		}
		keepers = shared.start(t, 3)
		time.Sleep(time.Second)
		for i, k := range keepers {
			if refusesFatal(k, time.Now()) {
				t.Errorf("daemon %d refuses the request", i)
			}
		}
	})
}
