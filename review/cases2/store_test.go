//go:build review2

package cases2

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store in its wire format.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is a stand-in of the platform's store: tables with parts, transactions and feeds.
type store struct {
	server  *http.Server
	addr    string
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	ver     uint64
	changed chan struct{}
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: listener.Addr().String(), started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tarragonford/rows-tx", s.transact)
	mux.HandleFunc("GET /tarragonford/rows-get", s.get)
	mux.HandleFunc("GET /tarragonford/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row as the operator does.
func (s *store) put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Part: part, Key: key, Value: base64.StdEncoding.EncodeToString(value)})
	s.wake()
}

func (s *store) apply(r row) {
	r.Ver = s.ver
	if r.Removed {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_s"] = time.Since(s.started).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Precondition, Writes, Remove []row
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range append(append([]row(nil), tx.Writes...), tx.Remove...) {
		if change.Table == "op" || change.Table == "servers" {
			s.answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	current, holds := []row{}, true
	for _, expected := range tx.Precondition {
		known, ok := s.rows[expected.id()]
		holds = holds && known.Ver == expected.Ver
		if ok {
			current = append(current, known)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver})
		return
	}
	s.ver++
	for _, change := range tx.Writes {
		change.Removed = false
		s.apply(change)
	}
	for _, change := range tx.Remove {
		change.Removed, change.Value = true, ""
		s.apply(change)
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows, ver := []row{}, s.ver
	for _, known := range s.rows {
		if known.Table == query.Get("table") && known.Part == query.Get("part") && known.Key >= query.Get("from") &&
			(query.Get("target") == "" || known.Key < query.Get("target")) {
			rows = append(rows, known)
		}
	}
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": more, "ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, ver, changed := []row{}, s.ver, s.changed
		for _, change := range s.history {
			if change.Table == query.Get("table") && change.Ver > after {
				rows = append(rows, change)
			}
		}
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}
