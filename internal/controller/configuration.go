package controller

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
)

// GateConfiguration is the readiness condition that is not met while the node has no complete
// configuration.
const GateConfiguration = "configuration"

// ConfigSource is the part of confsync.Syncer that the configuration controller uses.
type ConfigSource interface {
	// Fresh reports whether the configuration was complete after the last Refresh.
	Fresh() bool
	// Refresh requests another check of the configuration.
	Refresh()
}

// Configuration maintains GateConfiguration. The configuration rows are applied by functions
// that the source posts to the board.
type Configuration struct {
	source          ConfigSource
	freezeThreshold time.Duration
}

// NewConfiguration returns the controller. It requests a refresh when the gap between two ticks
// exceeds freezeThreshold, because the process was then suspended.
func NewConfiguration(source ConfigSource, freezeThreshold time.Duration) *Configuration {
	return &Configuration{source: source, freezeThreshold: freezeThreshold}
}

// Name implements blackboard.Controller.
func (c *Configuration) Name() string { return "configuration" }

// Step implements blackboard.Controller.
func (c *Configuration) Step(_ time.Time, e *blackboard.Entries) {
	if e.TickGap > c.freezeThreshold {
		c.source.Refresh()
	}
	e.SetGate(GateConfiguration, c.source.Fresh())
}
