package currency

import (
	"slices"
	"time"
)

const (
	// maxPeriod is the time between two reads of a watcher among many: as long as watches may last
	// without many being lost by connections that go silent.
	maxPeriod = 12 * time.Second
	// maxGap is the longest time between the reads of minSpaced watchers or more. A change must be
	// in force 2 s after its acknowledgement, which may come 3 s after an outage of the store; the
	// rest of the 5 s is for the way to the other nodes.
	maxGap = 3600 * time.Millisecond
	// minSpaced is the number of watchers from which on maxGap holds. Fewer ones would need more
	// reads each.
	minSpaced = 3
	// enoughLocal is the number of watchers of a data centre that do without those of others.
	enoughLocal = 4
	// togetherShare is the part of the mean gap within which reads count as simultaneous.
	togetherShare = 0.25
)

// Watchers describes the other nodes that watch the store, as a watcher knows them.
type Watchers struct {
	// Rank is the number of other watchers with precedence over this one.
	Rank int
	// NextReads are the times until the other watchers next ask the store. A negative one has passed
	// since the watcher told of it.
	NextReads []time.Duration
}

// EnoughLocal reports whether a data centre with the given number of other watchers spaces its
// reads without those of other data centres.
func EnoughLocal(others int) bool { return others+1 >= enoughLocal }

// Period returns the time between two reads of one of several watchers.
func Period(watchers int) time.Duration {
	return min(time.Duration(max(watchers, minSpaced))*maxGap, maxPeriod)
}

// placeByRank returns the time from a moment at which all watchers begin to the place of this one.
func (w Watchers) placeByRank() time.Duration {
	count := len(w.NextReads) + 1
	return Period(count) / time.Duration(count) * time.Duration(w.Rank+1)
}

// NextRead returns the time until this watcher should next ask the store, after a read that starts
// now. changed tells that a change ended the watches of all watchers.
func (w Watchers) NextRead(changed bool) time.Duration {
	count := len(w.NextReads) + 1
	period := Period(count)
	gap := period / time.Duration(count)
	places := make([]time.Duration, 0, count)
	for _, next := range w.NextReads {
		// A watcher whose time has passed has started its next watch since.
		place := (next%period + period) % period
		together := time.Duration(togetherShare * float64(gap))
		changed = changed || place <= together || place >= period-together
		places = append(places, place)
	}
	switch {
	case count == 1:
		return period
	case changed:
		return w.placeByRank()
	}
	// A place just ahead is the one where this watcher is now.
	return largestGap(places, period, gap/2)
}

// largestGap returns the middle of the largest gap between places on a circle, as a time above
// least and at most a period later.
func largestGap(places []time.Duration, period, least time.Duration) time.Duration {
	slices.Sort(places)
	last := places[len(places)-1] - period
	var widest, middle time.Duration
	for _, place := range places {
		if place-last > widest {
			widest, middle = place-last, last+(place-last)/2
		}
		last = place
	}
	if middle <= least {
		middle += period
	}
	return middle
}
