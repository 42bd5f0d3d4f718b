package experiment

import "time"

// eventQueue is a binary heap of the ends of requests. Ends at the same time
// leave it in the order of the request IDs, so that a run is reproducible.
type eventQueue struct {
	items []queuedEnd
}

type queuedEnd struct {
	at      time.Duration
	request worldRequest
}

func (q *eventQueue) first() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

func (q *eventQueue) less(a, b int) bool {
	if q.items[a].at != q.items[b].at {
		return q.items[a].at < q.items[b].at
	}
	return q.items[a].request.id < q.items[b].request.id
}

func (q *eventQueue) push(at time.Duration, r worldRequest) {
	q.items = append(q.items, queuedEnd{at: at, request: r})
	for i := len(q.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

func (q *eventQueue) pop() worldRequest {
	top := q.items[0].request
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items = q.items[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			return top
		}
		q.items[i], q.items[child] = q.items[child], q.items[i]
		i = child
	}
}
