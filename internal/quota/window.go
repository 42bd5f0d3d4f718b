package quota

import "time"

// slotsPerWindow is the resolution of a window. A credit counts for up to one slot too long.
const slotsPerWindow = 50

// window counts the credits whose end lies within the last window or in the future.
type window struct {
	slot, length time.Duration
	counts       []uint32
	// first is the number of the oldest slot that counts.
	first int64
	sum   int
}

func newWindow(length time.Duration) window {
	slot := max(length/slotsPerWindow, time.Millisecond)
	return window{slot: slot, length: length, counts: make([]uint32, (length+CreditLife)/slot+3)}
}

// advance drops the slots that ended before the window.
func (w *window) advance(now time.Duration) {
	first := int64((now - w.length) / w.slot)
	if first-w.first >= int64(len(w.counts)) {
		clear(w.counts)
		w.first, w.sum = first, 0
	}
	for ; w.first < first; w.first++ {
		count := &w.counts[w.index(w.first)]
		w.sum -= int(*count)
		*count = 0
	}
}

// add counts credits with a common end and returns the number of their slot.
func (w *window) add(end time.Duration, n int) int64 {
	number := int64(end / w.slot)
	w.counts[w.index(number)] += uint32(n)
	w.sum += n
	return number
}

// remove takes credits out of their slot, if it still counts.
func (w *window) remove(number int64, n int) {
	if number < w.first || number >= w.first+int64(len(w.counts)) {
		return
	}
	count := &w.counts[w.index(number)]
	n = min(n, int(*count))
	*count -= uint32(n)
	w.sum -= n
}

// untilFewer returns the time until the number of credits falls, if none is added.
func (w *window) untilFewer(now time.Duration) time.Duration {
	for number := w.first; number < w.first+int64(len(w.counts)); number++ {
		if w.counts[w.index(number)] > 0 {
			return time.Duration(number+1)*w.slot + w.length - now
		}
	}
	return 0
}

func (w *window) clear() {
	clear(w.counts)
	w.sum = 0
}

func (w *window) index(number int64) int {
	n := int64(len(w.counts))
	return int((number%n + n) % n)
}
