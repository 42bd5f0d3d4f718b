package api

// PathAnnounce is the path on a node's attach address to which a backend
// server posts its Announcement.
const PathAnnounce = "/v1/announce"

// Announcement is the message by which a backend server registers with its host
// node. It is repeated every second; after three missed repeats the node removes
// the server.
type Announcement struct {
	// ID names the backend server, unique within the fleet.
	ID string `json:"id"`
	// Service is the name of the service the server belongs to.
	Service string `json:"service"`
	// Addr is the host:port on which the server accepts requests.
	Addr string `json:"addr"`
	// Incarnation increases with each start of the server process. The start time
	// in nanoseconds is a suitable value.
	Incarnation uint64 `json:"incarnation"`
	// Slots is the number of requests the server runs concurrently.
	Slots int `json:"slots"`
	// ConnLimit is the number of connections the server accepts.
	ConnLimit int `json:"conn_limit"`
	// Load is the number of running requests that the server reports. It may be
	// outdated or wrong, so no decision is based on it alone.
	Load int `json:"load"`
	// Leaving announces that the server is draining and accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// WarmUpMS is the time in milliseconds from the start of the server until it
	// reaches full capacity.
	WarmUpMS int64 `json:"warm_up_ms,omitempty"`
}

// AnnounceReply is the node's answer to an Announcement.
type AnnounceReply struct {
	// Node is the ID of the node that hosts the server.
	Node string `json:"node"`
	// Running is the number of requests from the host node that run on the server.
	Running int `json:"running"`
	// Drained tells a leaving server that the host node sends it no more requests
	// and that none is running, so that it may stop.
	Drained bool `json:"drained"`
}
