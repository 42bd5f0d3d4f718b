package sidecar

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/limit"
)

// hopHandler serves the requests of other nodes.
type hopHandler struct {
	host *host
	// service is the service of the local server.
	service string
	// maxBody bounds a request body in bytes.
	maxBody int64
	// bodies bounds the total memory of all bodies.
	bodies  *limit.BodyMemory
	headers Headers
	// onVersion is called with the configuration version of another node.
	onVersion func(version uint64, inbound string)
}

// ServeHTTP implements http.Handler.
func (h *hopHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(headerState); want != "" {
		serveState(w, r, h.host.control, decodeStateRequest(want))
		return
	}
	metadata, err := decodeHopMetadata(r.Header.Get(headerHop))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.onVersion(metadata.version, metadata.inbound)
	arrived := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBody))
	if err != nil {
		// The body is incomplete, so the request is not run.
		writeReply(w, h.headers.RequestID(r.Header), h.headers, refuse(gate.Busy, 0))
		return
	}
	request := &hopRequest{
		hopMetadata: metadata, id: h.headers.RequestID(r.Header), method: r.Method, target: originalTarget(r),
		host: r.Host, header: r.Header, body: body, responseMemory: h.bodies.NewReservation(), arrived: arrived,
		departed: decodeIncarnation(r.Header.Get(headerDeparted)),
	}
	defer request.responseMemory.Release()
	if metadata.service != h.service {
		writeReply(w, request.id, h.headers, refuse(gate.Closed, 0))
		return
	}
	writeReply(w, request.id, h.headers, h.host.serve(r.Context(), request))
}

// writeReply sends the reply of the host to the entry node.
func writeReply(w http.ResponseWriter, id string, headers Headers, reply *hopReply) {
	header := w.Header()
	// Nodes need neither the date nor a detected content type.
	header["Date"], header["Content-Type"] = nil, nil
	status := http.StatusOK
	var body []byte
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
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil && bodyAllowed(status) {
		panic(http.ErrAbortHandler)
	}
}

// bodyAllowed reports whether RFC 9110 allows a body with the status.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
