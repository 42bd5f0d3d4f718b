package fleet

import "time"

// Standing says what share of the work a backend server takes.
type Standing int

// The standings, from full to no share.
const (
	// Routable servers take a full share.
	Routable Standing = iota
	// Reduced servers are suspect, or their ejection is held by the floor.
	Reduced
	// OnProbation servers take a small share of idempotent requests.
	OnProbation
	// SetAside servers take no work: ejected, withdrawn, leaving or unreachable.
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

// Candidate is a backend server as a target of requests.
type Candidate struct {
	Server *ServerRecord
	Host   *NodeRecord
	// Standing is the decision of package eject.
	Standing Standing
	// Warmth is the share of full capacity the server has, from 0 to 1; it is
	// below 1 during a cold start.
	Warmth float64
	// PathDown tells that this node cannot reach the host directly.
	PathDown bool
}

// ServiceView is one service in a View. Candidates are in ascending order of
// server ID.
type ServiceView struct {
	Service    Service
	Candidates []Candidate
	// AnnouncedSlots is the capacity of all known servers.
	AnnouncedSlots int
	// RoutableSlots is the capacity that takes work.
	RoutableSlots int
}

// View is an immutable picture of the fleet at one time.
type View struct {
	At     time.Time
	Self   *NodeRecord
	Config *Config
	// Nodes holds the newest known record of each node, including Self.
	Nodes map[string]*NodeRecord
	// DownNodes holds the nodes that count as unreachable.
	DownNodes map[string]bool
	Services  map[string]*ServiceView
	// Ready tells that the node may take work.
	Ready bool
}

// Find returns the candidate for a server of a service.
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
