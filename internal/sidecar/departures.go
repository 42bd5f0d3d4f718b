package sidecar

import (
	"strconv"
	"strings"
	"sync"

	"github.com/tarragonford/tarragonford/internal/registration"
)

// departures holds the server incarnations that announced their departure in responses that this
// entry has passed on, by node. The entry names them to the node with each hop, because a node that
// restarts while the store cannot record a departure does not know of it.
type departures struct {
	mu     sync.Mutex
	byNode map[string]registration.Incarnation
}

func newDepartures() *departures {
	return &departures{byNode: map[string]registration.Incarnation{}}
}

// record remembers the departure of the server beside a node.
func (d *departures) record(node string, departed registration.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byNode[node] = departed
}

// of returns the last departure beside a node; nil if there was none.
func (d *departures) of(node string) *registration.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	departed, ok := d.byNode[node]
	if !ok {
		return nil
	}
	return &departed
}

// retain forgets the departures beside nodes that known does not report.
func (d *departures) retain(known func(node string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for node := range d.byNode {
		if !known(node) {
			delete(d.byNode, node)
		}
	}
}

// encodeIncarnation returns the header value of an incarnation: its start time, or "by" and the time by which it had
// started, and its ID.
func encodeIncarnation(i registration.Incarnation) string {
	if i.StartedMs == 0 && i.StartedByMs != 0 {
		return startedBy + strconv.FormatInt(i.StartedByMs, 10) + ";" + i.ID
	}
	return strconv.FormatInt(i.StartedMs, 10) + ";" + i.ID
}

const startedBy = "by"

// decodeIncarnation returns nil for an empty or invalid header value.
func decodeIncarnation(text string) *registration.Incarnation {
	started, id, found := strings.Cut(text, ";")
	started, isBound := strings.CutPrefix(started, startedBy)
	ms, err := strconv.ParseInt(started, 10, 64)
	if !found || err != nil || id == "" {
		return nil
	}
	if isBound {
		return &registration.Incarnation{ID: id, StartedByMs: ms}
	}
	return &registration.Incarnation{ID: id, StartedMs: ms}
}
