package sidecar

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Settings holds the settings of one process.
type Settings struct {
	// Node names the process, unique within the fleet.
	Node string
	// IP is the address of the instance.
	IP                 string
	DataCentre, Region string
	// Service is the service of the backend server on this instance, and
	// ServerAddr its address.
	Service, ServerAddr string
	// Outbound takes the requests of callers and of the server on this instance,
	// Inbound those of other nodes.
	Outbound, Inbound string
	// Ready answers whether callers may use the node; Registration takes the
	// reports of the server.
	Ready, Registration string
	// Beacon takes the datagrams of other nodes.
	Beacon string
	// Metrics serves the counters and histograms; empty for none.
	Metrics string
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	// Heartbeat is the interval of the server's reports.
	Heartbeat time.Duration
	// StopLimit is the time between SIGTERM and the end of the process.
	StopLimit time.Duration
	// Memory is that of the process in bytes; 0 if it is not known.
	Memory int64
	// RetryRatio, RetryWindow and RetryAllowance bound the further attempts of
	// all nodes together; see gate.RepeatTerms.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
}

// Check returns the first fault of the settings.
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
		return trace.BadParameter("the node has no name")
	case s.Service == "":
		return trace.BadParameter("the service of the backend server is not named")
	case s.StopLimit <= 0:
		return trace.BadParameter("the stop limit must be above 0")
	case s.RetryRatio < 0 || s.RetryAllowance < 0 || s.RetryWindow <= 0:
		return trace.BadParameter("the retry budget needs a window above 0 and no negative bound")
	}
	return nil
}

// RequestMetadata is what a node tells a backend server about a request.
type RequestMetadata struct {
	// Timeout is the time until the deadline.
	Timeout time.Duration
	// Caller is the service of the instance on which the request began.
	Caller string
	// Instance is the server that alone may run the request.
	Instance string
}

// Headers reads and writes the headers that callers, nodes and servers agree on.
type Headers interface {
	RequestID(h http.Header) string
	SetRequestID(h http.Header, id string)
	// Timeout returns how long the caller waits.
	Timeout(h http.Header) (time.Duration, bool)
	// SetMetadata writes what the server must know; Strip removes what only the
	// fleet may say.
	SetMetadata(h http.Header, to RequestMetadata)
	Strip(h http.Header)
	// NotRun reports whether a server's answer says that it did not run the
	// request.
	NotRun(status int, h http.Header) bool
	// Signed reports whether an answer is a backend server's own.
	Signed(h http.Header) bool
	// SetRetryAfter says when a refused request may come back.
	SetRetryAfter(h http.Header, after time.Duration)
}
