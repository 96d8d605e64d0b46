// Package site simulates the users' platform for tests and trials: its store, model
// engines and plain services on loopback, which use the platform's published
// protocol and have faults that a test can set. The package records which requests
// arrived and which were executed, by request id; checking the records is up to the
// test.
package site

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// TopicConfig has the versions of the configuration and TopicUpstreams the
// registrations of the upstreams. In topics whose name begins with "keyed.", every
// record has a key.
const (
	TopicConfig    = "keyed.op"
	TopicUpstreams = "keyed.servers"
)

// Store implements the part of the platform's log that daemons use.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced at each append
	down    bool
	// partOwner is the member of the consumer group that is assigned the group's only
	// part, and ownerSeenAt is the time of its last join.
	partOwner   string
	ownerSeenAt time.Time
	generation  uint64 // of the group; grows when the part's owner changes or leaves
	calls       int
	// era is the number of restorations from a copy. It is told by the header Store-Era, from the
	// first one on if lateEra is set.
	era     uint64
	lateEra bool
}

// topic is one topic of the store. The offset of a record is its index in records.
type topic struct {
	records []storeRecord
	first   int // offset of the oldest record that can be read
}

// storeRecord is one record of a topic.
type storeRecord struct {
	key   string
	value []byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{TopicConfig: {}, TopicUpstreams: {}}, changed: make(chan struct{})}
}

// Put appends the newest value of a key, as JSON; a nil value withdraws the key.
func (s *Store) Put(name, key string, value any) {
	var raw []byte
	if value != nil {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(err) // a bug in the test
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	t.records = append(t.records, storeRecord{key, raw})
	s.wake()
}

// SetDown sets whether the store replies to every call with 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// DropHistory deletes all records for reads by offset. The newest record of each key
// can still be read by log-newest.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first = len(t.records)
	}
}

// TellEraLate makes the store leave out its era until it has been restored from a copy.
func (s *Store) TellEraLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateEra = true
}

// Len returns the number of records of a topic, those of its dropped history included.
func (s *Store) Len(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

// Calls returns the number of calls made to the store, including failed ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, func(rec storeRecord) []byte { return rec.value })
}

// View is the store as one daemon sees it. Address returns the address that an upstream has for
// this daemon, which is that of a link that only this daemon uses.
type View struct {
	Store   *Store
	Address func(upstream, address string) string
}

// ServeHTTP implements http.Handler.
func (v View) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	value := func(rec storeRecord) []byte { return rec.value }
	if r.URL.Query().Get("topic") == TopicUpstreams {
		value = v.registration
	}
	v.Store.serve(w, r, value)
}

// registration returns the value of a registration with the address for this daemon.
func (v View) registration(rec storeRecord) []byte {
	if len(rec.value) == 0 {
		return rec.value
	}
	var fields map[string]any
	if err := json.Unmarshal(rec.value, &fields); err != nil {
		panic(err) // a bug in this package
	}
	fields["address"] = v.Address(rec.key, fields["address"].(string))
	out, err := json.Marshal(fields)
	if err != nil {
		panic(err) // a bug in this package
	}
	return out
}

// serve answers a call. value returns the value of a record to send.
func (s *Store) serve(w http.ResponseWriter, r *http.Request, value func(storeRecord) []byte) {
	s.mu.Lock()
	s.calls++
	down := s.down
	setEra(w, s.eraHeader())
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/corianderturn/log-newest":
		s.newest(w, r, value)
	case "/corianderturn/log-read":
		s.read(w, r, value)
	case "/corianderturn/log-append":
		s.append(w, r)
	case "/corianderturn/log-join":
		s.join(w, r)
	case "/corianderturn/log-leave":
		s.leave(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// append serves log-append: it appends records of daemons to a topic, which is
// created at its first use. Each record is preceded by its length.
func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the daemon closed the connection
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.eraHeader())
	t := s.topic(r.URL.Query().Get("topic"))
	first := len(t.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(first) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"end_offset": first}) // fails only if the daemon has disconnected
		return
	}
	for len(body) >= lengthBytes {
		n := lengthBytes + int(binary.BigEndian.Uint32(body))
		if len(body) < n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		t.records = append(t.records, storeRecord{value: body[lengthBytes:n]})
		body = body[n:]
	}
	s.wake()
	writeJSON(w, map[string]any{"offset": first, "end_offset": len(t.records)})
}

