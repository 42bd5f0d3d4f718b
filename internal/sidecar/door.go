package sidecar

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/limit"
)

const (
	// clientShare is the fraction of the process memory that requests and answers may use, and
	// runtimeShare the fraction at which the runtime collects garbage to stay below it. The rest is for
	// the buffers of the kernel and what the runtime does not count.
	clientShare  = 0.45
	runtimeShare = 0.8
	// defaultClientMemory is the limit in bytes if the process memory is unknown.
	defaultClientMemory = 64 << 20
	// connMemory is the memory of a connection in bytes: its goroutine, its buffers and a head of usual
	// size. connShare is the fraction of the process memory that the connections of callers may use.
	connMemory = 32 << 10
	connShare  = 0.25
	// minSockets is the least that the process can work with.
	minSockets = 32
	// DefaultSockets is the number of sockets if the settings name none.
	DefaultSockets = 4096
	// maxHopHeaderBytes bounds the head of a request between nodes. HTTP/2 counts 32 bytes more for each
	// field, which has at least 4 bytes: 32 kB of the shortest fields pass.
	maxHopHeaderBytes = minFieldBytes / 4 * 32 << 10
	minFieldBytes     = 36
	// hopFieldBytes is what HTTP/2 counts for a field besides its name and value, and hopHeaderReserve
	// the part of maxHopHeaderBytes for the fields that nodes add.
	hopFieldBytes    = 32
	hopHeaderReserve = 8 << 10
	// hopStreams bounds the requests on one connection of another node, and hopBuffer the bytes
	// received but not read on it: what a link of 10 Mbit/s carries in 100 ms.
	hopStreams = 250
	hopBuffer  = 128 << 10
	// hopFrame is the size of a frame, the least that HTTP/2 allows.
	hopFrame = 16 << 10
	// hopWriteTimeout closes a connection to another node that takes no bytes.
	hopWriteTimeout = 10 * time.Second
	// controlTimeout bounds reading a request at the addresses of the platform and the local server.
	controlTimeout = 5 * time.Second
	// headSlack is how far a head may exceed the limit of the configuration before it is refused, so
	// that it does not matter whether the limit counts the request line.
	headSlack = 8 << 10
)

// addrKind is the kind of clients of an address.
type addrKind int

const (
	// callerAddr serves callers, nodeAddr other nodes, controlAddr the platform and the local server.
	callerAddr addrKind = iota
	nodeAddr
	controlAddr
)

// endpoint is a listen address and its handler.
type endpoint struct {
	addr    string
	handler http.Handler
	kind    addrKind
}

// clientMemory returns the memory for requests and answers in bytes.
func clientMemory(s Settings) int64 {
	if s.Memory <= 0 {
		return defaultClientMemory
	}
	return int64(clientShare * float64(s.Memory))
}

// RuntimeMemory returns the memory limit for the runtime in bytes; 0 if the process memory is unknown.
func (s Settings) RuntimeMemory() int64 { return int64(runtimeShare * float64(s.Memory)) }

// maxConns returns the number of connections at an address. What the shares leave is for connections
// to other nodes, the local server and the store.
func (s Settings) maxConns(kind addrKind) int {
	sockets := s.Sockets
	if sockets == 0 {
		sockets = DefaultSockets
	}
	switch kind {
	case callerAddr:
		conns := sockets / 2
		if s.Memory > 0 {
			conns = min(conns, int(connShare*float64(s.Memory)/connMemory))
		}
		return conns
	case nodeAddr:
		return sockets / 4
	default:
		return max(sockets/32, 4)
	}
}

// newServer returns the server of an endpoint and the door that it accepts connections from.
func (n *Node) newServer(e endpoint, listener net.Listener) (*http.Server, *limit.Door) {
	door := limit.NewDoor(listener, limit.DoorOptions{
		MaxConns: n.settings.maxConns(e.kind), Memory: n.memory, HeadBytes: n.headBytes,
		HTTP2: e.kind == nodeAddr, HeadFields: maxHopHeaderBytes / minFieldBytes,
	})
	server := &http.Server{
		Handler: e.handler, ReadHeaderTimeout: headerReadTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       zap.NewStdLog(n.log), Protocols: new(http.Protocols),
	}
	server.Protocols.SetHTTP1(e.kind != nodeAddr)
	server.Protocols.SetUnencryptedHTTP2(e.kind == nodeAddr)
	switch e.kind {
	case nodeAddr:
		server.MaxHeaderBytes = maxHopHeaderBytes
		server.HTTP2 = &http.HTTP2Config{
			MaxConcurrentStreams: hopStreams, MaxReadFrameSize: hopFrame, MaxReceiveBufferPerConnection: hopBuffer, MaxReceiveBufferPerStream: hopBuffer,
			WriteByteTimeout: hopWriteTimeout,
		}
	case controlAddr:
		server.ReadTimeout = controlTimeout
	}
	door.Install(server)
	return server, door
}

// headBytes returns the limit of a request head in bytes; 0 if only that of the server applies.
func (n *Node) headBytes() int64 {
	if config := n.control.View().Config; config != nil && config.Limits.HeaderBytes > 0 {
		return config.Limits.HeaderBytes + headSlack
	}
	return 0
}

// hopHeaderBytes returns the size of a head as HTTP/2 counts it. A head that exceeds the limit of other
// nodes would look like a fault of theirs.
func hopHeaderBytes(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + hopFieldBytes
		}
	}
	return size
}

// reportDoor updates the metrics of what clients make the node hold, and logs what it refused.
func (n *Node) reportDoor() {
	var total limit.DoorCounts
	for _, door := range n.doors {
		counts := door.Counts()
		total.Closed += counts.Closed
		total.Replaced += counts.Replaced
		total.Heads += counts.Heads
	}
	memory := n.memory.Counts()
	metrics := n.deps.Telemetry.Metrics
	metrics.ClientMemory.Set(n.memory.InUse())
	refused := total.Closed + total.Heads + memory.Refused
	made := total.Replaced + memory.Evicted
	if refused == metrics.DoorRefused.Value() && made == metrics.DoorEvicted.Value() {
		return
	}
	metrics.DoorRefused.Add(refused - metrics.DoorRefused.Value())
	metrics.DoorEvicted.Add(made - metrics.DoorEvicted.Value())
	n.log.Warn("clients turned away", zap.Int64("connections_closed", total.Closed), zap.Int64("connections_replaced", total.Replaced),
		zap.Int64("heads_refused", total.Heads), zap.Int64("memory_refused", memory.Refused),
		zap.Int64("stalled_evicted", memory.Evicted), zap.Int64("client_memory", n.memory.InUse()))
}
