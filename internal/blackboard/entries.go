package blackboard

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Entries is the control state. Only the control goroutine touches it.
type Entries struct {
	// TickGap is the time between the last two ticks. It is well above
	// TickInterval after the process was paused.
	TickGap time.Duration
	// Invariants counts violated invariants by name. Every count must be 0.
	Invariants map[string]int

	self     *fleet.NodeRecord
	nodes    map[string]*fleet.NodeRecord
	down     map[string]bool
	pathDown [pathSources]map[string]bool
	rows     map[string]fleet.Row
	config   *fleet.Config
	closed   map[string]bool

	services map[string]*fleet.ServiceView
	dirty    map[string]bool
	changed  bool
	// nextWarm is the earliest time at which the warmth of a server changes.
	nextWarm time.Time
}

func newEntries(self fleet.NodeRecord) *Entries {
	e := &Entries{
		Invariants: map[string]int{},
		self:       self.Clone(),
		nodes:      map[string]*fleet.NodeRecord{},
		down:       map[string]bool{},
		pathDown:   [pathSources]map[string]bool{{}, {}},
		rows:       map[string]fleet.Row{},
		config:     fleet.EmptyConfig(),
		closed:     map[string]bool{gateStart: true},
		services:   map[string]*fleet.ServiceView{},
		dirty:      map[string]bool{},
		changed:    true,
	}
	e.nodes[self.ID] = e.self
	e.markDirty(e.self)
	return e
}

// Self returns the published record of this node. Callers must not change it.
func (e *Entries) Self() *fleet.NodeRecord { return e.self }

// UpdateSelf lets change edit a copy of this node's record. If change returns
// true, the copy gets the next version and replaces the record.
func (e *Entries) UpdateSelf(change func(*fleet.NodeRecord) bool) {
	next := e.self.Clone()
	if !change(next) {
		return
	}
	next.Version.Sequence++
	sort.Slice(next.Servers, func(i, j int) bool { return next.Servers[i].ID < next.Servers[j].ID })
	e.replace(next)
	e.self = next
}

// Node returns the newest known record of a node.
func (e *Entries) Node(id string) (*fleet.NodeRecord, bool) {
	record, ok := e.nodes[id]
	return record, ok
}

// Nodes returns the newest known record of every node, including this one.
// Callers must not change the map.
func (e *Entries) Nodes() map[string]*fleet.NodeRecord { return e.nodes }

// PutNode stores the record of another node if it is newer than the known
// one, and reports whether it was. A newer record of this node itself comes
// from an earlier life whose clock was ahead: this node raises its own
// incarnation above it, so that the old record never wins.
func (e *Entries) PutNode(record *fleet.NodeRecord) bool {
	if record.ID == e.self.ID {
		e.outrank(record.Version)
		return false
	}
	known, ok := e.nodes[record.ID]
	if ok && !record.Version.Newer(known.Version) {
		return false
	}
	e.replace(record)
	return true
}

func (e *Entries) outrank(version fleet.Version) {
	if !version.Newer(e.self.Version) {
		return
	}
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		r.Version.Incarnation = version.Incarnation + 1
		return true
	})
}

func (e *Entries) replace(record *fleet.NodeRecord) {
	old, ok := e.nodes[record.ID]
	e.nodes[record.ID] = record
	if ok && sameRouting(old, record) {
		e.changed = true
		return
	}
	if ok {
		e.markDirty(old)
	}
	e.markDirty(record)
}

// sameRouting reports whether two records of a node differ at most in what no
// candidate depends on: the version, the configuration version and the list of
// unreachable nodes. Every node publishes its configuration version after each
// change; rebuilding the candidates of all services for that took most of the
// processor time of 500 nodes.
func sameRouting(a, b *fleet.NodeRecord) bool {
	return a.Version.Incarnation == b.Version.Incarnation &&
		a.Leaving == b.Leaving && a.Left == b.Left &&
		a.Region == b.Region && a.DataCentre == b.DataCentre &&
		a.CallerAddr == b.CallerAddr && a.TrafficAddr == b.TrafficAddr &&
		a.ControlAddr == b.ControlAddr && a.AdminAddr == b.AdminAddr &&
		slices.Equal(a.Servers, b.Servers)
}

