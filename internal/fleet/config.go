package fleet

import (
	"encoding/json"
	"time"
)

// Service is the configuration of one service.
type Service struct {
	Name string `json:"name"`
	// FloorSlots is the healthy capacity, in slots, below which ejections and
	// planned stops never bring the service.
	FloorSlots int `json:"floor_slots"`
	// Preset names the detection preset: "trust" or "paramo".
	Preset string `json:"preset"`
	// LateDetectionCost and FalseEjectionCost weigh the two detection errors;
	// when both are 0 the preset's values hold.
	LateDetectionCost float64 `json:"late_detection_cost,omitempty"`
	FalseEjectionCost float64 `json:"false_ejection_cost,omitempty"`
	// RetryRatio is the retry budget as a share of fresh requests. Default 0.1.
	RetryRatio float64 `json:"retry_ratio,omitempty"`
	// QueueFactor is the length of the admission queue as a multiple of the
	// slots. Default 1.
	QueueFactor float64 `json:"queue_factor,omitempty"`
	// DefaultDeadlineMS applies to requests that name no deadline. Default 2000.
	DefaultDeadlineMS int64 `json:"default_deadline_ms,omitempty"`
	// Hedge enables hedged reads.
	Hedge bool `json:"hedge,omitempty"`
	// ConnLimit bounds the connections to one server from all callers; 0 if the
	// configuration does not say.
	ConnLimit int `json:"-"`
}

// DefaultDeadline returns the deadline of requests that name none.
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
	// that may run more than once. Every other method is non-idempotent.
	Idempotent []string `json:"idempotent,omitempty"`
	// Kind, if set, replaces the rule by method. It and the fields below come
	// from a configuration that operators write to the platform; the rows of
	// the intents do not hold them.
	Kind RequestKind `json:"-"`
	// Split distributes the requests among services by weight and replaces
	// Service; empty for a route of one service.
	Split []Share `json:"-"`
	// Timeout is the longest time that a caller is kept waiting; 0 for no bound.
	Timeout time.Duration `json:"-"`
	// Objective is the latency within which an answer is fully useful.
	Objective time.Duration `json:"-"`
	// MaxAttempts bounds the servers that one request is sent to; 0 for no bound.
	MaxAttempts int `json:"-"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `json:"-"`
}

// RequestKind says what may be repeated.
type RequestKind string

// The kinds. The empty kind goes by the method of the request.
const (
	KindIdempotent    RequestKind = "idempotent"
	KindNonIdempotent RequestKind = "non-idempotent"
)

// Share is one part of a split route.
type Share struct {
	Service string
	Weight  float64
}

// RequestLimits bounds what callers may send.
type RequestLimits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes, BodyBytes int64
	// HeaderTime bounds the arrival of a header, IdleTime an idle connection.
	HeaderTime, IdleTime time.Duration
}

// Account is a client account.
type Account struct {
	ID string `json:"id"`
	// Weight is the account's share under load relative to others. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// RatePerSecond limits the account at one entry node; 0 means no limit.
	RatePerSecond float64 `json:"rate,omitempty"`
}

// WithdrawalScope says what a Withdrawal takes out of service.
type WithdrawalScope string

// The scopes. An instance is one node with the servers attached to it.
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
	// Intent is the ID of the intent that caused it.
	Intent string `json:"intent"`
	// NotBefore and NotAfter bound a maintenance window in the clock of the
	// platform; zero means unbounded.
	NotBefore time.Time `json:"not_before,omitzero"`
	NotAfter  time.Time `json:"not_after,omitzero"`
	// Held is set when capacity was lost after approval and the stop waits.
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

// Covers reports whether the withdrawal takes out the given server of the given node.
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

// Keys of configuration rows in the platform's table are a prefix and an ID.
const (
	PrefixService    = "service/"
	PrefixRoute      = "route/"
	PrefixAccount    = "account/"
	PrefixWithdrawal = "withdrawal/"
)

// Row is one configuration row with the version that last changed it. A nil
// value marks a deleted row.
type Row struct {
	Key     string          `json:"k"`
	Version uint64          `json:"v"`
	Value   json.RawMessage `json:"d,omitempty"`
}

// Config is the decoded configuration in force. It is immutable once published.
type Config struct {
	// Version is the value of the change counter that the rows correspond to.
	Version     uint64
	Services    map[string]Service
	Routes      map[string]Route
	Accounts    map[string]Account
	Withdrawals map[string]Withdrawal
	// Limits bounds the requests of callers; zero values mean that the
	// settings of the node hold.
	Limits RequestLimits
	// Index finds the route of a request.
	Index *RouteIndex
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
