package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// leftOutTime is how long a home that did not reply, or is none, is not asked again.
	leftOutTime = 500 * time.Millisecond
	// demandMemory is the time over which the demand of an account at the node is averaged.
	demandMemory = time.Second
	// minDemandTime is the shortest time to which requests are related.
	minDemandTime = 200 * time.Millisecond
)

// Credit admits one request until its end.
type Credit struct {
	Home Node
	Slot uint32
	End  time.Duration
}

// lot is a number of equal credits.
type lot struct {
	Credit
	n int
}

// homeState is what an entry knows of a home of an account.
type homeState struct {
	node Node
	// asking is set while a call is on its way; slow if its reply takes long. asked is the time of the
	// call.
	asking, slow bool
	asked        time.Duration
	// leftOut is the end of the time in which the home is not asked because it did not reply, and
	// again the time from which it may grant a credit after it refused.
	leftOut, again time.Duration
	// refused is set if the latest reply refused a request.
	refused bool
	// promise is the time at which the next refused caller may return, interval the time between
	// two of them.
	promise, interval time.Duration
	// booked is the number of callers that the home counts already, told that of others that were
	// told to return since the last call.
	booked, told int
	// exact is set if the home counted callers of this node when it made the promise.
	exact bool
}

// Purse holds the credits of an account at an entry node, and what the entry knows of its homes.
type Purse struct {
	homes []homeState
	// first is the index of the home that is asked first. It moves on with each call, so that the
	// credit of all homes is used alike.
	first int
	lots  []lot
	// demand is the decayed number of requests from the time began until the time used.
	demand      float64
	began, used time.Duration
}

// SetHomes sets the homes, the first one to be asked first. Credits from earlier ones stay valid.
func (p *Purse) SetHomes(homes []Node) {
	states := make([]homeState, len(homes))
	for i, node := range homes {
		states[i].node = node
		if at := p.indexOf(node); at >= 0 {
			states[i] = p.homes[at]
		}
	}
	p.homes, p.first = states, 0
}

func (p *Purse) indexOf(node Node) int {
	return slices.IndexFunc(p.homes, func(h homeState) bool { return h.node == node })
}

// Arrive counts a request that needs a credit.
func (p *Purse) Arrive(now time.Duration) {
	if now-p.used > 3*demandMemory {
		p.demand, p.began = 0, now
	}
	p.demand = p.demand*math.Exp(-(now-p.used).Seconds()/demandMemory.Seconds()) + 1
	p.used = now
}

// demandPerSecond returns the number of requests per second. Until requests have come for some demandMemory, the
// decayed number stands for less time than that; the first request alone tells no rate.
func (p *Purse) demandPerSecond(now time.Duration) float64 {
	memory := demandMemory.Seconds()
	seen := memory * (1 - math.Exp(-(now-p.began).Seconds()/memory))
	return max(p.demand/memory, (p.demand-1)/max(seen, minDemandTime.Seconds()))
}

// Used returns the time of the last request.
func (p *Purse) Used() time.Duration { return p.used }

// Take takes a credit that is still valid.
func (p *Purse) Take(now time.Duration) (Credit, bool) {
	for i := range p.lots {
		if l := &p.lots[i]; l.n > 0 && now < l.End {
			l.n--
			return l.Credit, true
		}
	}
	return Credit{}, false
}

// NextAsk returns the home to ask for some waiting requests, or false if there is none to be asked
// now. The call must be followed by Granted or NoReply.
func (p *Purse) NextAsk(now time.Duration, waiting int) (Node, Ask, bool) {
	if waiting == 0 || p.Asking() {
		return 0, Ask{}, false
	}
	for i := range p.homes {
		h := &p.homes[(p.first+i)%len(p.homes)]
		if !h.mayAsk(now) {
			continue
		}
		p.first = (p.first + i + 1) % len(p.homes)
		h.asking, h.slow, h.asked = true, false, now
		ask := Ask{
			Waiting: waiting, Demand: p.demandPerSecond(now), Told: h.told, Book: !p.mayAsk(now),
		}
		h.told, h.booked = 0, 0
		return h.node, ask, true
	}
	return 0, Ask{}, false
}

// mayAsk reports whether the home can be asked now.
func (h *homeState) mayAsk(now time.Duration) bool {
	return !h.asking && now >= h.leftOut && now >= h.again
}