// ForgetNode drops the record of another node.
func (e *Entries) ForgetNode(id string) {
	record, ok := e.nodes[id]
	if !ok || id == e.self.ID {
		return
	}
	e.markDirty(record)
	delete(e.nodes, id)
	delete(e.down, id)
	for _, flags := range e.pathDown {
		delete(flags, id)
	}
}

// SetDown records whether a node counts as unreachable for the whole fleet, as
// far as this node knows.
func (e *Entries) SetDown(id string, down bool) { e.setFlag(e.down, id, down) }

// PathSource is an observer of the paths from this node to others.
type PathSource int

// The observers. A path counts as down while either of them says so: probes
// see a path without traffic, and traffic sees a host whose control connection
// works while its requests stall.
const (
	PathByProbes PathSource = iota
	PathByTraffic
	pathSources
)

// SetPathDown records whether an observer finds that this node cannot reach
// another directly.
func (e *Entries) SetPathDown(id string, source PathSource, down bool) {
	e.setFlag(e.pathDown[source], id, down)
}

// isPathDown reports whether any observer finds the path down.
func (e *Entries) isPathDown(id string) bool {
	for _, flags := range e.pathDown {
		if flags[id] {
			return true
		}
	}
	return false
}

// IsDown reports whether a node counts as unreachable.
func (e *Entries) IsDown(id string) bool { return e.down[id] }

func (e *Entries) setFlag(flags map[string]bool, id string, value bool) {
	if flags[id] == value {
		return
	}
	if value {
		flags[id] = true
	} else {
		delete(flags, id)
	}
	if record, ok := e.nodes[id]; ok {
		e.markDirty(record)
	}
}

func (e *Entries) markDirty(record *fleet.NodeRecord) {
	e.changed = true
	for i := range record.Servers {
		e.dirty[record.Servers[i].Service] = true
	}
}

// SetGate opens or closes one condition of readiness. The node is ready while
// every gate is open.
func (e *Entries) SetGate(name string, open bool) {
	if e.closed[name] == !open {
		return
	}
	e.closed[name] = !open
	e.changed = true
}

// Ready reports whether every gate is open.
func (e *Entries) Ready() bool {
	for _, closed := range e.closed {
		if closed {
			return false
		}
	}
	return true
}

// Config returns the configuration in force.
func (e *Entries) Config() *fleet.Config { return e.config }

// Row returns a configuration row as last applied.
func (e *Entries) Row(key string) (fleet.Row, bool) {
	row, ok := e.rows[key]
	return row, ok
}

// Rows returns every configuration row, deleted ones included. Callers must
// not change the map.
func (e *Entries) Rows() map[string]fleet.Row { return e.rows }

// ApplyConfig puts the given rows in force at the given version. Rows that are
// not newer than the known ones are skipped, and the version never falls, so
// configuration never reverts. It returns the keys of rows that do not decode.
func (e *Entries) ApplyConfig(version uint64, rows []fleet.Row) []string {
	var newer []fleet.Row
	for _, row := range rows {
		if known, ok := e.rows[row.Key]; ok && row.Version <= known.Version {
			continue
		}
		e.rows[row.Key] = row
		newer = append(newer, row)
	}
	if version < e.config.Version {
		version = e.config.Version
	}
	if version == e.config.Version && len(newer) == 0 {
		return nil
	}
	next, unreadable := e.config.Apply(version, newer)
	e.config = next
	e.changed = true
	e.markChanged(newer)
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		changed := r.ConfigVersion != version
		r.ConfigVersion = version
		return changed
	})
	return unreadable
}

// markChanged marks the services that the rows concern. A change of a route or
// of an account, of which there are 48,000 at the size to design for, leaves
// every service as it is.
func (e *Entries) markChanged(rows []fleet.Row) {
	for _, row := range rows {
		if name, ok := strings.CutPrefix(row.Key, fleet.PrefixService); ok {
			e.dirty[name] = true
		}
		if strings.HasPrefix(row.Key, fleet.PrefixWithdrawal) {
			e.markAllDirty()
		}
	}
}

func (e *Entries) markAllDirty() {
	e.changed = true
	for name := range e.config.Services {
		e.dirty[name] = true
	}
	for name := range e.services {
		e.dirty[name] = true
	}
}

// Service returns the current view of a service. It is up to date only right
// after a snapshot; controllers use it as the state at the last publication.
func (e *Entries) Service(name string) (*fleet.ServiceView, bool) {
	view, ok := e.services[name]
	return view, ok
}
