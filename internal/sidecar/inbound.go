package sidecar

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/limit"
)

// hopHandler serves the requests of other nodes.
type hopHandler struct {
	host *host
	// service is the service of the local server.
	service string
	// memory bounds what the node holds for its clients.
	memory  *limit.Memory
	headers Headers
	// onVersion is called with the configuration version of another node.
	onVersion func(version uint64, inbound string)
}

// ServeHTTP implements http.Handler.
func (h *hopHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	memory := h.memory.NewReservation()
	defer memory.Release()
	if want := r.Header.Get(headerState); want != "" {
		serveState(w, r, h.host.control, decodeStateRequest(want), memory)
		return
	}
	metadata, err := decodeHopMetadata(r.Header.Get(headerHop))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.onVersion(metadata.version, metadata.inbound)
	arrived := time.Now()
	askPermit := splitPermit(w, r)
	body, err := receiveHop(w, r, memory, arrived.Add(metadata.remaining))
	if err != nil {
		// The body is incomplete, so the request is not run.
		writeReply(w, h.headers.RequestID(r.Header), h.headers, memory, refuse(gate.Busy, 0))
		return
	}
	request := &hopRequest{
		hopMetadata: metadata, id: h.headers.RequestID(r.Header), method: r.Method, target: originalTarget(r),
		host: r.Host, header: r.Header, body: body, memory: memory, arrived: arrived,
		departed: decodeIncarnation(r.Header.Get(headerDeparted)), askPermit: askPermit,
	}
	if metadata.service != h.service {
		writeReply(w, request.id, h.headers, memory, refuse(gate.Closed, 0))
		return
	}
	writeReply(w, request.id, h.headers, memory, h.host.serve(r.Context(), request))
}

// hopCost is what a stream costs in memory besides its head and body.
const hopCost = 16 << 10

// receiveHop reads the body of a hop within the memory of the node. The configuration limits the body
// at the entry node.
func receiveHop(w http.ResponseWriter, r *http.Request, memory *limit.Reservation, deadline time.Time) (limit.Body, error) {
	if !memory.Reserve(hopCost + limit.HeadCost(r.Header)) {
		return limit.Body{}, codes.BodyMemory.New("no memory for the head")
	}
	return memory.Receive(w, r, math.MaxInt64-1, deadline)
}

// writeReply sends the reply of the host to the entry node.
func writeReply(w http.ResponseWriter, id string, headers Headers, memory *limit.Reservation, reply *hopReply) {
	header := w.Header()
	// Nodes need neither the date nor a detected content type.
	header["Date"], header["Content-Type"] = nil, nil
	status := http.StatusOK
	var body limit.Body
	switch {
	case reply.refused != nil:
		headers.SetRequestID(header, id)
		header[headerRefused] = []string{reply.refused.encode()}
	case reply.response == nil:
		headers.SetRequestID(header, id)
		header[headerFailed] = []string{"1"}
	default:
		forward.CopyEndToEnd(header, reply.response.Header)
		status, body = reply.response.Status, reply.response.Body
	}
	if reply.departed != nil {
		header[headerDeparted] = []string{encodeIncarnation(*reply.departed)}
	}
	if reply.hasReport {
		header[headerLoad] = []string{reply.report.encode()}
	}
	if bodyAllowed(status) {
		header["Content-Length"] = []string{strconv.Itoa(body.Len())}
	}
	w.WriteHeader(status)
	if err := memory.Send(w, body); err != nil && bodyAllowed(status) {
		panic(http.ErrAbortHandler)
	}
}

// bodyAllowed reports whether RFC 9110 allows a body with the status.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
