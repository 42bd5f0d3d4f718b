package fleet

import "time"

// Health is the state a host assigns to an attached backend server.
type Health string

// The health states.
const (
	// Healthy servers take a full share of the work.
	Healthy Health = "healthy"
	// Suspect servers take a reduced share and use no place in the ejection budget.
	Suspect Health = "suspect"
	// Ejected servers take no work. Whether an ejection that a host asks for
	// takes effect depends on the floor; see package eject.
	Ejected Health = "ejected"
	// Probation servers take a small share of idempotent work.
	Probation Health = "probation"
)

// Version orders the copies of one record. The incarnation is the start time
// of the writer in nanoseconds, the sequence rises with each change.
type Version struct {
	Incarnation uint64 `json:"i"`
	Sequence    uint64 `json:"s"`
}

// Newer reports whether v is newer than other.
func (v Version) Newer(other Version) bool {
	if v.Incarnation != other.Incarnation {
		return v.Incarnation > other.Incarnation
	}
	return v.Sequence > other.Sequence
}

// NodeRecord describes one node and the backend servers attached to it. Only
// that node writes it. A published record is immutable; writers copy it.
type NodeRecord struct {
	ID          string  `json:"id"`
	Region      string  `json:"region"`
	DataCentre  string  `json:"dc"`
	Version     Version `json:"v"`
	CallerAddr  string  `json:"caller"`
	TrafficAddr string  `json:"traffic"`
	ControlAddr string  `json:"control"`
	AdminAddr   string  `json:"admin"`
	// Leaving is set when the node stops gracefully and takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Left is the last state of a node that stopped gracefully.
	Left bool `json:"left,omitempty"`
	// ConfigVersion is the version of the configuration in force at the node.
	ConfigVersion uint64 `json:"cfg"`
	// Unreachable lists the nodes that this node cannot reach, directly or
	// through others, in ascending order.
	Unreachable []string `json:"unreachable,omitempty"`
	// Servers are the attached backend servers in ascending order of ID.
	Servers []ServerRecord `json:"servers"`
}

// ServerRecord describes one backend server. Its host node writes it.
type ServerRecord struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	DataCentre  string `json:"dc"`
	Incarnation uint64 `json:"i"`
	Addr        string `json:"addr"`
	Slots       int    `json:"slots"`
	ConnLimit   int    `json:"conns"`
	// Leaving is set when the server drains.
	Leaving bool   `json:"leaving,omitempty"`
	Health  Health `json:"health"`
	// HealthSince is the time of the last change of Health, by the host's clock.
	HealthSince time.Time `json:"since,omitzero"`
	// EjectionRequestedAt is the time at which the host asked for a place in the
	// ejection budget, by the host's clock. While it is set the server holds
	// a place: in states Ejected and Probation, and after its return until
	// every node has heard of it.
	EjectionRequestedAt time.Time `json:"asked,omitzero"`
	// WarmUntil is the end of the cold start, by the host's clock.
	WarmUntil time.Time `json:"warm,omitzero"`
	// Observed is what the server showed its host lately. Peers of the service
	// are the standard against which a host judges its own server.
	Observed Observed `json:"obs,omitzero"`
}

// Observed is a summary of recent real requests in log-spaced buckets; package
// detect defines the steps. It changes only when a value has moved by most of
// a step, so that it rarely causes gossip. The zero value means that too few
// requests were seen.
type Observed struct {
	// Median is the bucket of the median latency, from 1.
	Median uint8 `json:"m"`
	// Spread is the bucket of the spread of latencies.
	Spread uint8 `json:"s"`
	// Failures is the bucket of the share of failed requests.
	Failures uint8 `json:"f,omitempty"`
}

// Clone returns a copy of r that shares no slice with it.
func (r *NodeRecord) Clone() *NodeRecord {
	clone := *r
	clone.Unreachable = append([]string(nil), r.Unreachable...)
	clone.Servers = append([]ServerRecord(nil), r.Servers...)
	return &clone
}

// Server returns the attached server with the given ID.
func (r *NodeRecord) Server(id string) (*ServerRecord, bool) {
	for i := range r.Servers {
		if r.Servers[i].ID == id {
			return &r.Servers[i], true
		}
	}
	return nil, false
}
