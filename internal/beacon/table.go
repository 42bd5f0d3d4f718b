package beacon

import (
	"sync"
	"time"
)

const (
	// StampExpiry is the time without a report of a node after which any stamp is accepted.
	StampExpiry = 2 * time.Second
	// MaxAge is the age beyond which a report is not sent on, slightly more than the longest time
	// between two reports of a node.
	MaxAge = 1200 * time.Millisecond
)

// Table holds the newest report of each node. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	newest map[NodeHash]entry
}

// entry is a report and the time of its creation on the local clock.
type entry struct {
	report    Report
	createdAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{newest: map[NodeHash]entry{}} }

// Update stores a report if it is the newest of its node, and reports whether it is.
func (t *Table) Update(now time.Time, r AgedReport) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.newest[r.Node]
	if known && now.Sub(last.createdAt) < StampExpiry && int32(r.Stamp-last.report.Stamp) <= 0 {
		return false
	}
	t.newest[r.Node] = entry{report: r.Report, createdAt: now.Add(-r.Age)}
	return true
}

// Fresh returns the reports of the nodes that are recent enough to be sent on.
func (t *Table) Fresh(now time.Time, nodes []NodeHash) []AgedReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []AgedReport
	for _, node := range nodes {
		e, known := t.newest[node]
		if age := now.Sub(e.createdAt); known && age <= MaxAge {
			fresh = append(fresh, AgedReport{Report: e.report, Age: age})
		}
	}
	return fresh
}

// HeardWithin returns the nodes with a report no older than within.
func (t *Table) HeardWithin(now time.Time, within time.Duration) map[NodeHash]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := make(map[NodeHash]bool, len(t.newest))
	for node, e := range t.newest {
		if now.Sub(e.createdAt) <= within {
			heard[node] = true
		}
	}
	return heard
}

// CountRecent counts the nodes with a report no older than within, and those among them that follow
// the store.
func (t *Table) CountRecent(now time.Time, nodes []NodeHash, within time.Duration) (recent, following int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range nodes {
		e, known := t.newest[node]
		if !known || now.Sub(e.createdAt) > within {
			continue
		}
		recent++
		if e.report.FollowsStore {
			following++
		}
	}
	return recent, following
}

// Followers returns the reports no older than within of the nodes that follow the store.
func (t *Table) Followers(now time.Time, nodes []NodeHash, within time.Duration) []AgedReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	var followers []AgedReport
	for _, node := range nodes {
		e, known := t.newest[node]
		if age := now.Sub(e.createdAt); known && age <= within && e.report.FollowsStore {
			followers = append(followers, AgedReport{Report: e.report, Age: age})
		}
	}
	return followers
}
