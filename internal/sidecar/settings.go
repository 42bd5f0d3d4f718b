package sidecar

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Settings holds the settings of one process.
type Settings struct {
	// Node is the name of the process, unique within the fleet.
	Node string
	// IP is the address of the instance.
	IP                 string
	DataCentre, Region string
	// Service is the service of the backend server on this instance, and ServerAddr its address.
	Service, ServerAddr string
	// Outbound is the listen address for requests of callers and of the server on this instance,
	// Inbound that for requests of other nodes.
	Outbound, Inbound string
	// Ready is the listen address for readiness probes, Registration that for reports of the
	// server.
	Ready, Registration string
	// Beacon is the listen address for datagrams of other nodes.
	Beacon string
	// Metrics is the listen address for counters and histograms; empty to disable it.
	Metrics string
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	// Heartbeat is the interval of the server's reports.
	Heartbeat time.Duration
	// StopLimit is the time between SIGTERM and the end of the process.
	StopLimit time.Duration
	// Memory is the memory of the process in bytes; 0 if unknown.
	Memory int64
	// Sockets is the number of sockets that the process may open; 0 for DefaultSockets.
	Sockets int
	// RetryRatio, RetryWindow and RetryAllowance bound the retries of all nodes together; see
	// gate.RetryBudget.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// FailClosed refuses requests with an account key when the node cannot know whether the key was
	// withdrawn more than RevokeWithin ago.
	FailClosed   bool
	RevokeWithin time.Duration
	// QuotaWindow is the time over which the requests of an account are limited. Its limit may be
	// exceeded by a fraction of QuotaOver plus QuotaSlack requests.
	QuotaWindow           time.Duration
	QuotaOver, QuotaSlack float64
	// RateBurst is the time whose share of the rate that the server accepts may be sent at once; 0
	// for gate.DefaultRateBurst.
	RateBurst time.Duration
}

// maxRateBurst bounds Settings.RateBurst. A longer one would let more requests through at once than
// a server in need can be expected to queue.
const maxRateBurst = 2 * time.Second

// Check returns the first invalid setting as an error.
func (s Settings) Check() error {
	for name, addr := range map[string]string{
		"outbound": s.Outbound, "inbound": s.Inbound, "ready": s.Ready,
		"registration": s.Registration, "beacon": s.Beacon, "server": s.ServerAddr, "store": s.StoreAddr,
	} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return trace.BadParameter("the %s address %q is not host:port", name, addr)
		}
	}
	switch {
	case s.Node == "":
		return trace.BadParameter("the node name is missing")
	case s.Service == "":
		return trace.BadParameter("the service of the backend server is missing")
	case s.Memory < 0:
		return trace.BadParameter("the memory of the process is %d bytes, it must not be negative", s.Memory)
	case s.Sockets < 0 || s.Sockets > 0 && s.Sockets < minSockets:
		return trace.BadParameter("the process may open %d sockets, it must be at least %d", s.Sockets, minSockets)
	case s.StopLimit <= 0:
		return trace.BadParameter("the stop limit must be above 0")
	case s.RetryRatio < 0 || s.RetryAllowance < 0 || s.RetryWindow <= 0:
		return trace.BadParameter("the retry budget needs a window above 0 and bounds that are not negative")
	case s.FailClosed && s.RevokeWithin <= 0:
		return trace.BadParameter("the time within which withdrawn keys are refused must be above 0")
	case s.QuotaOver < 0 || s.QuotaSlack < 0 || s.QuotaWindow < 0:
		return trace.BadParameter("the window and the slack of account limits must not be negative")
	case s.RateBurst < 0 || s.RateBurst > maxRateBurst:
		return trace.BadParameter("the rate burst must be between 0 and %v", maxRateBurst)
	}
	return nil
}

// RequestMetadata is what a node tells a backend server about a request.
type RequestMetadata struct {
	// Timeout is the time until the deadline.
	Timeout time.Duration
	// Caller is the service of the instance on which the request originated.
	Caller string
	// Instance is the only server that may run the request.
	Instance string
	// Account is the client account of the request.
	Account AccountName
}

// AccountName is the client account of a request.
type AccountName struct {
	// InUse is set if the configuration has accounts with keys.
	InUse bool
	// Name is empty if the request needs no account.
	Name string
}

// ServerNotice is what a backend server says about itself in a response.
type ServerNotice struct {
	// RateLimited is set if the server limits the requests that it accepts. RateLimit is then the
	// number per second from all nodes together, unless Err tells that it cannot be read.
	RateLimited bool
	RateLimit   float64
	Err         error
	// Leaving is set if the server is about to stop.
	Leaving bool
}

// Headers reads and writes the headers of the platform's protocol between callers, nodes and
// servers.
type Headers interface {
	RequestID(h http.Header) string
	SetRequestID(h http.Header, id string)
	// Timeout returns how long the caller waits; false if it does not say.
	Timeout(h http.Header) (time.Duration, bool)
	// SetMetadata writes the headers for a backend server. Strip removes the headers that only
	// nodes may set.
	SetMetadata(h http.Header, to RequestMetadata)
	Strip(h http.Header)
	// AccountKey returns the account key that a caller sent; "" if there is none. StripAccount
	// removes the key and the name of an account.
	AccountKey(h http.Header) string
	StripAccount(h http.Header)
	// NotRun reports whether a server response says that the request was not run.
	NotRun(status int, h http.Header) bool
	// ServerNotice returns what the server says about itself in a response.
	ServerNotice(h http.Header) ServerNotice
	// ServerStatus returns the ID and the slots of the server that responded to a status request,
	// or false if the response does not tell both.
	ServerStatus(h http.Header) (id string, slots int, ok bool)
	// Signed reports whether a response originates from a backend server.
	Signed(h http.Header) bool
	// SetRetryAfter sets the time after which a refused request may be repeated.
	SetRetryAfter(h http.Header, after time.Duration)
}
