package route

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// tier is the locality of a server relative to the entry.
type tier int

const (
	sameDataCentre tier = iota
	sameRegion
	otherRegion
	tierCount
)

// Bounds of the number of routable servers in the subset of one tier.
const (
	// minSubset is the smallest size that allows power of two choices.
	minSubset = 2
	// maxSubset bounds the connections of an entry to a large service. With 16
	// servers, the fan-in of servers differs by at most 25% at 500 entries.
	maxSubset = 16
)

// connLimitShares are the fractions of a server's connection limit allotted to
// the entries of each tier. They are well below 1 because an entry with fewer
// servers gets load reports from each more often: with 500 entries at 95% load,
// fractions of 0.5, 0.2 and 0.1 gave a goodput of 0.935 and these gave 0.943.
var connLimitShares = [tierCount]float64{0.1, 0.05, 0.03}

// reducedShare is the fraction of its slots that a Reduced server counts with.
const reducedShare = 0.25

// minWarmth keeps the capacity of a cold server above zero.
const minWarmth = 0.05

// defaultConnLimit applies to servers that announce no connection limit.
const defaultConnLimit = 350

// nodeCounts holds, for each tier, the number of nodes whose entries use its servers.
type nodeCounts [tierCount]int

// plan holds the precomputed server pools of one service. It is immutable.
type plan struct {
	view   *fleet.ServiceView
	viewAt time.Time
	nodes  nodeCounts
	// subset and full hold the servers of each tier that accept requests.
	subset, full [tierCount]pool
	onProbation  pool
	// probationShare is the probability that an idempotent request goes to a
	// server on probation.
	probationShare float64
	// unreachable holds the servers behind a broken path.
	unreachable pool
}

// rankedMember is a member with the rank by which it is added to pools.
type rankedMember struct {
	member
	score uint64
	tier  tier
}

func newPlan(view *fleet.View, service *fleet.ServiceView, counts nodeCounts, loads *Loads) *plan {
	p := &plan{view: service, viewAt: view.At, nodes: counts}
	self := view.Self
	entryHash := hashString(self.ID)
	usable := make([]rankedMember, 0, len(service.Candidates))
	for i := range service.Candidates {
		c := &service.Candidates[i]
		if c.Standing == fleet.SetAside {
			continue
		}
		m := member{candidate: c, load: loads.Server(c.Server.ID), slots: effectiveSlots(c)}
		switch {
		case c.PathDown:
			p.unreachable.add(m)
		case c.Standing == fleet.OnProbation:
			p.onProbation.add(m)
		default:
			usable = append(usable, rankedMember{member: m, score: rankScore(entryHash, self, c), tier: tierOf(self, c)})
		}
	}
	p.addUsable(usable)
	p.setProbationShare()
	return p
}

// rankScore returns the rendezvous hash score of a host. Servers attached to the
// entry itself come first, because they need no further hop.
func rankScore(entryHash uint64, self *fleet.NodeRecord, c *fleet.Candidate) uint64 {
	if c.Host.ID == self.ID {
		return math.MaxUint64
	}
	return splitMix64(entryHash ^ splitMix64(hashString(c.Host.ID)))
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

// addUsable adds the servers to the pools of their tiers in rank order.
func (p *plan) addUsable(usable []rankedMember) {
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

func compareRank(a, b rankedMember) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return strings.Compare(a.candidate.Server.ID, b.candidate.Server.ID)
}

// subsetSizes returns the number of routable servers in the subset of each tier.
// The lowest connection limit in a tier applies to all of its servers.
func (p *plan) subsetSizes(usable []rankedMember) [tierCount]int {
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
		budget := connLimitShares[t] * float64(limits[t]) * float64(servers[t])
		sizes[t] = min(max(int(budget/float64(max(p.nodes[t], 1))), minSubset), maxSubset)
	}
	return sizes
}

func (p *plan) setProbationShare() {
	other := 0.0
	for t := range p.full {
		other += p.full[t].totalSlots
	}
	if p.onProbation.totalSlots > 0 {
		p.probationShare = ProbationShare * p.onProbation.totalSlots / (p.onProbation.totalSlots + other)
	}
}
