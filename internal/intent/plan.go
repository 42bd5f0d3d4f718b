package intent

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// MaxPropagationTime is the longest time until a change is in force at every
	// reachable node.
	MaxPropagationTime = 16 * time.Second
	// DrainTime is the longest time that a request accepted before a stop may
	// still run. It equals the largest deadline of a caller.
	DrainTime = 30 * time.Second
)

// ServiceImpact is the effect of a change on one service. Capacities are healthy
// capacities in slots.
type ServiceImpact struct {
	Service     string `json:"service"`
	FloorBefore int    `json:"floor_before"`
	FloorAfter  int    `json:"floor_after"`
	Before      int    `json:"capacity_before"`
	// During is the lowest capacity during the change, with every scheduled stop
	// in effect.
	During int `json:"capacity_during"`
	After  int `json:"capacity_after"`
	// BreaksFloor reports that the change is refused because of this service.
	BreaksFloor bool `json:"breaks_floor,omitempty"`
}

// AffectedServer is a backend server that a change takes out of service or returns.
type AffectedServer struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"`
	// Running is the number of requests observed in progress on the server.
	Running int `json:"running"`
}

// Use is the recent traffic of one caller or account to one service.
type Use struct {
	Name     string    `json:"name"`
	Service  string    `json:"service"`
	Requests uint64    `json:"requests"`
	LastSeen time.Time `json:"last_seen"`
}

// ObservedTraffic is the recent traffic that a plan reports.
type ObservedTraffic struct {
	Accounts []Use
	Callers  []Use
	// Running is the number of requests in progress by server ID.
	Running map[string]int
}

// Plan describes what a change affects. It is computed from rows at given versions
// and becomes stale when one of them changes.
type Plan struct {
	// Number is the number of the step that stored the plan. Confirmations and
	// approvals refer to it.
	Number      int              `json:"number"`
	MadeAt      time.Time        `json:"made_at"`
	Services    []ServiceImpact  `json:"services"`
	Servers     []AffectedServer `json:"servers,omitempty"`
	DataCentres []string         `json:"data_centres,omitempty"`
	Accounts    []Use            `json:"accounts,omitempty"`
	Callers     []Use            `json:"callers,omitempty"`
	Running     int              `json:"running"`
	// DurationSeconds is the expected time until the change is done.
	DurationSeconds int64 `json:"duration_s"`
	// Versions are the versions of the rows that the plan was computed from; 0
	// requires that the row does not exist.
	Versions map[string]uint64 `json:"versions"`
	// Writes are the keys of the configuration rows that the change writes.
	Writes []string `json:"writes"`
	// Refusal explains which floor the change would break, with the capacities;
	// empty if it breaks none.
	Refusal string `json:"refusal,omitempty"`
}

// Input is what plans and steps are computed from.
type Input struct {
	Now      time.Time
	View     *fleet.View
	Rows     Rows
	Observed ObservedTraffic
}

// MakePlan computes the plan of an intent. It returns an error of code
// UnknownTarget or NothingWithdrawn if there is nothing to change. A plan that
// breaks a floor has a Refusal.
func MakePlan(in Intent, input Input) (Plan, error) {
	if err := checkTarget(in.Spec, input); err != nil {
		return Plan{}, err
	}
	withdrawals, err := input.Rows.withdrawals()
	if err != nil {
		return Plan{}, err
	}
	writes, err := Changes(in, input.Rows)
	if err != nil {
		return Plan{}, err
	}
	p := Plan{MadeAt: input.Now, Versions: map[string]uint64{}}
	for _, write := range writes {
		p.Writes = append(p.Writes, write.Key)
		p.Versions[write.Key] = input.Rows[write.Key].Version
	}
	p.addServers(in.Spec, input)
	services := AffectedServices(in.Spec, input.View)
	for _, name := range services {
		if err := p.addService(in, name, input, withdrawals); err != nil {
			return Plan{}, err
		}
	}
	p.addUsage(in.Spec, services, input.Observed)
	p.DurationSeconds = int64(expectedDuration(in.Spec, input.Now).Seconds())
	return p, nil
}

