package intent

import (
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Changes returns the writes of configuration rows that put the intent in force.
func Changes(in Intent, rows Rows) ([]RowWrite, error) {
	spec := in.Spec
	switch spec.Kind {
	case Withdraw, Maintenance:
		return singleWrite(encodeRow(fleet.PrefixWithdrawal+in.ID, in.Withdrawal()))
	case Return:
		return returnChanges(spec, rows)
	case Floor, Limits, Preset:
		service, err := rows.service(spec.Service)
		if err != nil {
			return nil, err
		}
		changed := spec.changedService(service)
		if err := changed.Validate(); err != nil {
			return nil, codes.BadIntent.New("%v", err)
		}
		key := fleet.PrefixService + spec.Service
		return singleWrite(encodePatchedRow(key, rows[key].Value, service, changed))
	case Route:
		return routeChanges(spec, rows)
	case Account:
		return accountChanges(spec, rows)
	}
	return nil, codes.BadIntent.New("kind %q is not known", spec.Kind)
}

func singleWrite(write RowWrite, err error) ([]RowWrite, error) { return []RowWrite{write}, err }

// changedService returns the service with the floor, limits or preset of the spec.
func (s Spec) changedService(service fleet.Service) fleet.Service {
	switch s.Kind {
	case Floor:
		service.FloorSlots = *s.FloorSlots
	case Preset:
		service.Preset = s.Preset.Name
		service.LateDetectionCost = s.Preset.LateDetectionCost
		service.FalseEjectionCost = s.Preset.FalseEjectionCost
	case Limits:
		setIfGiven(&service.RetryRatio, s.Limits.RetryRatio)
		setIfGiven(&service.QueueFactor, s.Limits.QueueFactor)
		setIfGiven(&service.DefaultDeadlineMS, s.Limits.DefaultDeadlineMS)
		setIfGiven(&service.Hedge, s.Limits.Hedge)
	}
	return service
}

func setIfGiven[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// returnChanges deletes every withdrawal with the scope and target of the spec.
func returnChanges(spec Spec, rows Rows) ([]RowWrite, error) {
	withdrawals, err := rows.withdrawals()
	if err != nil {
		return nil, err
	}
	var writes []RowWrite
	for _, withdrawal := range withdrawals {
		if spec.endsWithdrawal(withdrawal) {
			writes = append(writes, RowWrite{Key: fleet.PrefixWithdrawal + withdrawal.ID})
		}
	}
	if len(writes) == 0 {
		return nil, codes.NothingWithdrawn.New("%s %s is not withdrawn", spec.Scope, spec.Target)
	}
	return writes, nil
}

func routeChanges(spec Spec, rows Rows) ([]RowWrite, error) {
	key := fleet.PrefixRoute + spec.Route.ID
	if spec.Delete {
		return deleteRow(key, rows)
	}
	if _, err := rows.service(spec.Route.Service); err != nil {
		return nil, err
	}
	return singleWrite(encodeRow(key, spec.Route))
}

func accountChanges(spec Spec, rows Rows) ([]RowWrite, error) {
	key := fleet.PrefixAccount + spec.Account.ID
	if spec.Delete {
		return deleteRow(key, rows)
	}
	return singleWrite(encodeRow(key, spec.Account))
}

func deleteRow(key string, rows Rows) ([]RowWrite, error) {
	if rows[key].Value == nil {
		return nil, codes.UnknownTarget.New("row %s does not exist", key)
	}
	return []RowWrite{{Key: key}}, nil
}

// NeededKeys returns the keys of the rows that a plan is computed from, besides all
// withdrawals. They must be read before the withdrawals: a stop that is approved
// in between then changes the version of a service row, and the plan is stale.
func NeededKeys(spec Spec, view *fleet.View) []string {
	var keys []string
	for _, name := range AffectedServices(spec, view) {
		keys = append(keys, fleet.PrefixService+name)
	}
	switch spec.Kind {
	case Route:
		keys = append(keys, fleet.PrefixRoute+spec.Route.ID)
	case Account:
		keys = append(keys, fleet.PrefixAccount+spec.Account.ID)
	}
	return keys
}

// TouchedKeys returns the keys of the rows that the approval of a stop rewrites
// with the same value. The new versions of the service rows make every other plan
// for these services stale, so that two stops that rely on the same capacity
// cannot both be approved.
func TouchedKeys(in Intent) []string {
	if !in.Spec.IsStop() || in.Plan == nil {
		return nil
	}
	var keys []string
	for _, impact := range in.Plan.Services {
		keys = append(keys, fleet.PrefixService+impact.Service)
	}
	return keys
}
