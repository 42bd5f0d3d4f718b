package settings

import "time"

// kind is the type that a key requires of its value. The names appear in
// diagnostics and in docs/configuration.md.
type kind string

const (
	kindName     kind = "name"
	kindAddress  kind = "address"
	kindSeeds    kind = "list of addresses"
	kindURL      kind = "URL"
	kindSecret   kind = "secret"
	kindPath     kind = "file name"
	kindDuration kind = "duration"
	kindSize     kind = "size"
	kindCount    kind = "whole number"
	kindRatio    kind = "number"
	kindChoice   kind = "word"
)

// Sizes in bytes.
const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
)

// keySpec defines one key of the settings.
type keySpec struct {
	// path is the dotted path of the key.
	path     string
	kind     kind
	required bool
	// min and max are inclusive bounds: nanoseconds for durations, bytes for sizes,
	// plain numbers otherwise.
	min, max    float64
	choices     []string
	description string
	// field returns a pointer to the field of n that holds the value: *string,
	// *[]string, *time.Duration, *int64, *int or *float64.
	field func(n *Node) any
}

var logLevels = []string{"debug", "info", "warn", "error"}

// schema defines every key, in the order of docs/configuration.md.
var schema = []keySpec{
	{path: "id", kind: kindName, required: true, description: "Name of the node, unique within the fleet.",
		field: func(n *Node) any { return &n.ID }},
	{path: "region", kind: kindName, required: true, description: "Region of the node.",
		field: func(n *Node) any { return &n.Region }},
	{path: "data_centre", kind: kindName, required: true, description: "Data centre of the node; requests prefer backend servers in the same data centre.",
		field: func(n *Node) any { return &n.DataCentre }},
	{path: "secret", kind: kindSecret, description: "Secret that signs idempotency keys; it must be the same on every node. Required unless secret_file is set. It cannot be set with --set, because command lines are visible to other users.",
		field: func(n *Node) any { return &n.Secret }},
	{path: "secret_file", kind: kindPath, description: "File that contains the secret; trailing white space is ignored. A relative path is resolved against the directory of the settings file.",
		field: func(n *Node) any { return &n.SecretFile }},
	{path: "seeds", kind: kindSeeds, description: "Control addresses of nodes to contact at startup, in addition to those in the platform's table. The node's own address may be included.",
		field: func(n *Node) any { return &n.Seeds }},

	{path: "listen.caller", kind: kindAddress, required: true, description: "Listener for requests from callers.",
		field: func(n *Node) any { return &n.Listen.Caller }},
	{path: "listen.traffic", kind: kindAddress, required: true, description: "Listener for requests that other nodes forward.",
		field: func(n *Node) any { return &n.Listen.Traffic }},
	{path: "listen.control", kind: kindAddress, required: true, description: "Listener for gossip and fence calls from other nodes.",
		field: func(n *Node) any { return &n.Listen.Control }},
	{path: "listen.attach", kind: kindAddress, required: true, description: "Listener for announcements from backend servers.",
		field: func(n *Node) any { return &n.Listen.Attach }},
	{path: "listen.admin", kind: kindAddress, required: true, description: "Listener for the administration API, health and metrics.",
		field: func(n *Node) any { return &n.Listen.Admin }},

	{path: "advertise.caller", kind: kindAddress, description: "Address advertised to callers, if different from listen.caller.",
		field: func(n *Node) any { return &n.Advertise.Caller }},
	{path: "advertise.traffic", kind: kindAddress, description: "Address advertised to other nodes for forwarded requests, if different from listen.traffic.",
		field: func(n *Node) any { return &n.Advertise.Traffic }},
	{path: "advertise.control", kind: kindAddress, description: "Address advertised to other nodes for control calls, if different from listen.control.",
		field: func(n *Node) any { return &n.Advertise.Control }},
	{path: "advertise.admin", kind: kindAddress, description: "Address advertised to operators, if different from listen.admin.",
		field: func(n *Node) any { return &n.Advertise.Admin }},

	{path: "platform.url", kind: kindURL, required: true, description: "Base URL of the platform's table service.",
		field: func(n *Node) any { return &n.Platform.URL }},
	durationKey("platform.timeout", 10*time.Millisecond, time.Minute, "Timeout of one call to the platform.",
		func(n *Node) any { return &n.Platform.Timeout }),
	durationKey("platform.poll_interval", 100*time.Millisecond, time.Minute, "Mean interval between two reads of the change counter.",
		func(n *Node) any { return &n.Platform.PollInterval }),

	sizeKey("limits.request_body", kib, gib, "Maximum size of a request body.",
		func(n *Node) any { return &n.Limits.RequestBody }),
	sizeKey("limits.buffered_answer", kib, 64*mib, "Maximum size of a response that is buffered in full before any of it is forwarded. At most limits.ledger_bytes.",
		func(n *Node) any { return &n.Limits.BufferedAnswer }),
	sizeKey("limits.header_bytes", 4*kib, mib, "Maximum size of a request header.",
		func(n *Node) any { return &n.Limits.HeaderBytes }),
	{path: "limits.ledger_entries", kind: kindCount, min: 100, max: 10_000_000, description: "Maximum number of non-idempotent requests recorded in the ledger.",
		field: func(n *Node) any { return &n.Limits.LedgerEntries }},
	sizeKey("limits.ledger_bytes", mib, 16*gib, "Maximum total size of the responses recorded in the ledger.",
		func(n *Node) any { return &n.Limits.LedgerBytes }),
	sizeKey("limits.body_memory", mib, 64*gib, "Maximum total size of the request bodies held in memory at a time, separately for callers and for other nodes. At least limits.request_body.",
		func(n *Node) any { return &n.Limits.BodyMemory }),
	sizeKey("limits.announcement_bytes", kib, 64*kib, "Maximum size of an announcement from a backend server.",
		func(n *Node) any { return &n.Limits.AnnouncementBytes }),
	sizeKey("limits.admin_body", 4*kib, 16*mib, "Maximum size of a request body of the administration API.",
		func(n *Node) any { return &n.Limits.AdminBody }),
	sizeKey("limits.message_bytes", 512*kib, 16*mib, "Maximum size of a message between nodes on the control listener.",
		func(n *Node) any { return &n.Limits.MessageBytes }),
	durationKey("limits.header_time", 100*time.Millisecond, 5*time.Minute, "Timeout for reading a request header.",
		func(n *Node) any { return &n.Limits.HeaderTime }),
	durationKey("limits.body_time", 100*time.Millisecond, time.Hour, "Timeout for reading a request body. The caller's deadline may end it sooner.",
		func(n *Node) any { return &n.Limits.BodyTime }),
	durationKey("limits.idle_time", 100*time.Second, time.Hour, "Time after which an idle connection is closed. It must be longer than the 90s for which nodes, as clients, keep idle connections.",
		func(n *Node) any { return &n.Limits.IdleTime }),
	durationKey("limits.message_time", 100*time.Millisecond, time.Minute, "Timeout for sending or receiving a message on the control listener, and for its handshake.",
		func(n *Node) any { return &n.Limits.MessageTime }),
	durationKey("limits.answer_grace", 100*time.Millisecond, time.Minute, "Time after the deadline that the receiver has to read the response. After that the connection is reset.",
		func(n *Node) any { return &n.Limits.AnswerGrace }),
	durationKey("limits.write_time", time.Second, 10*time.Minute, "Timeout for responding to a request on the attach and admin listeners.",
		func(n *Node) any { return &n.Limits.WriteTime }),
	connectionsKey("caller", func(n *Node) any { return &n.Limits.CallerConnections }),
	connectionsKey("traffic", func(n *Node) any { return &n.Limits.TrafficConnections }),
	connectionsKey("control", func(n *Node) any { return &n.Limits.ControlConnections }),
	connectionsKey("attach", func(n *Node) any { return &n.Limits.AttachConnections }),
	connectionsKey("admin", func(n *Node) any { return &n.Limits.AdminConnections }),
	durationKey("limits.max_deadline", 100*time.Millisecond, time.Hour, "Longest deadline that a caller may request.",
		func(n *Node) any { return &n.Limits.MaxDeadline }),

	durationKey("timing.gossip_interval", 20*time.Millisecond, 10*time.Second, "Interval between two gossip exchanges.",
		func(n *Node) any { return &n.Timing.GossipInterval }),
	durationKey("timing.forget_after", time.Second, 24*time.Hour, "Time after which the record of an unresponsive node is removed. At least four times timing.gossip_interval.",
		func(n *Node) any { return &n.Timing.ForgetAfter }),
	durationKey("timing.stop_limit", time.Second, time.Hour, "Time limit of a graceful shutdown.",
		func(n *Node) any { return &n.Timing.StopLimit }),
	durationKey("timing.key_lifetime", time.Second, 24*time.Hour, "Validity period of an idempotency key. At most timing.fence_retention.",
		func(n *Node) any { return &n.Timing.KeyLifetime }),
	durationKey("timing.fence_retention", time.Second, 7*24*time.Hour, "Time for which the ledger retains the record of a request. Longer than limits.max_deadline.",
		func(n *Node) any { return &n.Timing.FenceRetention }),
	durationKey("timing.freeze_threshold", 200*time.Millisecond, time.Minute, "Gap between control ticks after which the node accepts no requests until its view is up to date.",
		func(n *Node) any { return &n.Timing.FreezeThreshold }),

	{path: "telemetry.log_format", kind: kindChoice, choices: []string{"json", "console"}, description: "Format of the log lines.",
		field: func(n *Node) any { return &n.Telemetry.LogFormat }},
	{path: "telemetry.log_level", kind: kindChoice, choices: logLevels, description: "Minimum level that is logged.",
		field: func(n *Node) any { return &n.Telemetry.LogLevel }},
	{path: "telemetry.otlp_endpoint", kind: kindAddress, description: "Address of the OTLP/HTTP collector for spans. Tracing is disabled if it is not set.",
		field: func(n *Node) any { return &n.Telemetry.OTLPEndpoint }},
	{path: "telemetry.sample_ratio", kind: kindRatio, min: 0, max: 1, description: "Fraction of requests that are traced. A value above 0 requires telemetry.otlp_endpoint.",
		field: func(n *Node) any { return &n.Telemetry.SampleRatio }},
}

func durationKey(path string, lowest, highest time.Duration, about string, field func(*Node) any) keySpec {
	return keySpec{path: path, kind: kindDuration, min: float64(lowest), max: float64(highest), description: about, field: field}
}

func sizeKey(path string, lowest, highest int64, about string, field func(*Node) any) keySpec {
	return keySpec{path: path, kind: kindSize, min: float64(lowest), max: float64(highest), description: about, field: field}
}

// connectionsKey returns the key that limits the open connections of a listener.
func connectionsKey(listener string, field func(*Node) any) keySpec {
	return keySpec{path: "limits." + listener + "_connections", kind: kindCount, min: 8, max: 1_000_000,
		description: "Maximum number of open connections on the " + listener + " listener. Further connections are closed immediately.", field: field}
}

// lookupKey returns the key with the given dotted path.
func lookupKey(path string) (keySpec, bool) {
	for _, k := range schema {
		if k.path == path {
			return k, true
		}
	}
	return keySpec{}, false
}

// isSection reports whether the schema has keys below path.
func isSection(path string) bool {
	for _, k := range schema {
		if len(k.path) > len(path) && k.path[:len(path)] == path && k.path[len(path)] == '.' {
			return true
		}
	}
	return false
}
