package route

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// tier is the distance of a server from the entry.
type tier int

const (
	sameDataCentre tier = iota
	sameRegion
	otherRegion
	tierCount
)

// Bounds of the number of routable servers in the subset of one tier.
const (
	// minSubset is the least from which power of two choices can choose.
	minSubset = 2
	// maxSubset bounds the connections of an entry to a large service. Sixteen
	// servers leave the fan-in of servers within 25% of each other at 500 entries.
	maxSubset = 16
)

// limitShares are the parts of a server's connection limit given to entries of
// each tier. They are well below 1 because an entry with fewer servers hears
// of each more often: before 500 entries, parts of 0.5, 0.2 and 0.1 gave a
// goodput of 0.935 at 95% load, these 0.943.
var limitShares = [tierCount]float64{0.1, 0.05, 0.03}

// reducedShare is the part of its slots that counts for a Reduced server.
const reducedShare = 0.25

// minWarmth keeps the capacity of a cold server above zero.
const minWarmth = 0.05

// defaultConnLimit applies to servers that announce no connection limit.
const defaultConnLimit = 350

// population is the number of nodes that use servers of each tier as entries.
type population [tierCount]int

// plan is what Choose needs to know of one service. It is immutable.
type plan struct {
	view   *fleet.ServiceView
	at     time.Time
	people population
	// subset and full hold the servers of each tier that take work.
	subset, full [tierCount]pool
	probation    pool
	// probationShare is the chance of an idempotent request to go to a server
	// on probation.
	probationShare float64
	// cut holds the servers behind a broken path.
	cut pool
}

// ranked is a member on its way into pools.
type ranked struct {
	member
	score uint64
	tier  tier
}

func newPlan(view *fleet.View, service *fleet.ServiceView, people population, loads *Loads) *plan {
	p := &plan{view: service, at: view.At, people: people}
	self := view.Self
	entryHash := hashString(self.ID)
	usable := make([]ranked, 0, len(service.Candidates))
	for i := range service.Candidates {
		c := &service.Candidates[i]
		if c.Standing == fleet.SetAside {
			continue
		}
		m := member{candidate: c, load: loads.Server(c.Server.ID), slots: effectiveSlots(c)}
		switch {
		case c.PathDown:
			p.cut.add(m)
		case c.Standing == fleet.OnProbation:
			p.probation.add(m)
		default:
			usable = append(usable, ranked{member: m, score: rank(entryHash, self, c), tier: tierOf(self, c)})
		}
	}
	p.addUsable(usable)
	p.setProbationShare()
	return p
}

// rank is the rendezvous score of a host. Servers attached to the entry itself
// come first, because they need no further hop.
func rank(entryHash uint64, self *fleet.NodeRecord, c *fleet.Candidate) uint64 {
	if c.Host.ID == self.ID {
		return math.MaxUint64
	}
	return mix(entryHash ^ mix(hashString(c.Host.ID)))
}

func effectiveSlots(c *fleet.Candidate) float64 {
	slots := float64(max(c.Server.Slots, 1)) * max(c.Warmth, minWarmth)
	if c.Standing == fleet.Reduced {
		return slots * reducedShare
	}
	return slots
}

func tierOf(self *fleet.NodeRecord, c *fleet.Candidate) tier {
	switch {
	case c.Host.Region != self.Region:
		return otherRegion
	case c.Host.DataCentre != self.DataCentre:
		return sameRegion
	}
	return sameDataCentre
}

// addUsable fills the pools of each tier in the order of rank.
func (p *plan) addUsable(usable []ranked) {
	slices.SortFunc(usable, compareRank)
	sizes := p.subsetSizes(usable)
	var routable [tierCount]int
	for _, r := range usable {
		p.full[r.tier].add(r.member)
		if routable[r.tier] >= sizes[r.tier] {
			continue
		}
		p.subset[r.tier].add(r.member)
		if r.candidate.Standing == fleet.Routable {
			routable[r.tier]++
		}
	}
}

func compareRank(a, b ranked) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return strings.Compare(a.candidate.Server.ID, b.candidate.Server.ID)
}

// subsetSizes returns the number of routable servers used in each tier. The
// lowest connection limit of a tier holds for all of its servers.
func (p *plan) subsetSizes(usable []ranked) [tierCount]int {
	var servers, limits, sizes [tierCount]int
	for _, r := range usable {
		limit := r.candidate.Server.ConnLimit
		if limit <= 0 {
			limit = defaultConnLimit
		}
		if servers[r.tier] == 0 || limit < limits[r.tier] {
			limits[r.tier] = limit
		}
		servers[r.tier]++
	}
	for t := range sizes {
		budget := limitShares[t] * float64(limits[t]) * float64(servers[t])
		sizes[t] = min(max(int(budget/float64(max(p.people[t], 1))), minSubset), maxSubset)
	}
	return sizes
}

func (p *plan) setProbationShare() {
	other := 0.0
	for t := range p.full {
		other += p.full[t].total
	}
	if p.probation.total > 0 {
		p.probationShare = ProbationShare * p.probation.total / (p.probation.total + other)
	}
}
