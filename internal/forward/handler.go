package forward

import (
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Server runs requests at attached backend servers; package host implements it.
type Server interface {
	// Serve runs one attempt and returns its reply, never nil.
	Serve(ctx context.Context, r *Request) *Reply
}

// Handler takes hops on the traffic listener.
type Handler struct {
	// Token is the credential that a hop must carry.
	Token string
	// MaxBody bounds a request body in bytes.
	MaxBody int64
	// Server runs the requests.
	Server Server
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(headerToken)), []byte(h.Token)) != 1 {
		http.Error(w, "the hop carries no valid token", http.StatusForbidden)
		return
	}
	request, err := decode(r.Header, time.Now())
	if err != nil {
		h.write(w, r.Header.Get(headerID), Refuse(err))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBody))
	if err != nil {
		// The request did not arrive whole, so nothing of it runs.
		h.write(w, request.ID, Refuse(codes.BadRequest.Wrap(err, "request body")))
		return
	}
	request.Body = body
	h.write(w, request.ID, h.Server.Serve(r.Context(), request))
}

func (h *Handler) write(w http.ResponseWriter, id string, reply *Reply) {
	defer reply.Close()
	header := w.Header()
	header.Set(headerID, id)
	if reply.HasLoad {
		header.Set(headerRunning, strconv.Itoa(reply.Load.Running))
		header.Set(headerQueued, strconv.Itoa(reply.Load.Queued))
	}
	if reply.Fenced {
		header.Set(headerFenced, "1")
	}
	if reply.Err != nil {
		header.Set(headerCode, strconv.Itoa(reply.Err.Code.Number))
		header.Set(headerDetail, reply.Err.Detail)
		header.Set("Content-Length", "0")
		return
	}
	h.writeAnswer(w, reply.Answer)
}

func (h *Handler) writeAnswer(w http.ResponseWriter, answer *Answer) {
	header := w.Header()
	CopyEndToEnd(header, answer.Header)
	header.Set(headerStatus, strconv.Itoa(answer.Status))
	if answer.Replayed {
		header.Set(headerReplayed, "1")
	}
	if answer.Rest == nil {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	if _, err := w.Write(answer.Body); err != nil {
		return
	}
	if answer.Rest == nil {
		return
	}
	if _, err := io.Copy(w, answer.Rest); err != nil {
		// Ending the response here would make a cut answer look whole.
		panic(http.ErrAbortHandler)
	}
}
