package settings

import "time"

// Node holds the settings of one tarragond process.
type Node struct {
	// ID names the node, unique within the fleet.
	ID string
	// Region and DataCentre say where the node runs.
	Region, DataCentre string
	// Listen holds the addresses of the listeners.
	Listen Listen
	// Advertise holds the addresses that others are told where they differ.
	Advertise Advertise
	// Seeds are control addresses of other nodes. Default none.
	Seeds []string
	// Platform says how to reach the platform's table service.
	Platform Platform
	// Secret signs idempotency keys; every node of the fleet has the same.
	Secret string
	// SecretFile is the file that Secret came from; empty if the settings hold it.
	SecretFile string
	// Limits bounds what the node takes in and keeps.
	Limits Limits
	// Timing holds the intervals of control work.
	Timing Timing
	// Telemetry holds the settings of logs, metrics and traces.
	Telemetry Telemetry
}

// Listen holds the IP address and port of each listener.
type Listen struct {
	// Caller takes the requests of callers.
	Caller string
	// Traffic takes the requests of other nodes.
	Traffic string
	// Control takes gossip and fence calls of other nodes.
	Control string
	// Attach takes the announcements of backend servers.
	Attach string
	// Admin serves the administration API, health and metrics.
	Admin string
}

// Advertise holds the addresses that others are told, where they differ from
// those of the listeners, for instance behind address translation.
type Advertise struct {
	Caller  string
	Traffic string
	Control string
	Admin   string
}

// Platform says how to reach the platform's table service.
type Platform struct {
	// URL is the base URL of the service.
	URL string
	// Timeout bounds one call. Default 2s.
	Timeout time.Duration
	// PollInterval is the mean time between two reads of the change counter. Default 5s.
	PollInterval time.Duration
}

// Limits bounds what the node takes in and keeps.
type Limits struct {
	// RequestBody is the largest request body in bytes. Default 1 MiB.
	RequestBody int64
	// BufferedAnswer is the largest answer in bytes that is read whole before
	// any of it is sent on. Default 256 KiB.
	BufferedAnswer int64
	// HeaderBytes is the largest request header in bytes. Default 32 KiB.
	HeaderBytes int
	// LedgerEntries bounds the recorded non-idempotent requests. Default 200000.
	LedgerEntries int
	// LedgerBytes bounds the bodies of recorded answers. Default 64 MiB.
	LedgerBytes int64
	// BodyMemory bounds the request bodies that are held at a time on caller,
	// and on traffic, in bytes each. Default 128 MiB.
	BodyMemory int64
	// AnnouncementBytes is the largest announcement in bytes. Default 4 KiB.
	AnnouncementBytes int64
	// AdminBody is the largest body of the administration API in bytes. Default 1 MiB.
	AdminBody int64
	// MessageBytes is the largest message on control in bytes. The largest
	// regular one, a digest of 6,000 nodes, has 420 KB. Default 1 MiB.
	MessageBytes int
	// HeaderTime bounds the arrival of a request header. Default 10s.
	HeaderTime time.Duration
	// BodyTime bounds the arrival of a request body. Default 50s.
	BodyTime time.Duration
	// IdleTime bounds the idle time of a kept connection. It exceeds that of
	// the clients in packages forward and gossip, so that the client closes
	// first and sends no request into a closing connection. Default 2m.
	IdleTime time.Duration
	// MessageTime bounds the sending or arrival of one message on control, and
	// the handshake. Default 5s.
	MessageTime time.Duration
	// AnswerGrace is the time after the deadline of a request at which an answer
	// that its receiver does not read is aborted. Default 2s.
	AnswerGrace time.Duration
	// WriteTime bounds the answer to a request on attach and admin. Default 1m.
	WriteTime time.Duration
	// The largest numbers of open connections of the listeners. Defaults 10000,
	// 4096, 1024, 256 and 256.
	CallerConnections, TrafficConnections, ControlConnections, AttachConnections, AdminConnections int
	// MaxDeadline is the longest deadline a caller may ask for. Default 30s.
	MaxDeadline time.Duration
}

// Timing holds the intervals of control work.
type Timing struct {
	// GossipInterval is the time between two exchanges of records. Default 500ms.
	GossipInterval time.Duration
	// ForgetAfter is how long the record of a silent node is kept. Default 10m.
	ForgetAfter time.Duration
	// StopLimit bounds a graceful stop. Default 60s.
	StopLimit time.Duration
	// KeyLifetime is the validity of an idempotency key. Default 10m.
	KeyLifetime time.Duration
	// FenceRetention is how long the ledger remembers a request. It exceeds the
	// time for which TCP may still deliver an old request. Default 30m.
	FenceRetention time.Duration
	// FreezeThreshold is the gap between control ticks after which the node
	// takes no work until its view is fresh. Default 2s.
	FreezeThreshold time.Duration
}

// Telemetry holds the settings of logs, metrics and traces.
type Telemetry struct {
	// LogFormat is "json" or "console". Default "json".
	LogFormat string
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string
	// OTLPEndpoint is the host:port of an OTLP/HTTP collector; empty for none.
	OTLPEndpoint string
	// SampleRatio is the share of requests that are traced, from 0 to 1. Default 0.
	SampleRatio float64
}

// Defaults returns the settings that hold for keys the file does not name.
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
