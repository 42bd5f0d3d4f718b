package api

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/intent"
)

// Types of the administration API that are identical to the rows stored in the platform's table.
type (
	// Intent is a requested change with its state and newest plan.
	Intent = intent.Intent
	// IntentSpec describes the change that an operator requests.
	IntentSpec = intent.Spec
	// Plan lists the callers, servers and capacity that a change affects.
	Plan = intent.Plan
	// Audit is the audit record of one step of an intent.
	Audit = intent.Audit
)

// Paths of the administration API on a node's admin address. Steps of an
// intent are PathIntents + "/" + ID + "/" + the name of the step.
const (
	PathIntents  = "/v1/intents"
	PathStatus   = "/v1/status"
	PathNodes    = "/v1/nodes"
	PathServers  = "/v1/servers"
	PathServices = "/v1/services"
	PathAudit    = "/v1/audit"
)

// CreateIntent is the request body for creating an intent.
type CreateIntent struct {
	// ID makes the call idempotent: a repeat with the same ID and spec returns
	// the existing intent. If ID is empty, the node generates one.
	ID   string     `json:"id,omitempty"`
	Spec IntentSpec `json:"spec"`
}

// ConfirmPlan is the request body of the steps confirm and approve.
type ConfirmPlan struct {
	// Plan is the number of the plan that was reviewed.
	Plan int `json:"plan"`
}

// EndIntent is the request body of the steps cancel and refuse.
type EndIntent struct {
	Reason string `json:"reason,omitempty"`
}

// IntentList is a page of intents in ascending order of ID.
type IntentList struct {
	Intents []Intent `json:"intents"`
	// Next is the value of "after" for the next page; empty on the last page.
	Next string `json:"next,omitempty"`
}

// AuditList is a page of audit rows in ascending order of intent and step.
type AuditList struct {
	Rows []Audit `json:"rows"`
	// Next is the value of "after" for the next page; empty on the last page.
	Next string `json:"next,omitempty"`
}

// Status is the fleet as one node sees it.
type Status struct {
	// Node is the ID of the answering node. Ready reports whether its view is current.
	Node  string    `json:"node"`
	Ready bool      `json:"ready"`
	At    time.Time `json:"at"`
	// ConfigVersion is the newest configuration version of any known node.
	ConfigVersion uint64 `json:"config_version"`
	// StoreDown reports whether the circuit breaker of the platform client is open.
	StoreDown bool `json:"store_down"`
	// Lagging lists the reachable nodes with an older configuration.
	Lagging []string `json:"lagging"`
	// Down lists the nodes that are considered unreachable.
	Down  []string     `json:"down"`
	Nodes []NodeStatus `json:"nodes"`
	// BelowFloor lists the services whose routable capacity is below their floor.
	BelowFloor  []string           `json:"below_floor"`
	Withdrawals []WithdrawalStatus `json:"withdrawals"`
}

// NodeStatus is the status of one node.
type NodeStatus struct {
	ID            string `json:"id"`
	Region        string `json:"region"`
	DataCentre    string `json:"data_centre"`
	AdminAddr     string `json:"admin_addr"`
	ConfigVersion uint64 `json:"config_version"`
	// State is "up", "down", "leaving" or "left".
	State       string   `json:"state"`
	Servers     int      `json:"servers"`
	Unreachable []string `json:"unreachable,omitempty"`
}

// ServerStatus is the status of one backend server.
type ServerStatus struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Addr       string `json:"addr"`
	Slots      int    `json:"slots"`
	// Warmth is the fraction of full capacity reached during warm-up, from 0 to 1.
	Warmth      float64   `json:"warmth"`
	Health      string    `json:"health"`
	HealthSince time.Time `json:"health_since,omitzero"`
	// Standing says whether the server gets its full share of requests, a reduced
	// share or none.
	Standing string `json:"standing"`
	// PathDown reports that the answering node has no direct connection to the host node.
	PathDown bool `json:"path_down,omitempty"`
}

// ServiceStatus is the status of one service. Capacities are in slots.
type ServiceStatus struct {
	Name           string `json:"name"`
	Preset         string `json:"preset"`
	FloorSlots     int    `json:"floor_slots"`
	AnnouncedSlots int    `json:"announced_slots"`
	RoutableSlots  int    `json:"routable_slots"`
	// SpareSlots is the routable capacity minus the floor; negative below the floor.
	SpareSlots int `json:"spare_slots"`
	Servers    int `json:"servers"`
	SetAside   int `json:"set_aside"`
}

// WithdrawalStatus is the status of a withdrawal: in force, scheduled, over or held.
type WithdrawalStatus struct {
	Intent    string    `json:"intent"`
	Scope     string    `json:"scope"`
	Target    string    `json:"target"`
	Active    bool      `json:"active"`
	Held      bool      `json:"held,omitempty"`
	NotBefore time.Time `json:"not_before,omitzero"`
	NotAfter  time.Time `json:"not_after,omitzero"`
}
