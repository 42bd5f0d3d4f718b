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

// inbound serves the requests of other nodes.
type inbound struct {
	host *host
	// service is that of the own server.
	service string
	// maxBody bounds a request body in bytes.
	maxBody int64
	// bodies bounds the memory of all bodies.
	bodies  *limit.BodyMemory
	headers Headers
	// onVersion is called with the configuration version of another node.
	onVersion func(version uint64, inbound string)
}

// ServeHTTP implements http.Handler.
func (i *inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get(headerState); want != "" {
		serveState(w, r, i.host.board, decodeStateWanted(want))
		return
	}
	t, err := decodeTerms(r.Header.Get(headerHop))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.onVersion(t.version, t.inbound)
	arrived := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, i.maxBody))
	if err != nil {
		// The request did not arrive whole, so nothing of it runs.
		writeReply(w, i.headers.RequestID(r.Header), i.headers, refuse(gate.Busy, 0))
		return
	}
	request := &hopRequest{
		terms: t, id: i.headers.RequestID(r.Header), method: r.Method, target: hopTarget(r),
		host: r.Host, header: r.Header, body: body, hold: i.bodies.NewReservation(), arrived: arrived,
	}
	defer request.hold.Release()
	if t.service != i.service {
		writeReply(w, request.id, i.headers, refuse(gate.Closed, 0))
		return
	}
	writeReply(w, request.id, i.headers, i.host.serve(r.Context(), request))
}

// writeReply sends the reply of the host to the entry.
func writeReply(w http.ResponseWriter, id string, headers Headers, reply *hopReply) {
	header := w.Header()
	// Nodes have no use for a date or a guess of the content type.
	header["Date"], header["Content-Type"] = nil, nil
	status := http.StatusOK
	var body []byte
	switch {
	case reply.refused != nil:
		headers.SetRequestID(header, id)
		header[headerRefused] = []string{reply.refused.encode()}
	case reply.answer == nil:
		headers.SetRequestID(header, id)
		header[headerFailed] = []string{"1"}
	default:
		forward.CopyEndToEnd(header, reply.answer.Header)
		status, body = reply.answer.Status, reply.answer.Body
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