// mayAsk reports whether some home can be asked now.
func (p *Purse) mayAsk(now time.Duration) bool {
	return slices.ContainsFunc(p.homes, func(h homeState) bool { return h.mayAsk(now) })
}

// Asking reports whether a reply is awaited that does not take long.
func (p *Purse) Asking() bool {
	return slices.ContainsFunc(p.homes, func(h homeState) bool { return h.asking && !h.slow })
}

// Pending reports whether any reply is awaited.
func (p *Purse) Pending() bool {
	return slices.ContainsFunc(p.homes, func(h homeState) bool { return h.asking })
}

// MarkSlow lets other homes be asked although replies to calls that are at least as old as age are
// awaited.
func (p *Purse) MarkSlow(now, age time.Duration) {
	for i := range p.homes {
		h := &p.homes[i]
		h.slow = h.slow || h.asking && now-h.asked >= age
	}
}

// Granted processes the reply to a call that was sent at the given time.
func (p *Purse) Granted(now, sent time.Duration, home Node, reply Reply) {
	at := p.indexOf(home)
	if !reply.Home {
		p.leaveOut(now, at)
		return
	}
	if reply.Granted > 0 {
		p.lots = append(p.lots, lot{Credit{Home: home, Slot: reply.Slot, End: sent + CreditLife}, reply.Granted})
	}
	if at < 0 {
		return
	}
	h := &p.homes[at]
	h.asking, h.leftOut, h.refused = false, 0, reply.Again > 0
	h.again = now + reply.Again
	if h.refused {
		h.promise, h.interval, h.booked = now+reply.First, reply.Interval, reply.Booked
		h.exact = reply.Booked > 0
	}
}

// NoReply processes the loss of a call. It reports whether the home replied to the one before.
func (p *Purse) NoReply(now time.Duration, home Node) bool {
	return p.leaveOut(now, p.indexOf(home))
}

func (p *Purse) leaveOut(now time.Duration, at int) bool {
	if at < 0 {
		return false
	}
	h := &p.homes[at]
	replied := h.leftOut == 0
	h.asking, h.refused, h.leftOut = false, false, now+leftOutTime
	return replied
}

// Refuse returns the time after which a caller that gets no credit may return, which no other
// caller was told. It returns false if some home was not reached, so that the account may be below
// its limit.
func (p *Purse) Refuse(now time.Duration) (after time.Duration, overLimit bool) {
	overLimit = true
	var next *homeState
	for i := range p.homes {
		h := &p.homes[i]
		overLimit = overLimit && h.refused
		if h.refused && (next == nil || h.sooner(next)) {
			next = h
		}
	}
	if next == nil {
		return 0, false
	}
	next.promise = max(next.promise, now)
	after = next.promise - now
	next.promise = min(next.promise+next.interval, now+maxPromise)
	if next.booked > 0 {
		next.booked--
	} else {
		next.told++
	}
	return after, overLimit
}

// sooner reports whether a caller is sent to h rather than to other: to a home that counts it
// already, to one that counted callers of this node before, or to the one with the earlier promise.
func (h *homeState) sooner(other *homeState) bool {
	switch {
	case (h.booked > 0) != (other.booked > 0):
		return h.booked > 0
	case h.exact != other.exact:
		return h.exact
	}
	return h.promise < other.promise
}

// GiveBack takes back the credit of a request that did not run. It returns false if the credit has
// ended, so that it must be returned to its home.
func (p *Purse) GiveBack(now time.Duration, c Credit) bool {
	if now >= c.End {
		return false
	}
	p.lots = append(p.lots, lot{c, 1})
	return true
}

// Ended removes the credits whose end has passed and calls give for each home that gets some back.
func (p *Purse) Ended(now time.Duration, give func(home Node, r Return)) {
	p.lots = slices.DeleteFunc(p.lots, func(l lot) bool {
		if l.n > 0 && now >= l.End {
			give(l.Home, Return{Credits: l.n, Slot: l.Slot})
		}
		return l.n == 0 || now >= l.End
	})
}

// Holds reports whether the purse holds credits that have to be used or returned.
func (p *Purse) Holds() bool {
	return slices.ContainsFunc(p.lots, func(l lot) bool { return l.n > 0 })
}
