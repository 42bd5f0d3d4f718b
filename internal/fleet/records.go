package fleet

import "time"

// Health is the state that a host node assigns to an attached backend server.
type Health string

// Health states.
const (
	// Healthy servers get their full share of requests.
	Healthy Health = "healthy"
	// Suspect servers get a reduced share and do not count against the ejection
	// budget.
	Suspect Health = "suspect"
	// Ejected servers get no requests. Whether an ejection that a host requests
	// takes effect depends on the capacity floor; see package eject.
	Ejected Health = "ejected"
	// Probation servers get a small share of idempotent requests.
	Probation Health = "probation"
)

// Version orders the copies of one record. Incarnation is the start time of the
// writer in nanoseconds; Sequence increases with each change.
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
	// Leaving is set while the node stops gracefully and accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Left is set in the last record of a node that stopped gracefully.
	Left bool `json:"left,omitempty"`
	// ConfigVersion is the version of the configuration in force at the node.
	ConfigVersion uint64 `json:"cfg"`
	// Unreachable lists the IDs of the nodes that this node cannot reach, directly
	// or through others, in ascending order.
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
	// Leaving is set while the server drains.
	Leaving bool   `json:"leaving,omitempty"`
	Health  Health `json:"health"`
	// HealthSince is the time of the last change of Health, by the host's clock.
	HealthSince time.Time `json:"since,omitzero"`
	// EjectionRequestedAt is the time at which the host requested a reservation in
	// the ejection budget, by the host's clock. While it is set, the server claims
	// the reservation: in states Ejected and Probation, and after its return to
	// service until that has reached every node.
	EjectionRequestedAt time.Time `json:"asked,omitzero"`
	// WarmUntil is the end of the cold start, by the host's clock.
	WarmUntil time.Time `json:"warm,omitzero"`
	// Observed summarises the recent requests of the server at its host. Hosts
	// compare their own server with the other servers of its service.
	Observed Observed `json:"obs,omitzero"`
}

// Observed is a summary of recent real requests in logarithmic buckets
// that package detect defines. It changes only when a value has moved by
// most of a bucket's width, so that it rarely causes gossip. The zero value means
// that there were too few requests.
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
