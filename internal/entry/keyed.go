package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/problem"
)

// runKeyed runs a request at the host that its key is bound to. A refusal is
// passed on as not-run only if the host has fenced the key, because an earlier
// request with the same key may have run.
func (x *exchange) runKeyed(ctx context.Context) *forward.Reply {
	bound, err := x.bind(ctx)
	if err != nil {
		return forward.ErrorReply(err)
	}
	key, err := x.entry.options.Signer.Parse(bound)
	if err != nil {
		return forward.ErrorReply(err)
	}
	if key.Service != x.request.Service {
		return forward.ErrorReply(codes.KeyInvalid.New("the key was issued for service %q", key.Service))
	}
	x.request.Key = bound
	x.entry.options.Balancer.Fresh(x.service, x.started)
	return x.sendKeyed(ctx, key)
}

// sendKeyed sends the request to the host of the key, or learns from a fence
// what became of it. A host that this node does not know yet may well be
// there: the key came from a node that knew it.
func (x *exchange) sendKeyed(ctx context.Context, key atmostonce.Key) *forward.Reply {
	host, ok := x.view.Nodes[key.Host]
	if ok && host.Version.Incarnation > key.HostIncarnation {
		return forward.ErrorReply(codes.KeyHostLost.New("host %s has a later incarnation than %d", key.Host, key.HostIncarnation))
	}
	reply := forward.ErrorReply(codes.HostUnreachable.New("host %s is not known here yet", key.Host))
	if ok && host.Version.Incarnation == key.HostIncarnation {
		reply = x.sendBound(ctx, host, key)
	}
	if reply.Err != nil && !reply.Fenced && !final(reply.Err) {
		reply = x.resolve(ctx, fenceTarget(key), reply)
	}
	x.fenced = reply.Fenced
	return reply
}

// sendBound sends the one attempt that a key allows.
func (x *exchange) sendBound(ctx context.Context, host *fleet.NodeRecord, key atmostonce.Key) *forward.Reply {
	x.request.Attempt = 1
	attempt := x.request
	attempt.Server = key.Server
	attempt.ServerIncarnation = key.ServerIncarnation
	return x.send(ctx, host, &attempt)
}

// fenceTarget names the request with the key at its host.
func fenceTarget(key atmostonce.Key) atmostonce.FenceTarget {
	return atmostonce.FenceTarget{
		Host:            key.Host,
		HostIncarnation: key.HostIncarnation,
		ID:              key.LedgerID(),
		Expires:         key.Expires(),
	}
}

// final reports whether a refusal of a keyed request holds for the key as well.
func final(err *codes.Error) bool {
	switch err.Code.Number {
	case codes.KeyReused.Number, codes.KeyInvalid.Number, codes.KeyExpired.Number, codes.KeyHostLost.Number:
		return true
	}
	return false
}

// bind returns the bound key of the request: the caller's own if a node issued
// it, otherwise the one that the caller's key is claimed for.
func (x *exchange) bind(ctx context.Context) (string, error) {
	if atmostonce.IsBound(x.request.CallerKey) {
		return x.request.CallerKey, nil
	}
	ctx, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	fingerprint := atmostonce.Fingerprint(x.request.Method, x.request.Path, x.request.Body)
	return x.entry.options.Claims.Bind(ctx, x.request.Account, x.request.CallerKey, fingerprint, x.issue)
}

// issue returns a new key, bound to a server that the balancer chooses.
func (x *exchange) issue() (string, error) {
	candidate, err := x.choose()
	if err != nil {
		return "", err
	}
	return x.entry.options.Signer.Issue(atmostonce.Key{
		Service:           x.request.Service,
		Host:              candidate.Host.ID,
		HostIncarnation:   candidate.Host.Version.Incarnation,
		Server:            candidate.Server.ID,
		ServerIncarnation: candidate.Server.Incarnation,
		ExpiresMS:         time.Now().Add(x.entry.options.KeyLifetime).UnixMilli(),
		Nonce:             atmostonce.NewNonce(),
	}), nil
}

// serveKey issues a bound key for the service in the query.
func (e *Entry) serveKey(w http.ResponseWriter, r *http.Request) {
	view := e.options.Viewer.View()
	x := &exchange{entry: e, self: view.Self.ID, view: view, started: time.Now()}
	x.request.Service = r.URL.Query().Get("service")
	if err := e.ready(view); err != nil {
		problem.Write(w, "", codes.Of(err))
		return
	}
	if _, ok := view.Config.Services[x.request.Service]; !ok {
		problem.Write(w, "", codes.NoRoute.New("there is no service %q", x.request.Service))
		return
	}
	key, err := x.issue()
	if err != nil {
		problem.Write(w, "", codes.Of(err))
		return
	}
	writeJSON(w, http.StatusCreated, api.IssuedKey{Key: key, ExpiresInMS: e.options.KeyLifetime.Milliseconds()})
}

// serveEntries lists the entry addresses, nearest first.
func (e *Entry) serveEntries(w http.ResponseWriter, _ *http.Request) {
	view := e.options.Viewer.View()
	entries := []api.EntryAddress{}
	for _, node := range view.Nodes {
		if node.Leaving || view.DownNodes[node.ID] {
			continue
		}
		entries = append(entries, api.EntryAddress{Node: node.ID, Address: node.CallerAddr, Region: node.Region, DataCentre: node.DataCentre})
	}
	sort.Slice(entries, func(i, j int) bool {
		first, second := distance(view.Self, entries[i]), distance(view.Self, entries[j])
		if first != second {
			return first < second
		}
		return entries[i].Node < entries[j].Node
	})
	writeJSON(w, http.StatusOK, api.EntryList{Entries: entries})
}

// distance orders addresses: this node, its data centre, its region, the rest.
func distance(self *fleet.NodeRecord, entry api.EntryAddress) int {
	switch {
	case entry.Node == self.ID:
		return 0
	case entry.DataCentre == self.DataCentre:
		return 1
	case entry.Region == self.Region:
		return 2
	}
	return 3
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status line is out already; a broken connection shows at the caller.
	_ = json.NewEncoder(w).Encode(value)
}
