package fleet

import (
	"fmt"
	"regexp"
	"strings"
)

// Detection presets.
const (
	PresetTrust  = "trust"
	PresetParamo = "paramo"
)

// idPattern matches IDs that may be part of a row's key.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// hashPattern matches a SHA-256 hash in lower-case hexadecimal digits.
var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// ValidID reports whether id may be part of a row's key: 1 to 128 letters,
// digits, dots, underscores, colons and hyphens, beginning with a letter or digit.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Validate returns an error that names the first value out of range.
func (s Service) Validate() error {
	switch {
	case !ValidID(s.Name):
		return fmt.Errorf("service name %q is not a valid name", s.Name)
	case s.FloorSlots < 0:
		return fmt.Errorf("service %s: floor_slots is %d, it must not be negative", s.Name, s.FloorSlots)
	case s.Preset != PresetTrust && s.Preset != PresetParamo:
		return fmt.Errorf("service %s: preset is %q, it must be %q or %q", s.Name, s.Preset, PresetTrust, PresetParamo)
	case s.LateDetectionCost < 0 || s.FalseEjectionCost < 0:
		return fmt.Errorf("service %s: detection costs must not be negative", s.Name)
	case s.RetryRatio < 0 || s.RetryRatio > 1:
		return fmt.Errorf("service %s: retry_ratio is %g, it must be between 0 and 1", s.Name, s.RetryRatio)
	case s.QueueFactor < 0:
		return fmt.Errorf("service %s: queue_factor is %g, it must not be negative", s.Name, s.QueueFactor)
	case s.DefaultDeadlineMS < 0:
		return fmt.Errorf("service %s: default_deadline_ms is %d, it must not be negative", s.Name, s.DefaultDeadlineMS)
	}
	return nil
}

// Validate returns an error that names the first value out of range.
func (r Route) Validate() error {
	switch {
	case !ValidID(r.ID):
		return fmt.Errorf("route ID %q is not a valid name", r.ID)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("route %s: prefix is %q, it must start and end with a slash", r.ID, r.Prefix)
	case !ValidID(r.Service):
		return fmt.Errorf("route %s: service %q is not a valid name", r.ID, r.Service)
	}
	return nil
}

// Validate returns an error that names the first value out of range.
func (a Account) Validate() error {
	switch {
	case !ValidID(a.ID):
		return fmt.Errorf("account ID %q is not a valid name", a.ID)
	case a.Weight < 0:
		return fmt.Errorf("account %s: weight is %g, it must not be negative", a.ID, a.Weight)
	case a.RatePerSecond < 0:
		return fmt.Errorf("account %s: rate is %g, it must not be negative", a.ID, a.RatePerSecond)
	}
	return nil
}

// Validate returns an error that names the first value out of range.
func (o Operator) Validate() error {
	switch {
	case !ValidID(o.ID):
		return fmt.Errorf("operator ID %q is not a valid name", o.ID)
	case o.Role != RoleOperator && o.Role != RoleApprover:
		return fmt.Errorf("operator %s: role is %q, it must be %q or %q", o.ID, o.Role, RoleOperator, RoleApprover)
	case !hashPattern.MatchString(o.TokenHash):
		return fmt.Errorf("operator %s: token_hash must be a SHA-256 hash in 64 lower-case hexadecimal digits", o.ID)
	}
	return nil
}
