package loadgen

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// Mix describes the load.
type Mix struct {
	// Seed seeds every random choice of the run except keys.
	Seed uint64 `yaml:"seed"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `yaml:"rate"`
	// Duration is how long requests arrive.
	Duration time.Duration `yaml:"duration"`
	// Connections is the limit of connections to each entry address. Default 64.
	Connections int `yaml:"connections"`
	// InFlight is the limit of requests in flight; arrivals beyond it are not sent but counted as
	// skipped. Default 4096.
	InFlight int `yaml:"in_flight"`
	// Deadline is the deadline that is sent with each request. Default 2s.
	Deadline time.Duration `yaml:"deadline"`
	// MaxRetries is the limit of retries of a keyed request. Default 5.
	MaxRetries int `yaml:"repeats"`
	// Accounts are the client accounts, one of which is drawn for each request; none by default.
	Accounts []string `yaml:"accounts"`
	// Targets are the services that receive the load.
	Targets []Target `yaml:"targets"`
}

// Target is one service of the mix.
type Target struct {
	// Service is the name of the service, for reports and for requests for idempotency keys.
	Service string `yaml:"service"`
	// Host is the Host header. Default the entry address.
	Host string `yaml:"host"`
	// Path is the path of the requests, as in "/bookings/".
	Path string `yaml:"path"`
	// Weight is the share of arrivals relative to the other targets. Default 1.
	Weight float64 `yaml:"weight"`
	// Writes is the share of non-idempotent writes (POST), from 0 to 1.
	Writes float64 `yaml:"writes"`
	// Keyed is the share of writes that carry an idempotency key, from 0 to 1.
	Keyed float64 `yaml:"keyed"`
	// NodeKeys is the share of keyed writes whose key is issued by a node, from 0 to 1; the other keys
	// are chosen by the caller.
	NodeKeys float64 `yaml:"node_keys"`
	// Padding is the number of padding bytes that the response must have.
	Padding int `yaml:"padding"`
}

// Defaults of Mix.
const (
	defaultConnections = 64
	defaultInFlight    = 4096
	defaultDeadline    = 2 * time.Second
	defaultMaxRetries  = 5
)

// DefaultMix returns the values of the keys that a mix file leaves out.
func DefaultMix() Mix {
	return Mix{Seed: 1, Rate: 100, Duration: 10 * time.Second, Connections: defaultConnections,
		InFlight: defaultInFlight, Deadline: defaultDeadline, MaxRetries: defaultMaxRetries}
}

// LoadMix reads a Mix from a YAML file. Unknown keys are refused.
func LoadMix(name string) (Mix, error) {
	mix := DefaultMix()
	data, err := os.ReadFile(name)
	if err != nil {
		return mix, trace.ConvertSystemError(err)
	}
	if err := yaml.UnmarshalWithOptions(data, &mix, yaml.Strict()); err != nil {
		return mix, trace.BadParameter("%s: %v", name, err)
	}
	return mix, nil
}

// Check sets the default weight of each target that has none and returns an error that names the
// first value that is out of range.
func (m *Mix) Check() error {
	switch {
	case m.Rate <= 0 || m.Rate > 1e6:
		return trace.BadParameter("rate must be above 0 and at most 1000000 per second")
	case m.Duration <= 0 || m.Duration > 24*time.Hour:
		return trace.BadParameter("duration must be above 0 and at most 24h")
	case m.Connections < 1 || m.InFlight < 1 || m.MaxRetries < 0:
		return trace.BadParameter("connections and in_flight must be at least 1, repeats at least 0")
	case m.Deadline < time.Millisecond:
		return trace.BadParameter("deadline must be at least 1ms")
	case len(m.Targets) == 0:
		return trace.BadParameter("the mix has no target")
	}
	for i := range m.Targets {
		if err := m.Targets[i].check(); err != nil {
			return trace.BadParameter("target %d: %v", i+1, err)
		}
	}
	return nil
}

func (t *Target) check() error {
	if t.Weight == 0 {
		t.Weight = 1
	}
	if !strings.HasPrefix(t.Path, "/") || strings.ContainsAny(t.Path, "?# ") {
		return fmt.Errorf("path %q must start with / and have no query", t.Path)
	}
	if t.Weight < 0 || t.Padding < 0 {
		return fmt.Errorf("weight and padding must not be negative")
	}
	for _, share := range []float64{t.Writes, t.Keyed, t.NodeKeys} {
		if !(share >= 0 && share <= 1) {
			return fmt.Errorf("writes, keyed and node_keys must be from 0 to 1")
		}
	}
	if t.NodeKeys > 0 && t.Service == "" {
		return fmt.Errorf("node_keys needs the name of the service")
	}
	return nil
}

// name identifies the target in reports.
func (t *Target) name() string {
	if t.Service != "" {
		return t.Service
	}
	return t.Path
}
