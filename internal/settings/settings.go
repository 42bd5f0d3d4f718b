package settings

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
)

// Node holds the settings of one tarragond process.
type Node struct {
	// ID names the node, unique within the fleet.
	ID         string    `yaml:"id"`
	Region     string    `yaml:"region"`
	DataCentre string    `yaml:"data_centre"`
	Listen     Listen    `yaml:"listen"`
	Seeds      []string  `yaml:"seeds"`
	Platform   Platform  `yaml:"platform"`
	Secret     string    `yaml:"secret"`
	Limits     Limits    `yaml:"limits"`
	Timing     Timing    `yaml:"timing"`
	Telemetry  Telemetry `yaml:"telemetry"`
}

// Listen holds the host:port of each listener.
type Listen struct {
	Caller  string `yaml:"caller"`
	Traffic string `yaml:"traffic"`
	Control string `yaml:"control"`
	Attach  string `yaml:"attach"`
	Admin   string `yaml:"admin"`
}

// Platform says how to reach the platform's table service.
type Platform struct {
	// URL is the base URL of the service.
	URL string `yaml:"url"`
	// Timeout bounds one call. Default 2s.
	Timeout time.Duration `yaml:"timeout"`
	// PollInterval is the mean time between two reads of the change counter. Default 5s.
	PollInterval time.Duration `yaml:"poll_interval"`
}

// Limits bounds what the node takes in and keeps.
type Limits struct {
	// RequestBody is the largest request body in bytes. Default 1 MiB.
	RequestBody int64 `yaml:"request_body"`
	// BufferedAnswer is the largest answer in bytes that is read whole before
	// any of it is sent on. Default 256 KiB.
	BufferedAnswer int64 `yaml:"buffered_answer"`
	// HeaderBytes is the largest request header in bytes. Default 32 KiB.
	HeaderBytes int `yaml:"header_bytes"`
	// LedgerEntries bounds the recorded non-idempotent requests. Default 200000.
	LedgerEntries int `yaml:"ledger_entries"`
	// LedgerBytes bounds the bodies of recorded answers. Default 64 MiB.
	LedgerBytes int64 `yaml:"ledger_bytes"`
	// MaxDeadline is the longest deadline a caller may ask for. Default 30s.
	MaxDeadline time.Duration `yaml:"max_deadline"`
}

// Timing holds the intervals of control work.
type Timing struct {
	// GossipInterval is the time between two exchanges of records. Default 500ms.
	GossipInterval time.Duration `yaml:"gossip_interval"`
	// ForgetAfter is how long the record of a silent node is kept. Default 10m.
	ForgetAfter time.Duration `yaml:"forget_after"`
	// StopLimit bounds a graceful stop. Default 60s.
	StopLimit time.Duration `yaml:"stop_limit"`
	// KeyLifetime is the validity of an idempotency key. Default 10m.
	KeyLifetime time.Duration `yaml:"key_lifetime"`
	// FenceRetention is how long the ledger remembers a request. It exceeds the
	// time for which TCP may still deliver an old request. Default 30m.
	FenceRetention time.Duration `yaml:"fence_retention"`
	// FreezeThreshold is the gap between control ticks after which the node
	// takes no work until its view is fresh. Default 2s.
	FreezeThreshold time.Duration `yaml:"freeze_threshold"`
}

// Telemetry holds the settings of logs, metrics and traces.
type Telemetry struct {
	// LogFormat is "json" or "console". Default "json".
	LogFormat string `yaml:"log_format"`
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string `yaml:"log_level"`
	// OTLPEndpoint is the host:port of an OTLP/HTTP collector; empty for none.
	OTLPEndpoint string `yaml:"otlp_endpoint"`
	// SampleRatio is the share of requests that are traced, from 0 to 1. Default 0.
	SampleRatio float64 `yaml:"sample_ratio"`
}

// Defaults returns the settings that hold for keys the file does not name.
func Defaults() Node {
	return Node{
		Platform: Platform{Timeout: 2 * time.Second, PollInterval: 5 * time.Second},
		Limits: Limits{
			RequestBody:    1 << 20,
			BufferedAnswer: 256 << 10,
			HeaderBytes:    32 << 10,
			LedgerEntries:  200_000,
			LedgerBytes:    64 << 20,
			MaxDeadline:    30 * time.Second,
		},
		Timing: Timing{
			GossipInterval:  500 * time.Millisecond,
			ForgetAfter:     10 * time.Minute,
			StopLimit:       time.Minute,
			KeyLifetime:     10 * time.Minute,
			FenceRetention:  30 * time.Minute,
			FreezeThreshold: 2 * time.Second,
		},
		Telemetry: Telemetry{LogFormat: "json", LogLevel: "info"},
	}
}

// Load reads the settings of a node from a YAML file.
func Load(path string) (Node, error) {
	node := Defaults()
	data, err := os.ReadFile(path)
	if err != nil {
		return node, trace.ConvertSystemError(err)
	}
	if err := yaml.UnmarshalWithOptions(data, &node, yaml.Strict()); err != nil {
		return node, trace.BadParameter("%s: %v", path, err)
	}
	return node, nil
}
