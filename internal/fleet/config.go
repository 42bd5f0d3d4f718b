package fleet

import (
	"encoding/json"
	"time"
)

// Service is the configuration of one service.
type Service struct {
	Name string `json:"name"`
	// FloorSlots is the minimum healthy capacity in slots. Ejections and planned
	// stops never reduce the service below it.
	FloorSlots int `json:"floor_slots"`
	// Preset names the detection preset: "trust" or "paramo".
	Preset string `json:"preset"`
	// LateDetectionCost and FalseEjectionCost weight the two kinds of
	// detection error; if both are 0, the values of the preset apply.
	LateDetectionCost float64 `json:"late_detection_cost,omitempty"`
	FalseEjectionCost float64 `json:"false_ejection_cost,omitempty"`
	// RetryRatio is the retry budget as a ratio of retries to first attempts. Default 0.1.
	RetryRatio float64 `json:"retry_ratio,omitempty"`
	// QueueFactor is the length of the admission queue as a multiple of the
	// slots. Default 1.
	QueueFactor float64 `json:"queue_factor,omitempty"`
	// DefaultDeadlineMS applies to requests without a deadline. Default 2000.
	DefaultDeadlineMS int64 `json:"default_deadline_ms,omitempty"`
	// Hedge enables hedged reads.
	Hedge bool `json:"hedge,omitempty"`
	// ConnLimit bounds the connections to one server from all callers; 0 if the
	// configuration does not set it.
	ConnLimit int `json:"-"`
	// HealthPath is the path at which the servers tell their state; empty if they
	// do not.
	HealthPath string `json:"-"`
}

// DefaultDeadline returns the time allowed for requests without a deadline.
func (s Service) DefaultDeadline() time.Duration {
	if s.DefaultDeadlineMS <= 0 {
		return 2 * time.Second
	}
	return time.Duration(s.DefaultDeadlineMS) * time.Millisecond
}

// Route maps a host and path prefix to a service.
type Route struct {
	ID string `json:"id"`
	// Host is the host name; empty matches every host.
	Host string `json:"host,omitempty"`
	// Prefix is a path prefix that starts and ends with "/".
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Idempotent lists the methods, beyond the safe ones (GET, HEAD, OPTIONS),
	// that may run more than once. All other methods are non-idempotent.
	Idempotent []string `json:"idempotent,omitempty"`
	// Kind, if set, overrides the rule by method. Kind and the fields below come
	// from a configuration that operators write to the platform; the rows
	// written by intents do not contain them.
	Kind RequestKind `json:"-"`
	// Split distributes the requests among services by weight and overrides
	// Service; it is empty for a route to a single service.
	Split []Share `json:"-"`
	// Timeout bounds how long a caller waits; 0 for no bound.
	Timeout time.Duration `json:"-"`
	// Objective is the latency objective: the time within which a response is
	// fully useful.
	Objective time.Duration `json:"-"`
	// MaxAttempts bounds the number of servers that one request is sent to; 0 for
	// no bound.
	MaxAttempts int `json:"-"`
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int `json:"-"`
	// Public routes serve requests without an account key.
	Public bool `json:"-"`
}

// RequestKind says whether a request may run more than once.
type RequestKind string

// Request kinds. If the kind is empty, the method of the request decides.
const (
	KindIdempotent    RequestKind = "idempotent"
	KindNonIdempotent RequestKind = "non-idempotent"
)

// Share is one destination of a traffic split.
type Share struct {
	Service string
	Weight  float64
}

// RequestLimits bounds what callers may send.
type RequestLimits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes, BodyBytes int64
	// HeaderTime bounds the time to read a header, IdleTime the time that a
	// connection stays idle.
	HeaderTime, IdleTime time.Duration
}

// Account is a client account.
type Account struct {
	ID string `json:"id"`
	// Weight is the account's share of capacity under load, relative to other
	// accounts. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// RatePerSecond limits the requests of the account: at one entry node if it
	// comes from an intent, over all nodes if it comes from the platform. 0 means
	// no limit.
	RatePerSecond float64 `json:"rate,omitempty"`
	// Burst is the number of requests that the account may send at once beyond
	// its rate. It and the fields below come from a configuration that operators
	// write to the platform; the rows written by intents do not contain them.
	Burst float64 `json:"-"`
	// Priority takes the place of the priority of the route; nil if the account
	// has none.
	Priority *int `json:"-"`
}

// WithdrawalScope is the kind of target that a Withdrawal takes out of service.
type WithdrawalScope string

// Withdrawal scopes. An instance is one node with the servers attached to it.
const (
	ScopeServer     WithdrawalScope = "server"
	ScopeInstance   WithdrawalScope = "instance"
	ScopeDataCentre WithdrawalScope = "data-centre"
)

// Withdrawal takes a backend server, an instance or a data centre out of
// service. It comes from a confirmed and approved intent.
type Withdrawal struct {
	ID     string          `json:"id"`
	Scope  WithdrawalScope `json:"scope"`
	Target string          `json:"target"`
	// Intent is the ID of the intent that created the withdrawal.
	Intent string `json:"intent"`
	// NotBefore and NotAfter bound a maintenance window by the platform's clock;
	// zero means unbounded.
	NotBefore time.Time `json:"not_before,omitzero"`
	NotAfter  time.Time `json:"not_after,omitzero"`
	// Held is set if capacity was lost after approval, so that the stop waits.
	Held bool `json:"held,omitempty"`
}

// ActiveAt reports whether the withdrawal is in effect at now.
func (w Withdrawal) ActiveAt(now time.Time) bool {
	if w.Held {
		return false
	}
	if !w.NotBefore.IsZero() && now.Before(w.NotBefore) {
		return false
	}
	return w.NotAfter.IsZero() || now.Before(w.NotAfter)
}

// Covers reports whether the withdrawal applies to the given server of the given
// node.
func (w Withdrawal) Covers(node *NodeRecord, server *ServerRecord) bool {
	switch w.Scope {
	case ScopeServer:
		return w.Target == server.ID
	case ScopeInstance:
		return w.Target == node.ID
	case ScopeDataCentre:
		return w.Target == node.DataCentre
	}
	return false
}

// Key prefixes of configuration rows in the platform's table; the ID follows.
const (
	PrefixService    = "service/"
	PrefixRoute      = "route/"
	PrefixAccount    = "account/"
	PrefixWithdrawal = "withdrawal/"
)

// Row is one configuration row with the version of the change that last wrote it.
// A nil value marks a deleted row.
type Row struct {
	Key     string          `json:"k"`
	Version uint64          `json:"v"`
	Value   json.RawMessage `json:"d,omitempty"`
}

// Config is the decoded configuration in force. It is immutable once published.
type Config struct {
	// Version is the value of the change counter up to which all changes are
	// included.
	Version     uint64
	Services    map[string]Service
	Routes      map[string]Route
	Accounts    map[string]Account
	Withdrawals map[string]Withdrawal
	// Limits bounds the requests of callers; for zero values the settings of the
	// node apply.
	Limits RequestLimits
	// Index finds the route of a request.
	Index *RouteIndex
	// Keys finds the account of a request; nil if the configuration has no
	// accounts with keys.
	Keys *AccountKeys
}

// EmptyConfig returns a configuration of version 0 without rows.
func EmptyConfig() *Config {
	return &Config{
		Services:    map[string]Service{},
		Routes:      map[string]Route{},
		Accounts:    map[string]Account{},
		Withdrawals: map[string]Withdrawal{},
		Index:       NewRouteIndex(nil),
	}
}
