package admit

import (
	"math"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

const (
	// DefaultQueueFactor is the default queue capacity as a multiple of the slots.
	DefaultQueueFactor = 1.0
	// latencyWeight is the weight of a new latency in the moving average of the
	// service time.
	latencyWeight = 1.0 / 16
	// defaultWeight is the weight of accounts that are configured without one.
	defaultWeight = 1.0
	// tagTolerance absorbs rounding errors when tags are compared.
	tagTolerance = 1e-9
)

// Waiter is a queued request.
type Waiter struct {
	account  string
	weight   float64
	deadline time.Time
	tag      float64
	// Value is set by the caller and not used by the queue.
	Value any
}

// Notify reports how the wait of a request ended: err is nil if the request was
// started, otherwise it is the reason of the refusal.
type Notify func(w *Waiter, err *codes.Error)

// Queue decides which requests of one server run and which wait. It is not
// safe for concurrent use.
type Queue struct {
	slots   int
	factor  float64
	notify  Notify
	running int
	// waiting holds the queued requests in order of arrival.
	waiting []*Waiter
	closed  bool
	fair    fairQueueing
	// meanServiceSeconds is the mean service time, 0 before the first latency.
	meanServiceSeconds float64
}

// NewQueue returns a queue for a server with the given slots, at least 1. A
// factor of 0 or less means DefaultQueueFactor. Notify is called during Enqueue,
// Finish, Close and SetSlots, and must not call the queue.
func NewQueue(slots int, factor float64, notify Notify) *Queue {
	return &Queue{slots: max(slots, 1), factor: factorOrDefault(factor), notify: notify, fair: newFairQueueing()}
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Queued returns the number of queued requests.
func (q *Queue) Queued() int { return len(q.waiting) }

// Closed reports whether new requests are refused.
func (q *Queue) Closed() bool { return q.closed }

// maxWaiting returns the capacity of the queue.
func (q *Queue) maxWaiting() int {
	return max(int(math.Round(q.factor*float64(q.slots))), 1)
}

// TryStart starts a request if a slot is free. It returns false and no error if
// the request must be queued, and an error if it is refused.
func (q *Queue) TryStart(now, deadline time.Time) (bool, *codes.Error) {
	if q.closed {
		return false, codes.Leaving.New("the server accepts no new requests")
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

// Enqueue adds a request to the queue after TryStart returned false. A weight of
// 0 or less means 1.
func (q *Queue) Enqueue(now time.Time, account string, weight float64, deadline time.Time, value any) (*Waiter, *codes.Error) {
	if weight <= 0 {
		weight = defaultWeight
	}
	w := &Waiter{account: account, weight: weight, deadline: deadline, Value: value}
	w.tag = q.fair.nextTag(account, weight)
	err := q.checkDeadline(now, w)
	if err == nil && len(q.waiting) >= q.maxWaiting() && !q.evictHigherTag(w) {
		err = codes.Overloaded.New("the queue is full: %d running, %d queued", q.running, len(q.waiting))
	}
	if err != nil {
		q.fair.keepRefusedTag(account, w.tag)
		return nil, err
	}
	q.fair.enqueued(w)
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
	wait := float64(ahead+1) / float64(q.slots) * q.meanServiceSeconds
	expected := time.Duration((wait + q.meanServiceSeconds) * float64(time.Second))
	if remaining := w.deadline.Sub(now); expected > remaining {
		return codes.Overloaded.New("expected completion in %v, deadline in %v", expected, remaining)
	}
	return nil
}

// evictHigherTag refuses the queued request with the highest tag, which is the
// newest of its account, if the tag of w is lower. It reports whether it did.
func (q *Queue) evictHigherTag(w *Waiter) bool {
	highest := 0
	for i, other := range q.waiting {
		if other.tag >= q.waiting[highest].tag {
			highest = i
		}
	}
	refused := q.waiting[highest]
	if w.tag >= refused.tag-tagTolerance {
		return false
	}
	q.remove(highest)
	q.fair.restoreTag(refused)
	q.notify(refused, codes.Overloaded.New("the account exceeds its fair share of a full queue"))
	return true
}

// Finish ends a running request and starts queued ones. A latency of 0 or less,
// for a request that was cancelled, leaves the mean service time unchanged.
func (q *Queue) Finish(now time.Time, latency time.Duration) {
	q.running--
	if latency > 0 {
		q.recordLatency(latency.Seconds())
	}
	q.startWaiting(now)
}

func (q *Queue) recordLatency(seconds float64) {
	if q.meanServiceSeconds == 0 {
		q.meanServiceSeconds = seconds
		return
	}
	q.meanServiceSeconds += latencyWeight * (seconds - q.meanServiceSeconds)
}

func (q *Queue) startWaiting(now time.Time) {
	for q.running < q.slots && len(q.waiting) > 0 {
		next := q.lowestTag()
		w := q.waiting[next]
		q.remove(next)
		if !now.Before(w.deadline) {
			q.fair.restoreTag(w)
			q.notify(w, codes.DeadlinePassed.New("the deadline passed while the request was queued"))
			continue
		}
		q.fair.advanceVirtualTime(w.tag)
		q.running++
		q.notify(w, nil)
	}
	if len(q.waiting) == 0 {
		q.fair.reset()
	}
}

// lowestTag returns the index of the request with the lowest tag; of equal tags,
// the earlier arrival.
func (q *Queue) lowestTag() int {
	best := 0
	for i, w := range q.waiting {
		if w.tag < q.waiting[best].tag {
			best = i
		}
	}
	return best
}

func (q *Queue) remove(i int) {
	q.fair.dequeued(q.waiting[i])
	copy(q.waiting[i:], q.waiting[i+1:])
	q.waiting[len(q.waiting)-1] = nil
	q.waiting = q.waiting[:len(q.waiting)-1]
}

// Cancel removes a queued request. It returns false if its wait has already
// ended. Notify is not called.
func (q *Queue) Cancel(w *Waiter) bool {
	for i, other := range q.waiting {
		if other == w {
			q.remove(i)
			q.fair.restoreTag(w)
			return true
		}
	}
	return false
}

// SetFactor changes the queue factor; 0 or less means DefaultQueueFactor.
// Requests that are already queued stay in the queue.
func (q *Queue) SetFactor(factor float64) { q.factor = factorOrDefault(factor) }

func factorOrDefault(factor float64) float64 {
	if factor <= 0 {
		return DefaultQueueFactor
	}
	return factor
}

// SetSlots changes the number of slots. If it is lowered, running requests above
// it continue.
func (q *Queue) SetSlots(now time.Time, slots int) {
	q.slots = max(slots, 1)
	q.startWaiting(now)
}

// Close refuses new and queued requests. Running ones continue.
func (q *Queue) Close() {
	q.closed = true
	for len(q.waiting) > 0 {
		w := q.waiting[0]
		q.remove(0)
		q.notify(w, codes.Leaving.New("the server accepts no new requests"))
	}
	q.fair.reset()
}

// Reopen accepts new requests again after Close.
func (q *Queue) Reopen() { q.closed = false }
