package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/limit"
)

// maxPeerDocument is the size in bytes up to which nodes send each other the encoded
// configuration. Larger ones are read from the store, because the link of a node that many others
// ask at once is narrow.
const maxPeerDocument = 64 << 10

// stateRequest is what a node requests from another one.
type stateRequest struct {
	configuration, members bool
	// since is the revision of the members table that the requesting node has.
	since currency.Revision
	// anySize requests the configuration regardless of its size, for a node that cannot reach the
	// store.
	anySize bool
}

func (w stateRequest) empty() bool { return !w.configuration && !w.members }

func (w stateRequest) encode() string {
	return fmt.Sprintf("%d;%d;%d;%d;%d", boolToInt(w.configuration), boolToInt(w.members), w.since.Era, w.since.Version, boolToInt(w.anySize))
}

// decodeStateRequest returns an empty request if the text is malformed.
func decodeStateRequest(text string) stateRequest {
	fields := strings.Split(text, ";")
	if len(fields) != 5 {
		return stateRequest{}
	}
	era, eraErr := strconv.ParseUint(fields[2], 10, 64)
	version, versionErr := strconv.ParseUint(fields[3], 10, 64)
	if eraErr != nil || versionErr != nil {
		return stateRequest{}
	}
	return stateRequest{
		configuration: fields[0] == "1", members: fields[1] == "1",
		since: currency.Revision{Era: era, Version: version}, anySize: fields[4] == "1",
	}
}

// peerState is the response to a stateRequest.
type peerState struct {
	// Document is the encoded configuration. Large tells that it was omitted because of its size.
	Document []byte         `json:"document,omitempty"`
	Large    bool           `json:"large,omitempty"`
	Members  *memberChanges `json:"members,omitempty"`
}

// stateFor returns the state that another node requests.
func (c *ControlLoop) stateFor(ctx context.Context, want stateRequest) (peerState, error) {
	var reply peerState
	if want.configuration {
		document := c.View().Document
		reply.Large = len(document) > maxPeerDocument && !want.anySize
		if !reply.Large {
			reply.Document = document
		}
	}
	if want.members {
		var changes memberChanges
		if err := c.Do(ctx, func(s *state) { changes = s.members.since(want.since) }); err != nil {
			return peerState{}, trace.Wrap(err)
		}
		reply.Members = &changes
	}
	return reply, nil
}

// stateCopies is how many copies of the configuration an answer takes while it is encoded.
const stateCopies = 3

func serveState(w http.ResponseWriter, r *http.Request, control *ControlLoop, want stateRequest, memory *limit.Reservation) {
	if !memory.Reserve(hopCost + stateCopies*int64(len(control.View().Document))) {
		http.Error(w, "no memory for the answer", http.StatusServiceUnavailable)
		return
	}
	state, err := control.stateFor(r.Context(), want)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(state)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// If the write fails, the peer requests the state from another node.
	_ = memory.Send(w, limit.NewBody(body))
}
