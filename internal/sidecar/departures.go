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

// encodeIncarnation returns the header value of an incarnation.
func encodeIncarnation(i registration.Incarnation) string {
	return strconv.FormatInt(i.StartedMs, 10) + ";" + i.ID
}

// decodeIncarnation returns nil for an empty or invalid header value.
func decodeIncarnation(text string) *registration.Incarnation {
	started, id, found := strings.Cut(text, ";")
	ms, err := strconv.ParseInt(started, 10, 64)
	if !found || err != nil || id == "" {
		return nil
	}
	return &registration.Incarnation{ID: id, StartedMs: ms}
}
