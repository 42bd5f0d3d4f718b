package pick

import (
	"math"
	"time"

	"github.com/tarragonford/tarragonford/internal/gate"
)

// Costs are relative to the loss of a request that cannot be retried, which costs 1. An expected
// wait as long as the remaining time of the latency objective costs the same.
const (
	// IdempotentFailureCost is the cost of a failed attempt of an idempotent request that can be
	// retried.
	IdempotentFailureCost = 0.35
	// otherDataCentreCost and otherRegionCost are the costs of sending a request to another data
	// centre of the same region and to another region. costPerKilobyte is added for each kilobyte
	// of its body and answer.
	otherDataCentreCost = 0.04
	otherRegionCost     = 0.2
	costPerKilobyte     = 0.025
	// utilizationCost is the cost of taking the last free slot of a server. Slots before it cost
	// less, since servers slow down as they fill. leastCostUtilization is the same for LeastCost,
	// where it also has to keep choosers that know little of each other from the same server.
	utilizationCost      = 0.1
	leastCostUtilization = 0.15
	// coldCost is the cost of a server that is slow after its start.
	coldCost = 0.15
	// unusedTime is the time without use after which a server gets an idempotent request as a trial,
	// to learn its health. It is less than the 2 s within which the platform requires every
	// healthy server to get requests.
	unusedTime = 1500 * time.Millisecond
	// trialBonus is deducted from the cost of a server that needs such a trial. It applies only in
	// the entry's own data centre, since each data centre has entries that try its servers.
	trialBonus = 0.25
	// maxReportAge is the age up to which a report is taken as the node's own decision, slightly
	// more than the longest time between two beacons.
	maxReportAge = 1200 * time.Millisecond
	// usualFailureProbability is the failure probability of a server that has not reported.
	usualFailureProbability = 0.2
	// healthDecayTime and loadDecayTime are the times within which a report loses most of its
	// weight.
	healthDecayTime = 2 * time.Second
	loadDecayTime   = time.Second
	// tieBreakRange is the range of a random cost that spreads the choice over candidates of about
	// the same cost.
	tieBreakRange = 0.02
	// minBackoff and MaxBackoff bound the time for which an unreachable node is excluded.
	minBackoff = 250 * time.Millisecond
	MaxBackoff = 2 * time.Second
	// silentBackoff is the time for which a node is excluded that could not be reached and of which
	// nothing has been heard since. A node that is back sends beacons within a second.
	silentBackoff = 10 * time.Second
	// defaultSlots is the capacity assumed before the first report.
	defaultSlots = 4
	// defaultServiceTime is the service time assumed before the first report.
	defaultServiceTime = 300 * time.Millisecond
)

// maxWait returns how long the request may be expected to wait at a candidate: MaxWait, or longer
// in the entry's own data centre, up to LocalMaxWait, while the wait costs no more than a transfer
// to another data centre, even if a slot is free there.
func (p *Picker) maxWait(c *Candidate, q *Query) time.Duration {
	if c.DataCentre != p.dataCentre {
		return q.MaxWait
	}
	worth := time.Duration((otherDataCentreCost + bytesCost(q)) * float64(q.Objective))
	return max(q.MaxWait, min(q.LocalMaxWait, worth))
}

// bytesCost is the cost of sending the bytes of a request and its answer between data centres.
func bytesCost(q *Query) float64 { return costPerKilobyte * float64(q.Bytes) / 1024 }

func (p *Picker) transferCost(c *Candidate, q *Query) float64 {
	bytes := bytesCost(q)
	switch {
	case c.DataCentre == p.dataCentre:
		return 0
	case c.Region == p.region:
		return otherDataCentreCost + bytes
	}
	return otherRegionCost + bytes
}

// unknownLoad is assumed before the first report.
var unknownLoad = gate.Load{Slots: defaultSlots, Service: defaultServiceTime}

// curve returns the cost of the server, without its transfer, over its load. running is the expected
// number of requests that it runs.
func (s *nodeState) curve(policy Policy, now time.Time, q *Query, running float64) curve {
	loss := 1.0
	if q.Idempotent && !q.LastAttempt {
		loss = IdempotentFailureCost
	}
	load, probability := &s.load, usualFailureProbability
	if s.reported.IsZero() {
		load = &unknownLoad
	} else {
		probability = s.failureProbability(now)
	}
	c := curve{base: loss * probability, slots: float64(max(load.Slots, 1)), lastSlot: utilizationCost}
	if policy == LeastCost {
		c.lastSlot = leastCostUtilization
	}
	if load.Cold {
		c.base += coldCost
	}
	ahead := load.Ahead(q.Priority) + len(s.sent)
	c.held = running + float64(ahead)
	if objective := q.Objective.Seconds(); objective > 0 {
		c.waitPerRequest = load.Service.Seconds() / c.slots / objective
		c.rateWait = load.RateWait(ahead, s.age(now)).Seconds() / objective
	}
	return c
}

// stillRunning is the share of the requests running at the time of the report that is expected to
// run still.
func (s *nodeState) stillRunning(now time.Time) float64 {
	if s.load.Service <= 0 {
		return 0
	}
	return math.Exp(-s.age(now).Seconds() / s.load.Service.Seconds())
}
