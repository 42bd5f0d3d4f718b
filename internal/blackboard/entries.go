package blackboard

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Entries is the control state. Only the control goroutine may access it.
type Entries struct {
	// TickGap is the time between the last two ticks. It is well above TickInterval after a
	// pause of the process.
	TickGap time.Duration
	// InvariantViolations counts violations of invariants by name. Every count must be 0.
	InvariantViolations map[string]int

	self        *fleet.NodeRecord
	nodes       map[string]*fleet.NodeRecord
	downNodes   map[string]bool
	pathDown    [pathSourceCount]map[string]bool
	rows        map[string]fleet.Row
	config      *fleet.Config
	closedGates map[string]bool

	services      map[string]*fleet.ServiceView
	dirtyServices map[string]bool
	changed       bool
	// nextTimedChange is the earliest time at which a snapshot changes by the passing of time
	// alone; zero if there is none.
	nextTimedChange time.Time
}

func newEntries(self fleet.NodeRecord) *Entries {
	e := &Entries{
		InvariantViolations: map[string]int{},
		self:                self.Clone(),
		nodes:               map[string]*fleet.NodeRecord{},
		downNodes:           map[string]bool{},
		pathDown:            [pathSourceCount]map[string]bool{{}, {}},
		rows:                map[string]fleet.Row{},
		config:              fleet.EmptyConfig(),
		closedGates:         map[string]bool{gateStart: true},
		services:            map[string]*fleet.ServiceView{},
		dirtyServices:       map[string]bool{},
		changed:             true,
	}
	e.nodes[self.ID] = e.self
	e.markDirty(e.self)
	return e
}

// Self returns the current record of this node. Callers must not modify it.
func (e *Entries) Self() *fleet.NodeRecord { return e.self }

// UpdateSelf calls change with a copy of this node's record. If change returns true, the copy
// gets the next version and replaces the record.
func (e *Entries) UpdateSelf(change func(*fleet.NodeRecord) bool) {
	next := e.self.Clone()
	if !change(next) {
		return
	}
	next.Version.Sequence++
	sort.Slice(next.Servers, func(i, j int) bool { return next.Servers[i].ID < next.Servers[j].ID })
	e.replaceRecord(next)
	e.self = next
}

// Node returns the newest known record of a node.
func (e *Entries) Node(id string) (*fleet.NodeRecord, bool) {
	record, ok := e.nodes[id]
	return record, ok
}

// Nodes returns the newest known record of every node, including this one. Callers must not
// modify the map.
func (e *Entries) Nodes() map[string]*fleet.NodeRecord { return e.nodes }

// PutNode stores the record of another node if it is newer than the known one, and reports
// whether it was. A newer record of this node itself comes from an earlier incarnation whose
// clock was ahead. This node then raises its incarnation above the one in that record, so that
// the stale record is superseded everywhere.
func (e *Entries) PutNode(record *fleet.NodeRecord) bool {
	if record.ID == e.self.ID {
		e.raiseIncarnation(record.Version)
		return false
	}
	known, ok := e.nodes[record.ID]
	if ok && !record.Version.Newer(known.Version) {
		return false
	}
	e.replaceRecord(record)
	return true
}

func (e *Entries) raiseIncarnation(version fleet.Version) {
	if !version.Newer(e.self.Version) {
		return
	}
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		r.Version.Incarnation = version.Incarnation + 1
		return true
	})
}

