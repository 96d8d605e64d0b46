package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: a log with keyed topics and one group of members.
type store struct {
	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{} // closed and replaced by each append

	generation uint64
	owner      string // the member with partition 0
	ownerUntil time.Time
}

// entry is one record; key is empty in a topic without keys.
type entry struct {
	key   string
	value []byte
}

const (
	lengthBytes = 4
	topicConfig = "keyed.op"
	topicServer = "keyed.servers"
)

func newStore() *store {
	return &store{topics: map[string][]entry{topicConfig: {}, topicServer: {}}, changed: make(chan struct{})}
}

// put appends the newest value of a key; nil drops the key.
func (s *store) put(topic, key string, value any) {
	var raw []byte
	if value != nil {
		raw, _ = json.Marshal(value) // the values are maps of this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, entry{key, raw})
}

// add appends a record; s.mu must be held.
func (s *store) add(topic string, e entry) {
	s.topics[topic] = append(s.topics[topic], e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/corianderturn/log-newest":
		s.newest(w, r)
	case "/corianderturn/log-read":
		s.read(w, r)
	case "/corianderturn/log-append":
		s.append(w, r)
	case "/corianderturn/log-join":
		s.join(w, r)
	case "/corianderturn/log-leave":
		s.leave(r)
	case "/corianderturn/log-owners":
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, map[string]any{"parts": [][]any{{"orders", 0, s.owner, 0}}})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// newest serves log-newest, all keys in one page.
func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.topics[r.URL.Query().Get("topic")]
	last := map[string]int{}
	for i, e := range list {
		last[e.key] = i
	}
	items := []map[string]any{}
	for i, e := range list {
		if last[e.key] == i && len(e.value) > 0 {
			items = append(items, map[string]any{"key": e.key, "value": base64.StdEncoding.EncodeToString(e.value), "offset": i})
		}
	}
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end_offset": len(list)})
}

// read serves log-read.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		list, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if len(list) > from || over {
			writeRecords(w, topic, list, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes the end, the first offset and the records from an offset on.
func writeRecords(w io.Writer, topic string, list []entry, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, e := range list[min(from, len(list)):] {
		content := e.value
		if topic == topicConfig || topic == topicServer {
			content = slices.Concat([]byte{byte(len(e.key))}, []byte(e.key), e.value)
		}
		out = append(binary.BigEndian.AppendUint32(out, uint32(len(content))), content...)
	}
	_, _ = w.Write(out) // fails if the daemon is gone
}

// append serves log-append of topics without keys.
func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(first) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"end_offset": first})
		return
	}
	for len(body) >= lengthBytes {
		n := lengthBytes + int(binary.BigEndian.Uint32(body))
		if len(body) < n {
			break
		}
		s.add(topic, entry{value: body[lengthBytes:n]})
		body = body[n:]
	}
	writeJSON(w, map[string]any{"offset": first, "end_offset": len(s.topics[topic])})
}

// join serves log-join: partition 0 stays with its member until that leaves or is silent for its ttl.
func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Member string `json:"member"`
		TTL    int64  `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.owner != call.Member && now.After(s.ownerUntil) {
		s.owner = call.Member
		s.generation++
	}
	parts := [][]any{}
	if s.owner == call.Member {
		s.ownerUntil = now.Add(time.Duration(call.TTL) * time.Millisecond)
		parts = append(parts, []any{"orders", 0, 0})
	}
	writeJSON(w, map[string]any{"generation": s.generation, "ttl_ms": call.TTL, "parts": parts})
}

// leave serves log-leave.
func (s *store) leave(r *http.Request) {
	var call struct {
		Member string `json:"member"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == call.Member {
		s.owner, s.ownerUntil = "", time.Time{}
		s.generation++
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails if the daemon is gone
}
