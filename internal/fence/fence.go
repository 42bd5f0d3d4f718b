package fence

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
)

// Methods of the control protocol.
const (
	MethodFence    = "request.fence"
	MethodFenceVia = "request.fenceVia"
)

// maxRelays bounds the number of other nodes through which a fence call is tried in turn.
const maxRelays = 2

// params are the parameters of both methods.
type params struct {
	// Host and Incarnation identify the host that may have the request.
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	// ID is the ID of the request in the host's ledger.
	ID string `json:"id"`
	// ExpiresMS is the expiry of the key in milliseconds since 1970; 0 for a request without
	// a key.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
}

func (p params) expires() time.Time {
	if p.ExpiresMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(p.ExpiresMS)
}

// newParams returns the parameters for the target of a fence call.
func newParams(t atmostonce.FenceTarget) params {
	p := params{Host: t.Host, Incarnation: t.HostIncarnation, ID: t.ID}
	if !t.Expires.IsZero() {
		p.ExpiresMS = t.Expires.UnixMilli()
	}
	return p
}

// result is the result of both methods.
type result struct {
	State atmostonce.FenceState `json:"state"`
	// Code and Detail hold the error of the stored reply; Code is 0 for a response.
	Code   int         `json:"code,omitempty"`
	Detail string      `json:"detail,omitempty"`
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Caller calls methods of other nodes; package gossip implements it.
type Caller interface {
	Call(ctx context.Context, nodeID, method string, params, result any) error
}

// Viewer returns the newest view of the fleet.
type Viewer interface{ View() *fleet.View }

// Service serves the fence calls of other nodes and makes those of this node.
type Service struct {
	caller Caller
	viewer Viewer
	ledger *atmostonce.Ledger
}

// New returns the fence service of a node.
func New(caller Caller, viewer Viewer, ledger *atmostonce.Ledger) *Service {
	return &Service{caller: caller, viewer: viewer, ledger: ledger}
}

// Fence implements entry.Fencer.
func (s *Service) Fence(ctx context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error) {
	return s.fenceAtHost(ctx, newParams(target)).unpack()
}

// FenceVia implements entry.Fencer.
func (s *Service) FenceVia(ctx context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error) {
	p := newParams(target)
	last := callResult{err: trace.NotFound("no other node is available as a relay")}
	for _, via := range s.relays(target.Host) {
		last = callResult{}
		last.err = s.caller.Call(ctx, via, MethodFenceVia, p, &last.result)
		if last.err == nil {
			break
		}
	}
	return last.unpack()
}

// relays returns up to maxRelays random nodes other than this one and the host.
func (s *Service) relays(host string) []string {
	view := s.viewer.View()
	var ids []string
	for id, node := range view.Nodes {
		if id != host && id != view.Self.ID && !view.DownNodes[id] && !node.Leaving {
			ids = append(ids, id)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(len(ids), maxRelays)]
}

// fenceAtHost fences the request at its host, which may be this node.
func (s *Service) fenceAtHost(ctx context.Context, p params) callResult {
	if p.Host == s.viewer.View().Self.ID {
		return callResult{result: s.fenceLocally(p)}
	}
	var o callResult
	o.err = s.caller.Call(ctx, p.Host, MethodFence, p, &o.result)
	return o
}

func (s *Service) fenceLocally(p params) result {
	if s.viewer.View().Self.Version.Incarnation != p.Incarnation {
		return result{State: atmostonce.NotKnown}
	}
	state, reply := s.ledger.Fence(p.ID, p.expires())
	r := result{State: state}
	if reply == nil {
		return r
	}
	if reply.Err != nil {
		r.Code = reply.Err.Code.Number
		r.Detail = reply.Err.Detail
		return r
	}
	r.Status = reply.Response.Status
	r.Header = reply.Response.Header
	r.Body = reply.Response.Body
	return r
}

// HandleFence serves MethodFence.
func (s *Service) HandleFence(_ context.Context, raw json.RawMessage) (any, error) {
	p, err := decode(raw)
	if err != nil {
		return nil, err
	}
	if p.Host != s.viewer.View().Self.ID {
		return nil, trace.BadParameter("the fence call is for node %q, not this node", p.Host)
	}
	return s.fenceLocally(p), nil
}

// HandleFenceVia serves MethodFenceVia.
func (s *Service) HandleFenceVia(ctx context.Context, raw json.RawMessage) (any, error) {
	p, err := decode(raw)
	if err != nil {
		return nil, err
	}
	o := s.fenceAtHost(ctx, p)
	return o.result, o.err
}

func decode(raw json.RawMessage) (params, error) {
	var p params
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, trace.BadParameter("fence parameters: %v", err)
	}
	if p.ID == "" || p.Host == "" {
		return p, trace.BadParameter("fence parameters: host and id must not be empty")
	}
	return p, nil
}

// callResult is the result of a fence call, or its error.
type callResult struct {
	result result
	err    error
}

func (o callResult) unpack() (atmostonce.FenceState, *forward.Reply, error) {
	if o.err != nil {
		return "", nil, trace.Wrap(o.err)
	}
	return o.result.State, o.result.reply(), nil
}

// reply returns the stored reply of a request that is done, or nil.
func (r result) reply() *forward.Reply {
	if r.State != atmostonce.Done {
		return nil
	}
	if r.Code == 0 {
		return &forward.Reply{Response: &forward.Response{Status: r.Status, Header: r.Header, Body: r.Body, Replayed: true}}
	}
	code, ok := codes.ByNumber(r.Code)
	if !ok {
		code = codes.Internal
	}
	return &forward.Reply{Err: code.New("%s", r.Detail)}
}
