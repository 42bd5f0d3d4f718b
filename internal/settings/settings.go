package settings

import "time"

// Node holds the settings of one tarragond process.
type Node struct {
	// ID is the name of the node, unique within the fleet.
	ID string
	// Region and DataCentre are where the node runs.
	Region, DataCentre string
	// Listen holds the addresses of the listeners.
	Listen Listen
	// Advertise holds the addresses given to others instead of those in Listen.
	Advertise Advertise
	// Seeds are control addresses of other nodes. Default none.
	Seeds []string
	// Platform configures the client of the platform's table service.
	Platform Platform
	// Secret signs idempotency keys; it is the same on every node of the fleet.
	Secret string
	// SecretFile is the file that Secret was read from; empty if the settings
	// contain the secret.
	SecretFile string
	// Limits bounds the input that the node accepts and the data that it keeps.
	Limits Limits
	// Timing holds intervals, lifetimes and time limits.
	Timing Timing
	// Telemetry configures logs and traces.
	Telemetry Telemetry
}

// Listen holds the IP address and port of each listener.
type Listen struct {
	// Caller accepts requests from callers.
	Caller string
	// Traffic accepts requests that other nodes forward.
	Traffic string
	// Control accepts gossip and fence calls from other nodes.
	Control string
	// Attach accepts announcements from backend servers.
	Attach string
	// Admin serves the administration API, health and metrics.
	Admin string
}

// Advertise holds the addresses that the node advertises, where they differ from
// those of the listeners, for example behind network address translation.
type Advertise struct {
	Caller  string
	Traffic string
	Control string
	Admin   string
}

// Platform configures the client of the platform's table service.
type Platform struct {
	// URL is the base URL of the service.
	URL string
	// Timeout is the timeout of one call. Default 2s.
	Timeout time.Duration
	// PollInterval is the mean interval between two reads of the change counter.
	// Default 5s.
	PollInterval time.Duration
}

// Limits bounds the input that the node accepts and the data that it keeps.
type Limits struct {
	// RequestBody is the maximum size of a request body in bytes. Default 1 MiB.
	RequestBody int64
	// BufferedAnswer is the maximum size in bytes of a response that is buffered
	// in full before any of it is forwarded. Default 256 KiB.
	BufferedAnswer int64
	// HeaderBytes is the maximum size of a request header in bytes. Default 32 KiB.
	HeaderBytes int
	// LedgerEntries is the maximum number of non-idempotent requests recorded in
	// the ledger. Default 200000.
	LedgerEntries int
	// LedgerBytes is the maximum total size in bytes of the response bodies
	// recorded in the ledger. Default 64 MiB.
	LedgerBytes int64
	// BodyMemory is the maximum total size in bytes of the request bodies held in
	// memory at a time, separately for the caller and the traffic listener.
	// Default 128 MiB.
	BodyMemory int64
	// AnnouncementBytes is the maximum size of an announcement in bytes. Default 4 KiB.
	AnnouncementBytes int64
	// AdminBody is the maximum size in bytes of a request body of the
	// administration API. Default 1 MiB.
	AdminBody int64
	// MessageBytes is the maximum size in bytes of a message on the control
	// listener. The largest regular message, a digest of 6,000 nodes, is 420 KB.
	// Default 1 MiB.
	MessageBytes int
	// HeaderTime is the timeout for reading a request header. Default 10s.
	HeaderTime time.Duration
	// BodyTime is the timeout for reading a request body. Default 50s.
	BodyTime time.Duration
	// IdleTime is the time after which an idle connection is closed. It is longer
	// than the idle timeout of the clients in packages forward and gossip, so that
	// the client closes first and sends no request on a connection that the server
	// is closing. Default 2m.
	IdleTime time.Duration
	// MessageTime is the timeout for sending or receiving one message on the
	// control listener, and for the handshake. Default 5s.
	MessageTime time.Duration
	// AnswerGrace is the time after the deadline of a request at which a response
	// that the receiver has not finished reading is aborted. Default 2s.
	AnswerGrace time.Duration
	// WriteTime is the timeout for responding to a request on the attach and admin
	// listeners. Default 1m.
	WriteTime time.Duration
	// Maximum numbers of open connections of the listeners. Defaults 10000, 4096,
	// 1024, 256 and 256.
	CallerConnections, TrafficConnections, ControlConnections, AttachConnections, AdminConnections int
	// MaxDeadline is the longest deadline that a caller may request. Default 30s.
	MaxDeadline time.Duration
}

// Timing holds intervals, lifetimes and time limits.
type Timing struct {
	// GossipInterval is the interval between two gossip exchanges. Default 500ms.
	GossipInterval time.Duration
	// ForgetAfter is the time after which the record of an unresponsive node is
	// removed. Default 10m.
	ForgetAfter time.Duration
	// StopLimit is the time limit of a graceful shutdown. Default 60s.
	StopLimit time.Duration
	// KeyLifetime is the validity period of an idempotency key. Default 10m.
	KeyLifetime time.Duration
	// FenceRetention is how long the ledger retains the record of a request. It
	// exceeds the time for which TCP may still deliver an old request. Default 30m.
	FenceRetention time.Duration
	// FreezeThreshold is the gap between control ticks after which the node accepts
	// no requests until its view is up to date. Default 2s.
	FreezeThreshold time.Duration
}

// Telemetry configures logs and traces.
type Telemetry struct {
	// LogFormat is "json" or "console". Default "json".
	LogFormat string
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string
	// OTLPEndpoint is the IP address and port of an OTLP/HTTP collector; empty
	// disables tracing.
	OTLPEndpoint string
	// SampleRatio is the fraction of requests that are traced, from 0 to 1. Default 0.
	SampleRatio float64
}

// Defaults returns the default settings. Required keys are left empty.
func Defaults() Node {
	return Node{
		Platform: Platform{Timeout: 2 * time.Second, PollInterval: 5 * time.Second},
		Limits: Limits{
			RequestBody:        1 << 20,
			BufferedAnswer:     256 << 10,
			HeaderBytes:        32 << 10,
			LedgerEntries:      200_000,
			LedgerBytes:        64 << 20,
			BodyMemory:         128 << 20,
			AnnouncementBytes:  4 << 10,
			AdminBody:          1 << 20,
			MessageBytes:       1 << 20,
			HeaderTime:         10 * time.Second,
			BodyTime:           50 * time.Second,
			IdleTime:           2 * time.Minute,
			MessageTime:        5 * time.Second,
			AnswerGrace:        2 * time.Second,
			WriteTime:          time.Minute,
			CallerConnections:  10_000,
			TrafficConnections: 4096,
			ControlConnections: 1024,
			AttachConnections:  256,
			AdminConnections:   256,
			MaxDeadline:        30 * time.Second,
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