// eraHeader returns the value of the header that tells the era; s.mu must be held.
func (s *Store) eraHeader() string {
	if s.lateEra && s.era == 0 {
		return ""
	}
	return strconv.FormatUint(s.era, 10)
}

// setEra sets the header that tells the era.
func setEra(w http.ResponseWriter, era string) {
	w.Header().Del("Store-Era")
	if era != "" {
		w.Header().Set("Store-Era", era)
	}
}

// topic returns the topic with this name and creates it if necessary; s.mu must be
// held.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// newestItem is the newest record of a key, in a reply to log-newest.
type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

// newest serves log-newest: the newest record of each key of a topic, without
// withdrawn keys.
func (s *Store) newest(w http.ResponseWriter, r *http.Request, value func(storeRecord) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.eraHeader())
	t := s.topics[r.URL.Query().Get("topic")]
	if t == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	last := map[string]int{}
	for i, rec := range t.records {
		last[rec.key] = i
	}
	items := []newestItem{}
	for i, rec := range t.records {
		if last[rec.key] == i && len(rec.value) > 0 {
			items = append(items, newestItem{rec.key, value(rec), i})
		}
	}
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end_offset": len(t.records)})
}

// read serves log-read: it returns the records from an offset on and waits for them
// if there are none yet.
func (s *Store) read(w http.ResponseWriter, r *http.Request, value func(storeRecord) []byte) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		body, status, era, changed := s.records(q.Get("topic"), from, value)
		setEra(w, era)
		if status != http.StatusOK {
			w.WriteHeader(status)
			_, _ = w.Write(body) // fails only if the daemon has disconnected
			return
		}
		if len(body) > offsetsBytes || wait == 0 {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// offsetsBytes is the size of the two offsets before the records in a reply to
// log-read, and lengthBytes is the size of the length before each record.
const (
	offsetsBytes = 16
	lengthBytes  = 4
)

// records returns the body, status and era of a reply to log-read, and a channel that is
// closed at the next append.
func (s *Store) records(name string, from int, value func(storeRecord) []byte) (body []byte, status int, era string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	switch {
	case s.down:
		return nil, http.StatusServiceUnavailable, s.eraHeader(), nil
	case from < t.first, from > len(t.records):
		return fmt.Appendf(nil, `{"first_offset":%d}`, t.first), http.StatusGone, s.eraHeader(), nil
	}
	body = binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, uint64(t.first))
	for _, rec := range t.records[from:] {
		v := value(rec)
		if !strings.HasPrefix(name, "keyed.") {
			body = append(binary.BigEndian.AppendUint32(body, uint32(len(v))), v...)
			continue
		}
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(rec.key)+len(v)))
		body = append(append(append(body, byte(len(rec.key))), rec.key...), v...)
	}
	return body, http.StatusOK, s.eraHeader(), s.changed
}

// joinRequest is the body of log-join and log-leave.
type joinRequest struct {
	Member     string `json:"member"`
	Topics     []string
	TTLMillis  int64 `json:"ttl_ms"`
	Generation uint64
}

// join serves log-join: it assigns the group's only part to the first member that
// joins. If the owner has not joined again within the time to live, the part goes to
// the next member that joins.
func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var c joinRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.eraHeader())
	now := time.Now()
	if s.partOwner == "" || now.Sub(s.ownerSeenAt) > time.Duration(c.TTLMillis)*time.Millisecond {
		s.partOwner = c.Member
		s.generation++
	}
	parts := [][]any{}
	if s.partOwner == c.Member {
		s.ownerSeenAt = now
		parts = append(parts, []any{"orders", 0, 0})
	}
	writeJSON(w, map[string]any{"generation": s.generation, "parts": parts})
}

// leave serves log-leave: it releases the part if the member owns it.
func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var c joinRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.eraHeader())
	if s.partOwner == c.Member {
		s.partOwner = ""
		s.generation++
	}
	writeJSON(w, map[string]any{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the daemon has disconnected
}
