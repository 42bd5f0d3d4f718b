package experiment

import "time"

// completionQueue is a binary heap of request completions ordered by time. Completions at
// the same time are ordered by request ID, so that a run is reproducible.
type completionQueue struct {
	items []completion
}

type completion struct {
	at      time.Duration
	request simRequest
}

func (q *completionQueue) next() (time.Duration, bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

func (q *completionQueue) less(a, b int) bool {
	if q.items[a].at != q.items[b].at {
		return q.items[a].at < q.items[b].at
	}
	return q.items[a].request.id < q.items[b].request.id
}

func (q *completionQueue) push(at time.Duration, r simRequest) {
	q.items = append(q.items, completion{at: at, request: r})
	for i := len(q.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

func (q *completionQueue) pop() simRequest {
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
