package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// maxPeerDocument is the size in bytes up to which nodes give each other the encoded
// configuration. Larger ones come from the store, because the link of a node that
// many ask at once is narrow.
const maxPeerDocument = 64 << 10

// stateWanted is what a node asks another one for.
type stateWanted struct {
	configuration, members bool
	// since is the version of the table of members that the node has.
	since uint64
	// large asks for a configuration of any size, for a node that cannot reach the
	// store.
	large bool
}

func (w stateWanted) none() bool { return !w.configuration && !w.members }

func (w stateWanted) encode() string {
	return fmt.Sprintf("%d;%d;%d;%d", bit(w.configuration), bit(w.members), w.since, bit(w.large))
}

// decodeStateWanted returns nothing wanted for a text that is not understood.
func decodeStateWanted(text string) stateWanted {
	fields := strings.Split(text, ";")
	if len(fields) != 4 {
		return stateWanted{}
	}
	since, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return stateWanted{}
	}
	return stateWanted{configuration: fields[0] == "1", members: fields[1] == "1", since: since, large: fields[3] == "1"}
}

// peerState is what a node tells another that lacks it.
type peerState struct {
	// Document is the encoded configuration. Large tells that it is left out for
	// its size.
	Document []byte         `json:"document,omitempty"`
	Large    bool           `json:"large,omitempty"`
	Members  *memberChanges `json:"members,omitempty"`
}

// stateFor returns what another node wants.
func (b *Board) stateFor(ctx context.Context, want stateWanted) (peerState, error) {
	var told peerState
	if want.configuration {
		document := b.View().Document
		told.Large = len(document) > maxPeerDocument && !want.large
		if !told.Large {
			told.Document = document
		}
	}
	if want.members {
		var changes memberChanges
		if err := b.Do(ctx, func(s *state) { changes = s.members.since(want.since) }); err != nil {
			return peerState{}, trace.Wrap(err)
		}
		told.Members = &changes
	}
	return told, nil
}

func serveState(w http.ResponseWriter, r *http.Request, board *Board, want stateWanted) {
	state, err := board.stateFor(r.Context(), want)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(state)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A peer that cannot read the state asks another node.
	_, _ = w.Write(body)
}
