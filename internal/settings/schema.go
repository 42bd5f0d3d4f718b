package settings

import "time"

// kind is the type of a value in the settings.
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

// key describes one key of the settings.
type key struct {
	// path is the dotted name.
	path     string
	kind     kind
	required bool
	// min and max bound durations in nanoseconds, sizes in bytes and numbers.
	min, max float64
	choices  []string
	about    string
	// field points to the field of n that holds the value: *string, *[]string,
	// *time.Duration, *int64, *int or *float64.
	field func(n *Node) any
}

var logLevels = []string{"debug", "info", "warn", "error"}

// schema lists every key in the order of docs/configuration.md.
var schema = []key{
	{path: "id", kind: kindName, required: true, about: "Name of the node, unique within the fleet.",
		field: func(n *Node) any { return &n.ID }},
	{path: "region", kind: kindName, required: true, about: "Region of the node.",
		field: func(n *Node) any { return &n.Region }},
	{path: "data_centre", kind: kindName, required: true, about: "Data centre of the node; requests prefer backend servers in the same one.",
		field: func(n *Node) any { return &n.DataCentre }},
	{path: "secret", kind: kindSecret, about: "Secret that signs idempotency keys, the same on every node. Required unless secret_file is given. It cannot be given with --set, because other users can see command lines.",
		field: func(n *Node) any { return &n.Secret }},
	{path: "secret_file", kind: kindPath, about: "File that holds the secret; white space at its end is ignored. A relative name is relative to the directory of the settings file.",
		field: func(n *Node) any { return &n.SecretFile }},
	{path: "seeds", kind: kindSeeds, about: "Control addresses of nodes to contact at start, besides those in the platform's table. The node's own address may be among them.",
		field: func(n *Node) any { return &n.Seeds }},

	{path: "listen.caller", kind: kindAddress, required: true, about: "Listener for callers.",
		field: func(n *Node) any { return &n.Listen.Caller }},
	{path: "listen.traffic", kind: kindAddress, required: true, about: "Listener for the requests of other nodes.",
		field: func(n *Node) any { return &n.Listen.Traffic }},
	{path: "listen.control", kind: kindAddress, required: true, about: "Listener for gossip and fence calls of other nodes.",
		field: func(n *Node) any { return &n.Listen.Control }},
	{path: "listen.attach", kind: kindAddress, required: true, about: "Listener for announcements of backend servers.",
		field: func(n *Node) any { return &n.Listen.Attach }},
	{path: "listen.admin", kind: kindAddress, required: true, about: "Listener for the administration API, health and metrics.",
		field: func(n *Node) any { return &n.Listen.Admin }},

	{path: "advertise.caller", kind: kindAddress, about: "Address that callers are told, where it differs from listen.caller.",
		field: func(n *Node) any { return &n.Advertise.Caller }},
	{path: "advertise.traffic", kind: kindAddress, about: "Address that other nodes send requests to, where it differs from listen.traffic.",
		field: func(n *Node) any { return &n.Advertise.Traffic }},
	{path: "advertise.control", kind: kindAddress, about: "Address that other nodes call, where it differs from listen.control.",
		field: func(n *Node) any { return &n.Advertise.Control }},
	{path: "advertise.admin", kind: kindAddress, about: "Address that operators are told, where it differs from listen.admin.",
		field: func(n *Node) any { return &n.Advertise.Admin }},

	{path: "platform.url", kind: kindURL, required: true, about: "Base URL of the platform's table service.",
		field: func(n *Node) any { return &n.Platform.URL }},
	durationKey("platform.timeout", 10*time.Millisecond, time.Minute, "Limit of one call of the platform.",
		func(n *Node) any { return &n.Platform.Timeout }),
	durationKey("platform.poll_interval", 100*time.Millisecond, time.Minute, "Mean time between two reads of the change counter.",
		func(n *Node) any { return &n.Platform.PollInterval }),

	sizeKey("limits.request_body", kib, gib, "Largest request body.",
		func(n *Node) any { return &n.Limits.RequestBody }),
	sizeKey("limits.buffered_answer", kib, 64*mib, "Largest answer that is read whole before any of it is sent on. At most limits.ledger_bytes.",
		func(n *Node) any { return &n.Limits.BufferedAnswer }),
	sizeKey("limits.header_bytes", 4*kib, mib, "Largest request header.",
		func(n *Node) any { return &n.Limits.HeaderBytes }),
	{path: "limits.ledger_entries", kind: kindCount, min: 100, max: 10_000_000, about: "Largest number of recorded non-idempotent requests.",
		field: func(n *Node) any { return &n.Limits.LedgerEntries }},
	sizeKey("limits.ledger_bytes", mib, 16*gib, "Largest total size of the recorded answers.",
		func(n *Node) any { return &n.Limits.LedgerBytes }),
	sizeKey("limits.body_memory", mib, 64*gib, "Largest total size of the request bodies held at a time, for callers and for other nodes each. At least limits.request_body.",
		func(n *Node) any { return &n.Limits.BodyMemory }),
	sizeKey("limits.announcement_bytes", kib, 64*kib, "Largest announcement of a backend server.",
		func(n *Node) any { return &n.Limits.AnnouncementBytes }),
	sizeKey("limits.admin_body", 4*kib, 16*mib, "Largest request body of the administration API.",
		func(n *Node) any { return &n.Limits.AdminBody }),
	sizeKey("limits.message_bytes", 512*kib, 16*mib, "Largest message between nodes on control.",
		func(n *Node) any { return &n.Limits.MessageBytes }),
	durationKey("limits.header_time", 100*time.Millisecond, 5*time.Minute, "Time for a request header to arrive.",
		func(n *Node) any { return &n.Limits.HeaderTime }),
	durationKey("limits.body_time", 100*time.Millisecond, time.Hour, "Time for a request body to arrive. The deadline of the caller may end it sooner.",
		func(n *Node) any { return &n.Limits.BodyTime }),
	durationKey("limits.idle_time", 100*time.Second, time.Hour, "Time for which a connection without a request or message is kept. Longer than the 90s for which nodes keep theirs.",
		func(n *Node) any { return &n.Limits.IdleTime }),
	durationKey("limits.message_time", 100*time.Millisecond, time.Minute, "Time for a message on control to be sent or to arrive, and for its handshake.",
		func(n *Node) any { return &n.Limits.MessageTime }),
	durationKey("limits.answer_grace", 100*time.Millisecond, time.Minute, "Time after the deadline for which a receiver may take in its answer. After that the connection is reset.",
		func(n *Node) any { return &n.Limits.AnswerGrace }),
	durationKey("limits.write_time", time.Second, 10*time.Minute, "Time for a request on attach and admin to be answered.",
		func(n *Node) any { return &n.Limits.WriteTime }),
	connectionsKey("caller", func(n *Node) any { return &n.Limits.CallerConnections }),
	connectionsKey("traffic", func(n *Node) any { return &n.Limits.TrafficConnections }),
	connectionsKey("control", func(n *Node) any { return &n.Limits.ControlConnections }),
	connectionsKey("attach", func(n *Node) any { return &n.Limits.AttachConnections }),
	connectionsKey("admin", func(n *Node) any { return &n.Limits.AdminConnections }),
	durationKey("limits.max_deadline", 100*time.Millisecond, time.Hour, "Longest deadline that a caller may ask for.",
		func(n *Node) any { return &n.Limits.MaxDeadline }),

	durationKey("timing.gossip_interval", 20*time.Millisecond, 10*time.Second, "Time between two exchanges of records.",
		func(n *Node) any { return &n.Timing.GossipInterval }),
	durationKey("timing.forget_after", time.Second, 24*time.Hour, "Time for which the record of a silent node is kept. At least four times timing.gossip_interval.",
		func(n *Node) any { return &n.Timing.ForgetAfter }),
	durationKey("timing.stop_limit", time.Second, time.Hour, "Limit of a graceful stop.",
		func(n *Node) any { return &n.Timing.StopLimit }),
	durationKey("timing.key_lifetime", time.Second, 24*time.Hour, "Validity of an idempotency key. At most timing.fence_retention.",
		func(n *Node) any { return &n.Timing.KeyLifetime }),
	durationKey("timing.fence_retention", time.Second, 7*24*time.Hour, "Time for which the ledger remembers a request. Longer than limits.max_deadline.",
		func(n *Node) any { return &n.Timing.FenceRetention }),
	durationKey("timing.freeze_threshold", 200*time.Millisecond, time.Minute, "Gap between control ticks after which the node takes no work until its view is fresh.",
		func(n *Node) any { return &n.Timing.FreezeThreshold }),

	{path: "telemetry.log_format", kind: kindChoice, choices: []string{"json", "console"}, about: "Format of the log lines.",
		field: func(n *Node) any { return &n.Telemetry.LogFormat }},
	{path: "telemetry.log_level", kind: kindChoice, choices: logLevels, about: "Lowest level that is logged.",
		field: func(n *Node) any { return &n.Telemetry.LogLevel }},
	{path: "telemetry.otlp_endpoint", kind: kindAddress, about: "OTLP/HTTP collector of spans. Without it nothing is traced.",
		field: func(n *Node) any { return &n.Telemetry.OTLPEndpoint }},
	{path: "telemetry.sample_ratio", kind: kindRatio, min: 0, max: 1, about: "Share of requests that are traced. Above 0 it needs telemetry.otlp_endpoint.",
		field: func(n *Node) any { return &n.Telemetry.SampleRatio }},
}

func durationKey(path string, lowest, highest time.Duration, about string, field func(*Node) any) key {
	return key{path: path, kind: kindDuration, min: float64(lowest), max: float64(highest), about: about, field: field}
}

func sizeKey(path string, lowest, highest int64, about string, field func(*Node) any) key {
	return key{path: path, kind: kindSize, min: float64(lowest), max: float64(highest), about: about, field: field}
}

// connectionsKey bounds the connections of one listener.
func connectionsKey(listener string, field func(*Node) any) key {
	return key{path: "limits." + listener + "_connections", kind: kindCount, min: 8, max: 1_000_000,
		about: "Largest number of open connections on " + listener + ". Further ones are closed at once.", field: field}
}

// keyAt returns the key with the given dotted name.
func keyAt(path string) (key, bool) {
	for _, k := range schema {
		if k.path == path {
			return k, true
		}
	}
	return key{}, false
}

// isSection reports whether keys exist below path.
func isSection(path string) bool {
	for _, k := range schema {
		if len(k.path) > len(path) && k.path[:len(path)] == path && k.path[len(path)] == '.' {
			return true
		}
	}
	return false
}
