package quota

import (
	"math"
	"time"
)

// settleTime is the time after a change of the members in which other nodes learn of it. The bucket of
// a new home does not grow for it, because an earlier one may still be asked.
const settleTime = time.Second

// TakeoverTime is the time after it was last shown that a home is silent for which another one may grant in its
// place. The buckets of a home that grants again do not grow for it.
const TakeoverTime = 2500 * time.Millisecond

// minAgain is the shortest time between two calls to a home that refuses.
const minAgain = time.Millisecond

// Home holds the buckets of the accounts that a node is a home of.
type Home struct {
	// growFrom is the time from which the buckets of accounts that were not asked for yet grow, standInFrom that
	// of accounts whose first homes are silent.
	growFrom, standInFrom time.Duration
	buckets               map[string]*Bucket
	// offset makes the slots of this process differ from those of an earlier one.
	offset uint32
}

// NewHome returns the state of a process that starts now. random is a random number.
func NewHome(now time.Duration, random uint32) *Home {
	return &Home{growFrom: now, standInFrom: now + settleTime, buckets: map[string]*Bucket{}, offset: random}
}

// Ask answers the call of an entry. The node must be one of the given number of homes; standIn is set if
// it is one only because another is silent.
func (h *Home) Ask(now time.Duration, account string, limit Limit, homes int, standIn bool, ask Ask) Reply {
	b := h.buckets[account]
	if b == nil {
		from := h.growFrom
		if standIn {
			from = h.standInFrom
		}
		b = newBucket(now, from, limit, homes)
		h.buckets[account] = b
	}
	b.setLimit(now, limit, homes)
	granted, slot := b.grant(now, ask)
	reply := Reply{Home: true, Granted: granted, Slot: uint32(slot) + h.offset}
	if ask.Told > 0 {
		b.promise(now, ask.Told)
	}
	if refused := ask.Waiting - granted; refused > 0 {
		reply.Again = max(b.untilCredit(now), b.untilNextCall(now), minAgain)
		if ask.Book {
			reply.Booked = refused + int(math.Ceil(ask.Demand*reply.Again.Seconds()))
		}
		reply.First, reply.Interval = b.promise(now, reply.Booked)
	}
	return reply
}

// Return takes back credits whose requests did not run.
func (h *Home) Return(now time.Duration, account string, r Return) {
	if b := h.buckets[account]; b != nil {
		b.advance(now)
		// Replies carry the low bits of the number of a slot.
		distance := int32(r.Slot - h.offset - uint32(b.granted.first))
		b.giveBack(now, b.granted.first+int64(distance), r.Credits)
	}
}

// Retain drops the buckets of the accounts that the node is no home of any more after the members
// have changed.
func (h *Home) Retain(now time.Duration, isHome func(account string, limit Limit) bool) {
	h.growFrom = max(h.growFrom, now+settleTime)
	h.Replace(now, isHome)
}

// Resume drops all buckets of a node that others may have replaced until now.
func (h *Home) Resume(now time.Duration) {
	clear(h.buckets)
	h.growFrom, h.standInFrom = now+TakeoverTime, now+TakeoverTime
}

// Replace drops the buckets of the accounts that the node is no home of any more after nodes have become
// silent or are heard again. Other accounts keep theirs.
func (h *Home) Replace(now time.Duration, isHome func(account string, limit Limit) bool) {
	h.standInFrom = max(h.standInFrom, now+settleTime)
	for account, b := range h.buckets {
		if !isHome(account, b.limit) {
			delete(h.buckets, account)
		}
	}
}
