package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// loadShards is the number of locks of a Loads table. Only look-ups of a
// server by ID take one; Choose takes none.
const loadShards = 64

// Loads holds what one entry node knows of the load of each server. It is
// safe for concurrent use.
type Loads struct {
	shards [loadShards]loadShard
}

type loadShard struct {
	mu      sync.RWMutex
	servers map[string]*ServerLoad
}

// NewLoads returns an empty table.
func NewLoads() *Loads {
	l := &Loads{}
	for i := range l.shards {
		l.shards[i].servers = map[string]*ServerLoad{}
	}
	return l
}

// Server returns the load of the server with the given ID and creates it if
// needed. The result stays valid; callers that send a request may keep it.
func (l *Loads) Server(id string) *ServerLoad {
	shard := &l.shards[hashString(id)%loadShards]
	shard.mu.RLock()
	load, ok := shard.servers[id]
	shard.mu.RUnlock()
	if ok {
		return load
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if load, ok = shard.servers[id]; !ok {
		load = &ServerLoad{}
		shard.servers[id] = load
	}
	return load
}

// Prune removes the servers for which keep is false and which have no request
// outstanding. It bounds the table when servers are replaced.
func (l *Loads) Prune(keep func(id string) bool) {
	for i := range l.shards {
		shard := &l.shards[i]
		shard.mu.Lock()
		for id, load := range shard.servers {
			if load.Outstanding() == 0 && !keep(id) {
				delete(shard.servers, id)
			}
		}
		shard.mu.Unlock()
	}
}

// ServerLoad is the load of one server as one entry node sees it.
type ServerLoad struct {
	outstanding atomic.Int64
	// others is the reported load beyond this entry's own requests.
	others atomic.Int64
	// reportedAt is in Unix nanoseconds, 0 before the first report.
	reportedAt atomic.Int64
}

// Begin counts a request as sent to the server.
func (s *ServerLoad) Begin() { s.outstanding.Add(1) }

// End counts a request as no longer outstanding, whether or not an answer came.
func (s *ServerLoad) End() { s.outstanding.Add(-1) }

// Outstanding returns the number of own requests without an answer.
func (s *ServerLoad) Outstanding() int { return int(s.outstanding.Load()) }

// Report records the running and queued requests that the host counted when
// it sent an answer, without the answered request. It is called after End.
func (s *ServerLoad) Report(now time.Time, running, queued int) {
	others := int64(running+queued) - s.outstanding.Load()
	s.others.Store(max(others, 0))
	s.reportedAt.Store(now.UnixNano())
}

// ReportFailure records that an attempt ended without a report, because the server or
// the way to it failed. The server then counts as full until that fades; one
// that fails quickly would otherwise look idle and draw work.
func (s *ServerLoad) ReportFailure(now time.Time, slots int) { s.Report(now, slots, slots) }

// estimate returns the expected number of requests at the server.
func (s *ServerLoad) estimate(nowNanos int64) float64 {
	own := float64(s.outstanding.Load())
	others := s.others.Load()
	if others == 0 {
		return own
	}
	age := max(nowNanos-s.reportedAt.Load(), 0)
	return own + float64(others)/(1+float64(age)/float64(ReportHalfLife))
}
