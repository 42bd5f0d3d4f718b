package intent

import (
	"math"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// window is a span of time; a zero end means that it does not end.
type window struct {
	from, to time.Time
}

func (w window) contains(t time.Time) bool {
	return !t.Before(w.from) && (w.to.IsZero() || t.Before(w.to))
}

// stopWindow returns the time during which a stop takes capacity away.
func stopWindow(spec Spec, now time.Time) window {
	w := window{from: now, to: spec.NotAfter}
	if spec.NotBefore.After(now) {
		w.from = spec.NotBefore
	}
	return w
}

// capacityAt returns the healthy capacity of a service, in slots, with the
// servers that view shows now and the withdrawals that are active at t.
// Servers that asked to be ejected do not count, whether the floor grants the
// ejection or not, and cold servers count in part.
func capacityAt(view *fleet.View, service string, withdrawals []fleet.Withdrawal, t time.Time) int {
	sv, ok := view.Services[service]
	if !ok {
		return 0
	}
	total := 0
	for _, candidate := range sv.Candidates {
		if isHealthy(view, candidate) && !isWithdrawn(candidate, withdrawals, t) {
			total += int(math.Floor(float64(candidate.Server.Slots) * candidate.Warmth))
		}
	}
	return total
}

func isHealthy(view *fleet.View, c fleet.Candidate) bool {
	if c.Server.Leaving || c.Host.Leaving || c.Host.Left || view.DownNodes[c.Host.ID] {
		return false
	}
	return c.Server.Health == fleet.Healthy || c.Server.Health == fleet.Suspect
}

func isWithdrawn(c fleet.Candidate, withdrawals []fleet.Withdrawal, t time.Time) bool {
	for _, withdrawal := range withdrawals {
		if withdrawal.ActiveAt(t) && withdrawal.Covers(c.Host, c.Server) {
			return true
		}
	}
	return false
}

// lowestCapacity returns the lowest healthy capacity of a service during w.
// Capacity falls only where a withdrawal begins, so these times suffice.
func lowestCapacity(view *fleet.View, service string, withdrawals []fleet.Withdrawal, w window) int {
	lowest := capacityAt(view, service, withdrawals, w.from)
	for _, withdrawal := range withdrawals {
		if w.contains(withdrawal.NotBefore) {
			lowest = min(lowest, capacityAt(view, service, withdrawals, withdrawal.NotBefore))
		}
	}
	return lowest
}

// withoutHolds returns the withdrawals as if none were held. A held stop
// resumes when capacity returns, so a new plan leaves room for it.
func withoutHolds(withdrawals []fleet.Withdrawal) []fleet.Withdrawal {
	list := make([]fleet.Withdrawal, len(withdrawals))
	for i, withdrawal := range withdrawals {
		withdrawal.Held = false
		list[i] = withdrawal
	}
	return list
}

// without returns the withdrawals that remove does not match.
func without(withdrawals []fleet.Withdrawal, remove func(fleet.Withdrawal) bool) []fleet.Withdrawal {
	var list []fleet.Withdrawal
	for _, withdrawal := range withdrawals {
		if !remove(withdrawal) {
			list = append(list, withdrawal)
		}
	}
	return list
}
