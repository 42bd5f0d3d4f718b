package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// loadShards is the number of shards of a Loads table, each with its own lock.
// Look-ups of a server by ID take one; Choose takes none unless the view changed.
const loadShards = 64

// Loads is the table of server loads as known to one entry node. It is safe for
// concurrent use.
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
// needed. Callers may keep the result while a request is outstanding.
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

// Prune removes servers for which keep returns false and which have no
// outstanding request. It bounds the table when servers are replaced.
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

// ServerLoad is the load of one server as known to one entry node.
type ServerLoad struct {
	outstanding atomic.Int64
	// otherRequests is the reported load beyond this entry's own requests.
	otherRequests atomic.Int64
	// reportedAt is in Unix nanoseconds, 0 before the first report.
	reportedAt atomic.Int64
}

// Begin counts a request as sent to the server.
func (s *ServerLoad) Begin() { s.outstanding.Add(1) }

// End counts a request as no longer outstanding, whether or not an answer came.
func (s *ServerLoad) End() { s.outstanding.Add(-1) }

// Outstanding returns the number of this entry's requests without an answer.
func (s *ServerLoad) Outstanding() int { return int(s.outstanding.Load()) }

// Report records the running and queued requests that the host reported with an
// answer, not counting the answered request. It must be called after End.
func (s *ServerLoad) Report(now time.Time, running, queued int) {
	others := int64(running+queued) - s.outstanding.Load()
	s.otherRequests.Store(max(others, 0))
	s.reportedAt.Store(now.UnixNano())
}

// ReportFailure records that an attempt ended without a load report because the
// server or the path to it failed. The server then counts as full until the
// report decays; a server that fails fast would otherwise look idle and attract
// requests.
func (s *ServerLoad) ReportFailure(now time.Time, slots int) { s.Report(now, slots, slots) }

// estimatedRequests returns the estimated number of requests at the server. The
// reported part decays with the age of the report.
func (s *ServerLoad) estimatedRequests(nowNanos int64) float64 {
	own := float64(s.outstanding.Load())
	others := s.otherRequests.Load()
	if others == 0 {
		return own
	}
	age := max(nowNanos-s.reportedAt.Load(), 0)
	return own + float64(others)/(1+float64(age)/float64(ReportHalfLife))
}
