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

// runKeyed runs a request at the host that its key is bound to. An error is
// reported as not-run only if the host has fenced the key, because an earlier
// request with the same key may have run.
func (x *exchange) runKeyed(ctx context.Context) *forward.Reply {
	bound, err := x.boundKey(ctx)
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
	x.entry.options.Balancer.RecordRequest(x.service, x.started)
	return x.sendKeyed(ctx, key)
}

// sendKeyed sends the request to the host of the key. If that gives no definite
// result, it fences the key to find out whether the request ran. A host or
// incarnation that this node does not know yet may exist nevertheless, because the
// node that issued the key knew it.
func (x *exchange) sendKeyed(ctx context.Context, key atmostonce.Key) *forward.Reply {
	host, ok := x.view.Nodes[key.Host]
	if ok && host.Version.Incarnation > key.HostIncarnation {
		return forward.ErrorReply(codes.KeyHostLost.New("host %s has restarted since its incarnation %d, which the key is bound to", key.Host, key.HostIncarnation))
	}
	reply := forward.ErrorReply(codes.HostUnreachable.New("this node does not know the incarnation of host %s that the key is bound to yet", key.Host))
	if ok && host.Version.Incarnation == key.HostIncarnation {
		reply = x.sendToBoundHost(ctx, host, key)
	}
	if reply.Err != nil && !reply.Fenced && !isFinalForKey(reply.Err) {
		reply = x.resolveOutcome(ctx, fenceTarget(key), reply)
	}
	x.fenced = reply.Fenced
	return reply
}

// sendToBoundHost sends the only attempt that a key permits.
func (x *exchange) sendToBoundHost(ctx context.Context, host *fleet.NodeRecord, key atmostonce.Key) *forward.Reply {
	x.request.Attempt = 1
	attempt := x.request
	attempt.Server = key.Server
	attempt.ServerIncarnation = key.ServerIncarnation
	return x.send(ctx, host, &attempt)
}

// fenceTarget identifies the request of the key in the ledger of its host.
func fenceTarget(key atmostonce.Key) atmostonce.FenceTarget {
	return atmostonce.FenceTarget{
		Host:            key.Host,
		HostIncarnation: key.HostIncarnation,
		ID:              key.LedgerID(),
		Expires:         key.Expires(),
	}
}

// isFinalForKey reports whether an error holds for every request with the same key,
// so that a fence could not improve the outcome.
func isFinalForKey(err *codes.Error) bool {
	switch err.Code.Number {
	case codes.KeyReused.Number, codes.KeyInvalid.Number, codes.KeyExpired.Number, codes.KeyHostLost.Number:
		return true
	}
	return false
}

// boundKey returns the bound key of the request: the caller's key itself if a node
// issued it, otherwise the bound key that is claimed for the caller's key.
func (x *exchange) boundKey(ctx context.Context) (string, error) {
	if atmostonce.IsBound(x.request.CallerKey) {
		return x.request.CallerKey, nil
	}
	ctx, cancel := context.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	fingerprint := atmostonce.Fingerprint(x.request.Method, x.request.Path, x.request.Body)
	return x.entry.options.Claims.Bind(ctx, x.request.Account, x.request.CallerKey, fingerprint, x.issueKey)
}

// issueKey returns a new key that is bound to a server selected by the balancer.
func (x *exchange) issueKey() (string, error) {
	candidate, err := x.chooseServer()
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

// serveIssueKey issues a bound key for the service named in the query.
func (e *Entry) serveIssueKey(w http.ResponseWriter, r *http.Request) {
	view := e.options.Viewer.View()
	x := &exchange{entry: e, self: view.Self.ID, view: view, started: time.Now()}
	x.request.Service = r.URL.Query().Get("service")
	if err := e.checkReady(view); err != nil {
		problem.Write(w, "", codes.FromError(err))
		return
	}
	if _, ok := view.Config.Services[x.request.Service]; !ok {
		problem.Write(w, "", codes.NoRoute.New("service %q is not configured", x.request.Service))
		return
	}
	key, err := x.issueKey()
	if err != nil {
		problem.Write(w, "", codes.FromError(err))
		return
	}
	writeJSON(w, http.StatusCreated, api.IssuedKey{Key: key, ExpiresInMS: e.options.KeyLifetime.Milliseconds()})
}

// serveEntries lists the entry addresses of the fleet, nearest first.
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
		first, second := localityRank(view.Self, entries[i]), localityRank(view.Self, entries[j])
		if first != second {
			return first < second
		}
		return entries[i].Node < entries[j].Node
	})
	writeJSON(w, http.StatusOK, api.EntryList{Entries: entries})
}

// localityRank orders entry addresses by locality: this node, its data centre, its
// region, the rest.
func localityRank(self *fleet.NodeRecord, entry api.EntryAddress) int {
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
	// The status line has been sent, so an error can no longer be reported; the
	// caller sees the broken connection.
	_ = json.NewEncoder(w).Encode(value)
}
