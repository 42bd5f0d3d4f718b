package fleet

import "time"

// Standing is the share of requests that a backend server gets.
type Standing int

// Standings, from full share to none.
const (
	// Routable servers get their full share.
	Routable Standing = iota
	// Reduced servers get a reduced share: they are suspect, or the capacity floor
	// prevents their ejection.
	Reduced
	// OnProbation servers get a small share of idempotent requests.
	OnProbation
	// SetAside servers get no requests: they are ejected, withdrawn, leaving or
	// unreachable.
	SetAside
)

// String returns the name of the standing.
func (s Standing) String() string {
	switch s {
	case Routable:
		return "routable"
	case Reduced:
		return "reduced"
	case OnProbation:
		return "probation"
	}
	return "set-aside"
}

// Candidate is a backend server that may be chosen for a request.
type Candidate struct {
	Server *ServerRecord
	Host   *NodeRecord
	// Standing is decided by package eject.
	Standing Standing
	// Warmth is the fraction of its full capacity that the server has, from 0 to
	// 1; it is below 1 during a cold start.
	Warmth float64
	// PathDown means that this node cannot reach the host node directly.
	PathDown bool
}

// ServiceView is one service in a View. Candidates are in ascending order of
// server ID.
type ServiceView struct {
	Service    Service
	Candidates []Candidate
	// AnnouncedSlots is the capacity of all known servers.
	AnnouncedSlots int
	// RoutableSlots is the capacity that gets requests.
	RoutableSlots int
}

// View is an immutable snapshot of the fleet at one time.
type View struct {
	At     time.Time
	Self   *NodeRecord
	Config *Config
	// Nodes holds the newest known record of each node, including Self.
	Nodes map[string]*NodeRecord
	// DownNodes holds the IDs of the nodes that count as unreachable.
	DownNodes map[string]bool
	Services  map[string]*ServiceView
	// Ready reports whether the node may accept requests.
	Ready bool
}

// Find returns the candidate with the given server ID in a service.
func (v *View) Find(service, server string) (*Candidate, bool) {
	sv, ok := v.Services[service]
	if !ok {
		return nil, false
	}
	for i := range sv.Candidates {
		if sv.Candidates[i].Server.ID == server {
			return &sv.Candidates[i], true
		}
	}
	return nil, false
}
