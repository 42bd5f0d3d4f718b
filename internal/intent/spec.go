package intent

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Kind is the kind of change that an intent makes.
type Kind string

// The kinds of intents.
const (
	// Withdraw takes a server, an instance or a data centre out of service.
	Withdraw Kind = "withdraw"
	// Return puts a withdrawn target back into service.
	Return Kind = "return"
	// Maintenance takes a target out of service during a window.
	Maintenance Kind = "maintenance"
	// Floor changes the floor of a service.
	Floor Kind = "floor"
	// Route adds, changes or deletes a route.
	Route Kind = "route"
	// Limits changes the limits of a service.
	Limits Kind = "limits"
	// Preset changes the detection preset or costs of a service.
	Preset Kind = "preset"
	// Account adds, changes or deletes a client account.
	Account Kind = "account"
)

// Spec is the change that an operator requests. Kind selects the fields that are used.
type Spec struct {
	Kind Kind `json:"kind"`
	// Scope and Target name what Withdraw, Return and Maintenance apply to.
	Scope  fleet.WithdrawalScope `json:"scope,omitempty"`
	Target string                `json:"target,omitempty"`
	// NotBefore and NotAfter are the window of Maintenance.
	NotBefore time.Time `json:"not_before,omitzero"`
	NotAfter  time.Time `json:"not_after,omitzero"`
	// Service is the name of the service that Floor, Limits and Preset change.
	Service string `json:"service,omitempty"`
	// FloorSlots is the new floor in slots, for Floor.
	FloorSlots *int `json:"floor_slots,omitempty"`
	// Limits are the new limits, for Limits.
	Limits *ServiceLimits `json:"limits,omitempty"`
	// Preset holds the new detection settings, for Preset.
	Preset *DetectionPreset `json:"preset,omitempty"`
	// Route and Account are the new rows, for Route and Account.
	Route   *fleet.Route   `json:"route,omitempty"`
	Account *fleet.Account `json:"account,omitempty"`
	// Delete deletes the route or account instead of writing it.
	Delete bool `json:"delete,omitempty"`
	// Reason is the reason for the change, shown to the approver and stored in
	// the audit row.
	Reason string `json:"reason,omitempty"`
}

// ServiceLimits are new limits of a service; a nil limit is not changed.
type ServiceLimits struct {
	RetryRatio        *float64 `json:"retry_ratio,omitempty"`
	QueueFactor       *float64 `json:"queue_factor,omitempty"`
	DefaultDeadlineMS *int64   `json:"default_deadline_ms,omitempty"`
	Hedge             *bool    `json:"hedge,omitempty"`
}

// DetectionPreset holds the detection settings of a service. A cost of 0 selects
// the cost of the preset.
type DetectionPreset struct {
	Name              string  `json:"name"`
	LateDetectionCost float64 `json:"late_detection_cost,omitempty"`
	FalseEjectionCost float64 `json:"false_ejection_cost,omitempty"`
}

// MaxWindow is the longest maintenance window. A longer stop must be a withdrawal,
// for which the plan assumes no end.
const MaxWindow = 30 * 24 * time.Hour

// IsStop reports whether the intent is a stop, which takes servers out of service.
func (s Spec) IsStop() bool { return s.Kind == Withdraw || s.Kind == Maintenance }

// Validate returns an error of code BadIntent that names the first missing or
// invalid value.
func (s Spec) Validate(now time.Time) error {
	switch s.Kind {
	case Withdraw, Return:
		return s.validateTarget()
	case Maintenance:
		if err := s.validateTarget(); err != nil {
			return err
		}
		return s.validateWindow(now)
	case Floor:
		if s.FloorSlots == nil || *s.FloorSlots < 0 {
			return codes.BadIntent.New("floor_slots must be given and must not be negative")
		}
		return s.validateService()
	case Limits:
		if s.Limits == nil || *s.Limits == (ServiceLimits{}) {
			return codes.BadIntent.New("at least one limit must be given")
		}
		return s.validateService()
	case Preset:
		if s.Preset == nil {
			return codes.BadIntent.New("preset must be given")
		}
		return s.validateService()
	case Route:
		return s.validateRoute()
	case Account:
		return s.validateAccount()
	}
	return codes.BadIntent.New("kind %q is not known", s.Kind)
}

func (s Spec) validateTarget() error {
	switch s.Scope {
	case fleet.ScopeServer, fleet.ScopeInstance, fleet.ScopeDataCentre:
	default:
		return codes.BadIntent.New("scope %q is not valid; it must be server, instance or data-centre", s.Scope)
	}
	if s.Target == "" {
		return codes.BadIntent.New("target must name the %s", s.Scope)
	}
	return nil
}

func (s Spec) validateWindow(now time.Time) error {
	switch {
	case s.NotBefore.IsZero() || s.NotAfter.IsZero():
		return codes.BadIntent.New("a maintenance intent needs not_before and not_after")
	case !s.NotBefore.Before(s.NotAfter):
		return codes.BadIntent.New("the window ends at %s, which is not after its start", s.NotAfter.Format(time.RFC3339))
	case !s.NotAfter.After(now):
		return codes.BadIntent.New("the window ends at %s, which is in the past", s.NotAfter.Format(time.RFC3339))
	case s.NotAfter.Sub(s.NotBefore) > MaxWindow:
		return codes.BadIntent.New("the window is longer than %s; withdraw the target instead", MaxWindow)
	}
	return nil
}

func (s Spec) validateService() error {
	if !fleet.ValidID(s.Service) {
		return codes.BadIntent.New("service %q is not a valid name", s.Service)
	}
	return nil
}

func (s Spec) validateRoute() error {
	if s.Route == nil {
		return codes.BadIntent.New("route must be given")
	}
	if s.Delete {
		return validateID("route ID", s.Route.ID)
	}
	if err := s.Route.Validate(); err != nil {
		return codes.BadIntent.New("%v", err)
	}
	return nil
}

func (s Spec) validateAccount() error {
	if s.Account == nil {
		return codes.BadIntent.New("account must be given")
	}
	if s.Delete {
		return validateID("account ID", s.Account.ID)
	}
	if err := s.Account.Validate(); err != nil {
		return codes.BadIntent.New("%v", err)
	}
	return nil
}

func validateID(name, id string) error {
	if !fleet.ValidID(id) {
		return codes.BadIntent.New("%s %q is not a valid name", name, id)
	}
	return nil
}
