package fleet

import "time"

const (
	// departureMemory is how long upstreams that have gone are remembered. A copy from which the
	// store is restored is some seconds old.
	departureMemory = 2 * time.Minute
	// leaseMargin is how much longer than its lease a registration that nobody renews may stay in the
	// store.
	leaseMargin = 1500 * time.Millisecond
)

// restoration decides which registrations of a store that was restored from a copy to believe. It is
// not safe for concurrent use.
//
// The copy has upstreams as they were when it was made: those that have left since, and those that
// drain as if they did not. These must not get requests again. A registration in the copy that is
// older than what was known before is therefore held until its upstream writes a newer one, or until
// it has outlived its lease: then it was renewed, and the upstream runs.
type restoration struct {
	lease time.Duration
	// ends is when all leases of the copy that nobody renewed have expired; zero before the first
	// restoration.
	ends     time.Time
	departed map[string]departure
	held     map[string]heldRegistration
}

// departure is the last registration of an upstream that has gone.
type departure struct {
	last *Registration
	at   time.Time
}

// heldRegistration is a registration that is not used before a time.
type heldRegistration struct {
	reg   *Registration
	until time.Time
}

func newRestoration(lease time.Duration) restoration {
	return restoration{lease: lease, departed: map[string]departure{}, held: map[string]heldRegistration{}}
}

// begin notes that the store was restored.
func (r *restoration) begin(now time.Time) {
	r.ends = now.Add(r.lease + leaseMargin)
	clear(r.held)
}

// recordDeparture remembers an upstream that has gone.
func (r *restoration) recordDeparture(now time.Time, last *Registration) {
	r.departed[last.Name] = departure{last, now}
}

// hold decides whether a registration is held, given the one that is in use; known is nil if there is
// none.
func (r *restoration) hold(now time.Time, known, reg *Registration) bool {
	delete(r.held, reg.Name)
	if !now.Before(r.ends) {
		return false
	}
	gone := r.departed[reg.Name]
	if known != nil && !reg.olderThan(known) || known == nil && (gone.last == nil || gone.last.olderThan(reg)) {
		return false
	}
	r.held[reg.Name] = heldRegistration{reg, r.ends}
	return true
}

// holdsOther reports whether an upstream of another version of a service is held. Daemons that started after the
// restoration use it.
func (r *restoration) holdsOther(service, version string) bool {
	for _, h := range r.held {
		if h.reg.Service == service && h.reg.Version != version {
			return true
		}
	}
	return false
}

// withdraw notes that the store has no registration of an upstream.
func (r *restoration) withdraw(name string) { delete(r.held, name) }

// release returns the registrations that have outlived their leases, and when the next one will; zero if
// none is held. It forgets old departures.
func (r *restoration) release(now time.Time) (list []*Registration, next time.Time) {
	for name, h := range r.held {
		if now.Before(h.until) {
			next = earliest(next, h.until)
			continue
		}
		delete(r.held, name)
		list = append(list, h.reg)
	}
	for name, d := range r.departed {
		if now.Sub(d.at) > departureMemory {
			delete(r.departed, name)
		}
	}
	return list, next
}