// AffectedServices returns the names of the services that a change affects, in
// ascending order. A stop or a return affects the services of the servers in view
// that belong to its target.
func AffectedServices(spec Spec, view *fleet.View) []string {
	switch spec.Kind {
	case Floor, Limits, Preset:
		return []string{spec.Service}
	case Route:
		return routeServices(spec, view)
	case Withdraw, Return, Maintenance:
		var names []string
		for name, sv := range view.Services {
			if slices.ContainsFunc(sv.Candidates, spec.covers) {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		return names
	}
	return nil
}

// routeServices returns the service that the route leads to now and the service
// that it leads to after the change.
func routeServices(spec Spec, view *fleet.View) []string {
	var names []string
	if current, ok := view.Config.Routes[spec.Route.ID]; ok {
		names = append(names, current.Service)
	}
	if !spec.Delete {
		names = append(names, spec.Route.Service)
	}
	sort.Strings(names)
	return slices.Compact(names)
}

func (s Spec) covers(c fleet.Candidate) bool {
	return fleet.Withdrawal{Scope: s.Scope, Target: s.Target}.Covers(c.Host, c.Server)
}

// checkTarget returns an error of code UnknownTarget if no server in the view
// belongs to the target of a stop.
func checkTarget(spec Spec, input Input) error {
	if !spec.IsStop() || len(AffectedServices(spec, input.View)) > 0 {
		return nil
	}
	return codes.UnknownTarget.New("no backend server belongs to %s %s", spec.Scope, spec.Target)
}

func (p *Plan) addServers(spec Spec, input Input) {
	if !spec.IsStop() && spec.Kind != Return {
		return
	}
	for _, name := range AffectedServices(spec, input.View) {
		for _, c := range input.View.Services[name].Candidates {
			if !spec.covers(c) {
				continue
			}
			running := input.Observed.Running[c.Server.ID]
			p.Running += running
			p.Servers = append(p.Servers, AffectedServer{
				ID: c.Server.ID, Service: name, Node: c.Host.ID,
				DataCentre: c.Host.DataCentre, Slots: c.Server.Slots, Running: running,
			})
			p.DataCentres = append(p.DataCentres, c.Host.DataCentre)
		}
	}
	sort.Strings(p.DataCentres)
	p.DataCentres = slices.Compact(p.DataCentres)
}

// addService adds the impact on one service, and sets the refusal if the change
// breaks the floor of the service.
func (p *Plan) addService(in Intent, name string, input Input, withdrawals []fleet.Withdrawal) error {
	service, err := input.Rows.service(name)
	if err != nil && in.Spec.Kind != Return {
		return err
	}
	service.Name = name
	p.Versions[fleet.PrefixService+name] = input.Rows[fleet.PrefixService+name].Version
	impact := serviceImpact(in, service, input, withdrawals)
	impact.Service = name
	impact.BreaksFloor = breaksFloor(in.Spec, impact)
	if impact.BreaksFloor && p.Refusal == "" {
		p.Refusal = fmt.Sprintf("service %s: healthy capacity is %d slots before and %d during the change, and the floor is %d slots",
			name, impact.Before, impact.During, impact.FloorAfter)
	}
	p.Services = append(p.Services, impact)
	return nil
}

// serviceImpact computes the floor and the capacity of a service before, during and
// after the change.
func serviceImpact(in Intent, service fleet.Service, input Input, withdrawals []fleet.Withdrawal) ServiceImpact {
	impact := ServiceImpact{FloorBefore: service.FloorSlots, FloorAfter: service.FloorSlots}
	now, view := input.Now, input.View
	impact.Before = capacityAt(view, service.Name, withdrawals, now)
	impact.During, impact.After = impact.Before, impact.Before
	scheduled := clearHeld(withdrawals)
	switch in.Spec.Kind {
	case Floor:
		impact.FloorAfter = *in.Spec.FloorSlots
		impact.During = lowestCapacity(view, service.Name, scheduled, window{from: now})
	case Withdraw, Maintenance:
		during := stopWindow(in.Spec, now)
		scheduled = append(scheduled, in.Withdrawal())
		impact.During = lowestCapacity(view, service.Name, scheduled, during)
		impact.After = impact.During
		if !during.to.IsZero() {
			impact.After = capacityAt(view, service.Name, scheduled, during.to)
		}
	case Return:
		left := excluding(withdrawals, in.Spec.endsWithdrawal)
		impact.After = capacityAt(view, service.Name, left, now)
	}
	return impact
}

// breaksFloor reports whether a stop, or a change that raises the floor, leaves less
// capacity than the floor. A service that is already below its floor allows no stop
// at all, not even of an unhealthy server, because the server may be needed when it
// recovers.
func breaksFloor(spec Spec, impact ServiceImpact) bool {
	reducesMargin := spec.IsStop() || impact.FloorAfter > impact.FloorBefore
	return reducesMargin && impact.During < impact.FloorAfter
}

// endsWithdrawal reports whether a Return intent with this spec ends the withdrawal.
func (s Spec) endsWithdrawal(w fleet.Withdrawal) bool {
	return w.Scope == s.Scope && w.Target == s.Target
}

// addUsage adds the recent traffic of the affected services or, for an account
// change, of the account.
func (p *Plan) addUsage(spec Spec, services []string, observed ObservedTraffic) {
	unaffected := func(use Use) bool { return !slices.Contains(services, use.Service) }
	p.Accounts = slices.DeleteFunc(slices.Clone(observed.Accounts), unaffected)
	p.Callers = slices.DeleteFunc(slices.Clone(observed.Callers), unaffected)
	if spec.Kind == Account {
		p.Accounts = slices.DeleteFunc(slices.Clone(observed.Accounts), func(use Use) bool {
			return use.Name != spec.Account.ID
		})
	}
}

func expectedDuration(spec Spec, now time.Time) time.Duration {
	switch spec.Kind {
	case Withdraw:
		return MaxPropagationTime + DrainTime
	case Maintenance:
		return spec.NotAfter.Sub(now) + MaxPropagationTime
	}
	return MaxPropagationTime
}

// CheckPlan returns nil if a plan computed now would cover the same rows at the same
// versions and keep the floor. Otherwise the error has code PlanStale if a row or
// the set of affected services has changed, or FloorWouldBreak if capacity was lost.
func CheckPlan(in Intent, input Input) error {
	fresh, err := MakePlan(in, input)
	if err != nil {
		return err
	}
	for key, version := range in.Plan.Versions {
		if current, ok := fresh.Versions[key]; !ok || current != version {
			return codes.PlanStale.New("row %s has changed since plan %d was made", key, in.Plan.Number)
		}
	}
	for key := range fresh.Versions {
		if _, ok := in.Plan.Versions[key]; !ok {
			return codes.PlanStale.New("plan %d does not cover row %s, which the change now affects", in.Plan.Number, key)
		}
	}
	if fresh.Refusal != "" {
		return codes.FloorWouldBreak.New("%s", fresh.Refusal)
	}
	return nil
}
