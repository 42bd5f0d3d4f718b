package beacon

import (
	"sync"
	"time"
)

const (
	// StampMemory is the time without a report after which any stamp is new.
	StampMemory = 2 * time.Second
	// MaxAge is the age beyond which a report is not spread further, a little
	// more than the longest time between two reports of a node.
	MaxAge = 1200 * time.Millisecond
)

// Table holds the newest report of each node. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	newest map[Key]entry
}

// entry is a report and when it was made, on the own clock.
type entry struct {
	report Report
	made   time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{newest: map[Key]entry{}} }

// Take keeps a report if it is the newest of its node, and tells whether it is.
func (t *Table) Take(now time.Time, r Aged) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.newest[r.Node]
	if known && now.Sub(last.made) < StampMemory && int32(r.Stamp-last.report.Stamp) <= 0 {
		return false
	}
	t.newest[r.Node] = entry{report: r.Report, made: now.Add(-r.Age)}
	return true
}

// Fresh returns the reports of the nodes that are young enough to be spread.
func (t *Table) Fresh(now time.Time, nodes []Key) []Aged {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []Aged
	for _, node := range nodes {
		e, known := t.newest[node]
		if age := now.Sub(e.made); known && age <= MaxAge {
			fresh = append(fresh, Aged{Report: e.report, Age: age})
		}
	}
	return fresh
}

// Heard counts the nodes of which a report is younger than a time, and those among
// them that follow the store.
func (t *Table) Heard(now time.Time, nodes []Key, within time.Duration) (heard, following int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range nodes {
		e, known := t.newest[node]
		if !known || now.Sub(e.made) > within {
			continue
		}
		heard++
		if e.report.Follows {
			following++
		}
	}
	return heard, following
}
