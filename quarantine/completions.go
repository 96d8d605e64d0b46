package quarantine

import "time"

// maxCompletions is the number of parts in one half of a completionTimes, about 60 bytes each.
const maxCompletions = 8192

// completionTimes holds when requests with a part last completed, of the parts that completed most
// recently. The zero value is empty.
type completionTimes struct {
	// latest takes new entries until it has maxCompletions; then it replaces older.
	latest, older map[Digest]time.Time
}

func (c *completionTimes) record(part Digest, at time.Time) {
	if c.latest == nil || len(c.latest) >= maxCompletions {
		c.latest, c.older = map[Digest]time.Time{}, c.latest
	}
	c.latest[part] = at
}

func (c *completionTimes) last(part Digest) (at time.Time, ok bool) {
	if at, ok = c.latest[part]; !ok {
		at, ok = c.older[part]
	}
	return at, ok
}
