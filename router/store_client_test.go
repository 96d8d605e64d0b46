package router

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/corianderturn/corianderturn/internal/waittest"
)

// Guards against a store client with fewer connections than the calls that can be open at once:
// long polls of the configuration, of the registrations and of the quarantine log, a lease
// renewal, a lookup of the group's members and an append. If a poll waits for a connection, the
// daemon learns late that an upstream is leaving and keeps sending requests to it.
func TestNoCallToTheStoreWaitsForAnother(t *testing.T) {
	const calls = 6 // three long polls and three other calls
	arrived, release := make(chan struct{}, calls), make(chan struct{})
	store := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	t.Cleanup(store.Close)
	client := (&Attached{}).storeClient()
	t.Cleanup(client.CloseIdleConnections)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer close(release)
	for range calls {
		wg.Go(func() {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, store.URL, http.NoBody)
			if err != nil {
				t.Error(err)
				return
			}
			resp, err := client.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			_ = resp.Body.Close()
		})
	}
	for range calls {
		waittest.Receive(t, "the store receives each call", arrived)
	}
}
