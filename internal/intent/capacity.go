package intent

import (
	"math"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// window is a time range that includes from and excludes to. A zero to means that
// it has no end.
type window struct {
	from, to time.Time
}

func (w window) contains(t time.Time) bool {
	return !t.Before(w.from) && (w.to.IsZero() || t.Before(w.to))
}

// stopWindow returns the time range, from now on, in which a stop reduces capacity.
func stopWindow(spec Spec, now time.Time) window {
	w := window{from: now, to: spec.NotAfter}
	if spec.NotBefore.After(now) {
		w.from = spec.NotBefore
	}
	return w
}

// capacityAt returns the healthy capacity of a service, in slots, from the current
// servers in view and the withdrawals that are active at t. Servers that detection
// wants to eject do not count, even if the floor prevents their ejection. Cold
// servers count in proportion to their warmth.
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

// lowestCapacity returns the lowest healthy capacity of a service during w. It
// checks the beginning of w and of each withdrawal, because withdrawals reduce
// capacity only when they begin.
func lowestCapacity(view *fleet.View, service string, withdrawals []fleet.Withdrawal, w window) int {
	lowest := capacityAt(view, service, withdrawals, w.from)
	for _, withdrawal := range withdrawals {
		if w.contains(withdrawal.NotBefore) {
			lowest = min(lowest, capacityAt(view, service, withdrawals, withdrawal.NotBefore))
		}
	}
	return lowest
}

// clearHeld returns the withdrawals as if none were held. A held stop resumes when
// capacity returns, so a new plan must reserve capacity for it.
func clearHeld(withdrawals []fleet.Withdrawal) []fleet.Withdrawal {
	list := make([]fleet.Withdrawal, len(withdrawals))
	for i, withdrawal := range withdrawals {
		withdrawal.Held = false
		list[i] = withdrawal
	}
	return list
}

// excluding returns the withdrawals for which exclude returns false.
func excluding(withdrawals []fleet.Withdrawal, exclude func(fleet.Withdrawal) bool) []fleet.Withdrawal {
	var list []fleet.Withdrawal
	for _, withdrawal := range withdrawals {
		if !exclude(withdrawal) {
			list = append(list, withdrawal)
		}
	}
	return list
}
