package controller

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
)

// GateConfiguration is the readiness gate that is closed while the node has no
// complete configuration.
const GateConfiguration = "configuration"

// ConfigSource is the part of confsync.Syncer that the configuration controller
// uses.
type ConfigSource interface {
	// Fresh reports whether the configuration was complete after the last Refresh.
	Fresh() bool
	// Refresh demands that the configuration is checked again.
	Refresh()
}

// Configuration opens and closes the gate of the configuration. The rows
// themselves are applied by functions that the source posts to the board.
type Configuration struct {
	source    ConfigSource
	freezeGap time.Duration
}

// NewConfiguration returns the controller. A gap between ticks above freezeGap
// counts as a freeze.
func NewConfiguration(source ConfigSource, freezeGap time.Duration) *Configuration {
	return &Configuration{source: source, freezeGap: freezeGap}
}

// Name implements blackboard.Controller.
func (c *Configuration) Name() string { return "configuration" }

// Step implements blackboard.Controller.
func (c *Configuration) Step(_ time.Time, e *blackboard.Entries) {
	if e.TickGap > c.freezeGap {
		c.source.Refresh()
	}
	e.SetGate(GateConfiguration, c.source.Fresh())
}
