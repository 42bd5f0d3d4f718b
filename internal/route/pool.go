package route

import (
	"slices"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// drawAttempts bounds the draws that meet excluded or repeated servers before
// the pool is scanned in order.
const drawAttempts = 4

// member is one server of a pool.
type member struct {
	candidate *fleet.Candidate
	load      *ServerLoad
	// slots is the effective number of slots, always above zero.
	slots float64
}

// use returns the estimated requests per effective slot.
func (m *member) use(nowNanos int64) float64 { return m.load.estimate(nowNanos) / m.slots }

// pool is a set of servers that is drawn from by weight.
type pool struct {
	members []member
	// upper holds, for each member, the sum of slots up to and including it.
	upper []float64
	total float64
}

func (p *pool) add(m member) {
	p.total += m.slots
	p.members = append(p.members, m)
	p.upper = append(p.upper, p.total)
}

// at returns the index of the member that owns the point u of [0, 1).
func (p *pool) at(u float64) int {
	target := u * p.total
	low, high := 0, len(p.upper)-1
	for low < high {
		middle := int(uint(low+high) >> 1)
		if p.upper[middle] > target {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low
}

// draw returns a member by weight that is neither excluded nor at index not.
func (p *pool) draw(d *dice, exclude []string, not int) int {
	if len(p.members) == 0 {
		return -1
	}
	for range drawAttempts {
		i := p.at(unit(d.next()))
		if i != not && !p.excluded(i, exclude) {
			return i
		}
	}
	return p.scan(int(d.next()%uint64(len(p.members))), exclude, not)
}

// scan returns the first allowed member from a starting index on.
func (p *pool) scan(start int, exclude []string, not int) int {
	for k := range p.members {
		i := (start + k) % len(p.members)
		if i != not && !p.excluded(i, exclude) {
			return i
		}
	}
	return -1
}

func (p *pool) excluded(i int, exclude []string) bool {
	return len(exclude) > 0 && slices.Contains(exclude, p.members[i].candidate.Server.ID)
}

// choose returns the less used of two drawn members, or nil if none is allowed.
func (p *pool) choose(d *dice, nowNanos int64, exclude []string) *member {
	first := p.draw(d, exclude, -1)
	if first < 0 {
		return nil
	}
	best := &p.members[first]
	second := p.draw(d, exclude, first)
	if second < 0 {
		return best
	}
	if other := &p.members[second]; other.use(nowNanos) < best.use(nowNanos) {
		return other
	}
	return best
}

// chooseTwice draws a second pair if the first choice is used to SpillUse or
// more. With one of 20 servers 5 times slower and 20 entries, that raised the
// goodput at 95% load from 0.970 to 0.978.
func (p *pool) chooseTwice(d *dice, nowNanos int64, exclude []string) *member {
	first := p.choose(d, nowNanos, exclude)
	if first == nil || first.use(nowNanos) < SpillUse {
		return first
	}
	if second := p.choose(d, nowNanos, exclude); second.use(nowNanos) < first.use(nowNanos) {
		return second
	}
	return first
}
