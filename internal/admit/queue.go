package admit

import (
	"math"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

const (
	// DefaultQueueFactor is the queue length as a multiple of the slots.
	DefaultQueueFactor = 1.0
	// meanWeight is the weight of one latency in the mean service time.
	meanWeight = 1.0 / 16
	// defaultWeight is the weight of accounts that are configured without one.
	defaultWeight = 1.0
	// tagRounding absorbs rounding when tags are compared.
	tagRounding = 1e-9
)

// Waiter is one waiting request.
type Waiter struct {
	account  string
	weight   float64
	deadline time.Time
	tag      float64
	// Value is at the caller's disposal.
	Value any
}

// Notify tells how the wait of a request ended: err is nil if it runs now.
type Notify func(w *Waiter, err *codes.Error)

// Queue decides which requests of one server run and which wait. It is not
// safe for concurrent use.
type Queue struct {
	slots   int
	factor  float64
	notify  Notify
	running int
	// waiting is in the order of arrival.
	waiting []*Waiter
	closed  bool
	shares  shares
	// meanSeconds is the mean service time, 0 before the first latency.
	meanSeconds float64
}

// NewQueue returns a queue for a server with the given slots, at least 1. A
// factor of 0 or less stands for DefaultQueueFactor. Notify is called during
// Offer, Finish, Expire, Close and SetSlots, and must not call the queue.
func NewQueue(slots int, factor float64, notify Notify) *Queue {
	return &Queue{slots: max(slots, 1), factor: factorOrDefault(factor), notify: notify, shares: newShares()}
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return len(q.waiting) }

// Closed reports whether new work is refused.
func (q *Queue) Closed() bool { return q.closed }

// capacity returns the number of requests that may wait.
func (q *Queue) capacity() int {
	return max(int(math.Round(q.factor*float64(q.slots))), 1)
}

// TryStart takes a free slot. It returns false if the request must wait, and
// an error if it is refused.
func (q *Queue) TryStart(now, deadline time.Time) (bool, *codes.Error) {
	if q.closed {
		return false, codes.Leaving.New("the server takes no new work")
	}
	if !now.Before(deadline) {
		return false, codes.DeadlinePassed.New("the deadline passed %v ago", now.Sub(deadline))
	}
	if q.running < q.slots && len(q.waiting) == 0 {
		q.running++
		return true, nil
	}
	return false, nil
}

// Enqueue lets a request join the queue after TryStart returned false. A weight
// of 0 or less stands for 1.
func (q *Queue) Enqueue(now time.Time, account string, weight float64, deadline time.Time, value any) (*Waiter, *codes.Error) {
	if weight <= 0 {
		weight = defaultWeight
	}
	w := &Waiter{account: account, weight: weight, deadline: deadline, Value: value}
	w.tag = q.shares.nextTag(account, weight)
	err := q.checkDeadline(now, w)
	if err == nil && len(q.waiting) >= q.capacity() && !q.displace(w) {
		err = codes.Overloaded.New("%d running, %d waiting", q.running, len(q.waiting))
	}
	if err != nil {
		q.shares.claim(account, w.tag)
		return nil, err
	}
	q.shares.push(w)
	q.waiting = append(q.waiting, w)
	return w, nil
}

func (q *Queue) checkDeadline(now time.Time, w *Waiter) *codes.Error {
	ahead := 0
	for _, other := range q.waiting {
		if other.tag <= w.tag {
			ahead++
		}
	}
	wait := float64(ahead+1) / float64(q.slots) * q.meanSeconds
	expected := time.Duration((wait + q.meanSeconds) * float64(time.Second))
	if left := w.deadline.Sub(now); expected > left {
		return codes.Overloaded.New("expected end in %v, deadline in %v", expected, left)
	}
	return nil
}

// displace refuses the waiting request with the highest tag, the newest of its
// account, if w has a lower one.
func (q *Queue) displace(w *Waiter) bool {
	worst := 0
	for i, other := range q.waiting {
		if other.tag >= q.waiting[worst].tag {
			worst = i
		}
	}
	refused := q.waiting[worst]
	if w.tag >= refused.tag-tagRounding {
		return false
	}
	q.remove(worst)
	q.shares.undo(refused)
	q.notify(refused, codes.Overloaded.New("the account has used its share of a full queue"))
	return true
}

// Finish ends a running request and starts waiting ones. A latency of 0 or
// less, for a request that was cancelled early, leaves the mean unchanged.
func (q *Queue) Finish(now time.Time, latency time.Duration) {
	q.running--
	if latency > 0 {
		q.observe(latency.Seconds())
	}
	q.startWaiting(now)
}

func (q *Queue) observe(seconds float64) {
	if q.meanSeconds == 0 {
		q.meanSeconds = seconds
		return
	}
	q.meanSeconds += meanWeight * (seconds - q.meanSeconds)
}

func (q *Queue) startWaiting(now time.Time) {
	for q.running < q.slots && len(q.waiting) > 0 {
		next := q.first()
		w := q.waiting[next]
		q.remove(next)
		if !now.Before(w.deadline) {
			q.shares.undo(w)
			q.notify(w, codes.DeadlinePassed.New("the deadline passed while the request waited"))
			continue
		}
		q.shares.advance(w.tag)
		q.running++
		q.notify(w, nil)
	}
	if len(q.waiting) == 0 {
		q.shares.reset()
	}
}

// first returns the index of the lowest tag; the earlier arrival wins a tie.
func (q *Queue) first() int {
	best := 0
	for i, w := range q.waiting {
		if w.tag < q.waiting[best].tag {
			best = i
		}
	}
	return best
}

// remove takes a request out of the queue.
func (q *Queue) remove(i int) {
	q.shares.pop(q.waiting[i])
	copy(q.waiting[i:], q.waiting[i+1:])
	q.waiting[len(q.waiting)-1] = nil
	q.waiting = q.waiting[:len(q.waiting)-1]
}

// Cancel takes a waiting request out and frees its place. It returns false if
// the wait has already ended. Notify is not called.
func (q *Queue) Cancel(w *Waiter) bool {
	for i, other := range q.waiting {
		if other == w {
			q.remove(i)
			q.shares.undo(w)
			return true
		}
	}
	return false
}

// SetFactor changes the queue factor; 0 or less stands for DefaultQueueFactor.
// Requests that wait already keep their places.
func (q *Queue) SetFactor(factor float64) { q.factor = factorOrDefault(factor) }

func factorOrDefault(factor float64) float64 {
	if factor <= 0 {
		return DefaultQueueFactor
	}
	return factor
}

// SetSlots changes the number of slots. Running requests above a lower number
// go on.
func (q *Queue) SetSlots(now time.Time, slots int) {
	q.slots = max(slots, 1)
	q.startWaiting(now)
}

// Close refuses new and waiting requests. Running ones go on.
func (q *Queue) Close() {
	q.closed = true
	for len(q.waiting) > 0 {
		w := q.waiting[0]
		q.remove(0)
		q.notify(w, codes.Leaving.New("the server takes no new work"))
	}
	q.shares.reset()
}

// Reopen takes new work again after Close.
func (q *Queue) Reopen() { q.closed = false }