func (e *Entries) replaceRecord(record *fleet.NodeRecord) {
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

// sameRouting reports whether two records of a node differ at most in fields that no candidate
// depends on: the version, the configuration version and the list of unreachable nodes. Every
// node publishes its configuration version after each configuration change; rebuilding the
// candidates of all services each time took most of the CPU time of 500 nodes.
func sameRouting(a, b *fleet.NodeRecord) bool {
	return a.Version.Incarnation == b.Version.Incarnation &&
		a.Leaving == b.Leaving && a.Left == b.Left &&
		a.Region == b.Region && a.DataCentre == b.DataCentre &&
		a.CallerAddr == b.CallerAddr && a.TrafficAddr == b.TrafficAddr &&
		a.ControlAddr == b.ControlAddr && a.AdminAddr == b.AdminAddr &&
		slices.Equal(a.Servers, b.Servers)
}

// ForgetNode removes the record and the flags of another node.
func (e *Entries) ForgetNode(id string) {
	record, ok := e.nodes[id]
	if !ok || id == e.self.ID {
		return
	}
	e.markDirty(record)
	delete(e.nodes, id)
	delete(e.downNodes, id)
	for _, flags := range e.pathDown {
		delete(flags, id)
	}
}

// SetDown records whether this node considers another node unreachable for the whole fleet.
func (e *Entries) SetDown(id string, down bool) { e.setFlag(e.downNodes, id, down) }

// PathSource is a source of observations of the paths from this node to others.
type PathSource int

// A path counts as down while any source reports it as down. Probes cover paths without traffic;
// traffic reveals a host whose control connection works while its requests stall.
const (
	PathByProbes PathSource = iota
	PathByTraffic
	pathSourceCount
)

// SetPathDown records whether, according to a source, this node cannot reach another one
// directly.
func (e *Entries) SetPathDown(id string, source PathSource, down bool) {
	e.setFlag(e.pathDown[source], id, down)
}

// isPathDown reports whether any source reports the path as down.
func (e *Entries) isPathDown(id string) bool {
	for _, flags := range e.pathDown {
		if flags[id] {
			return true
		}
	}
	return false
}

// IsDown reports whether a node counts as unreachable, see SetDown.
func (e *Entries) IsDown(id string) bool { return e.downNodes[id] }

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
		e.dirtyServices[record.Servers[i].Service] = true
	}
}

// SetGate opens or closes a readiness gate. The node is ready while every gate is open.
func (e *Entries) SetGate(name string, open bool) {
	if e.closedGates[name] == !open {
		return
	}
	e.closedGates[name] = !open
	e.changed = true
}

// Ready reports whether every gate is open.
func (e *Entries) Ready() bool {
	for _, closed := range e.closedGates {
		if closed {
			return false
		}
	}
	return true
}

// Config returns the configuration in force.
func (e *Entries) Config() *fleet.Config { return e.config }

// Row returns the newest applied version of a configuration row.
func (e *Entries) Row(key string) (fleet.Row, bool) {
	row, ok := e.rows[key]
	return row, ok
}

// Rows returns every configuration row, including deleted ones. Callers must not modify the map.
func (e *Entries) Rows() map[string]fleet.Row { return e.rows }

// ApplyConfig applies the given rows at the given configuration version. Rows that are not newer
// than the known ones are skipped, and the version never decreases, so the configuration never
// reverts. It returns the keys of the rows that could not be decoded.
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
	e.markChangedServices(newer)
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		changed := r.ConfigVersion != version
		r.ConfigVersion = version
		return changed
	})
	return unreadable
}

// markChangedServices marks the services that the rows affect as dirty. A change of a route or
// of an account, of which there are 48,000 at the design size, affects no service.
func (e *Entries) markChangedServices(rows []fleet.Row) {
	for _, row := range rows {
		if name, ok := strings.CutPrefix(row.Key, fleet.PrefixService); ok {
			e.dirtyServices[name] = true
		}
		if strings.HasPrefix(row.Key, fleet.PrefixWithdrawal) {
			e.markAllDirty()
		}
	}
}

func (e *Entries) markAllDirty() {
	e.changed = true
	for name := range e.config.Services {
		e.dirtyServices[name] = true
	}
	for name := range e.services {
		e.dirtyServices[name] = true
	}
}

// Service returns the view of a service as of the last snapshot. Changes since then are not in
// it.
func (e *Entries) Service(name string) (*fleet.ServiceView, bool) {
	view, ok := e.services[name]
	return view, ok
}
