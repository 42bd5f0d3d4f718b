package api

// PathAnnounce is the path on a node's attach address to which a backend
// server posts its Announcement.
const PathAnnounce = "/v1/announce"

// Announcement is what a backend server tells the node beside it. It is
// repeated every second; a node forgets a server after three missed repeats.
type Announcement struct {
	// ID names the backend server, unique within the fleet.
	ID string `json:"id"`
	// Service is the name of the service the server belongs to.
	Service string `json:"service"`
	// Addr is the host:port that takes the requests.
	Addr string `json:"addr"`
	// Incarnation rises with each start of the server process. The start time
	// in nanoseconds serves.
	Incarnation uint64 `json:"incarnation"`
	// Slots is the number of requests the server runs at the same time.
	Slots int `json:"slots"`
	// ConnLimit is the number of connections the server accepts.
	ConnLimit int `json:"conn_limit"`
	// Load is the number of requests the server says it runs. It may lag or
	// mislead and decides nothing by itself.
	Load int `json:"load"`
	// Leaving tells that the server drains and wants no new work.
	Leaving bool `json:"leaving,omitempty"`
	// WarmUpMS is the time in milliseconds the server needs after its start to
	// reach full capacity.
	WarmUpMS int64 `json:"warm_up_ms,omitempty"`
}

// AnnounceReply is the node's answer to an Announcement.
type AnnounceReply struct {
	// Node is the ID of the node that hosts the server.
	Node string `json:"node"`
	// Running is the number of requests the host has running at the server.
	Running int `json:"running"`
	// Drained tells a leaving server that the host sends it no more work and
	// that nothing is running there, so that it may stop.
	Drained bool `json:"drained"`
}
