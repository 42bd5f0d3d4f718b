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

// viaNodes is the number of other nodes that are asked one after the other.
const viaNodes = 2

// params are the parameters of both methods.
type params struct {
	// Host and Incarnation name the host that may have the request.
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	// ID is the ID in the ledger.
	ID string `json:"id"`
	// ExpiresMS is the expiry of a key in milliseconds since 1970; 0 for a
	// request without a key.
	ExpiresMS int64 `json:"expires_ms,omitempty"`
}

func (p params) expires() time.Time {
	if p.ExpiresMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(p.ExpiresMS)
}

// paramsOf converts the target of a fence call.
func paramsOf(t atmostonce.FenceTarget) params {
	p := params{Host: t.Host, Incarnation: t.HostIncarnation, ID: t.ID}
	if !t.Expires.IsZero() {
		p.ExpiresMS = t.Expires.UnixMilli()
	}
	return p
}

// result is the result of both methods.
type result struct {
	State atmostonce.FenceState `json:"state"`
	// Code and Detail hold a kept error; Code is 0 for an answer.
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

// Viewer gives the newest view of the fleet.
type Viewer interface{ View() *fleet.View }

// Service answers fence calls of other nodes and makes those of this node.
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
	return s.ask(ctx, paramsOf(target)).split()
}

// FenceVia implements entry.Fencer.
func (s *Service) FenceVia(ctx context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error) {
	p := paramsOf(target)
	last := outcome{err: trace.NotFound("no other node can be asked")}
	for _, via := range s.others(target.Host) {
		last = outcome{}
		last.err = s.caller.Call(ctx, via, MethodFenceVia, p, &last.result)
		if last.err == nil {
			break
		}
	}
	return last.split()
}

// others returns a few random nodes beside this one and the host.
func (s *Service) others(host string) []string {
	view := s.viewer.View()
	var ids []string
	for id, node := range view.Nodes {
		if id != host && id != view.Self.ID && !view.DownNodes[id] && !node.Leaving {
			ids = append(ids, id)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(len(ids), viaNodes)]
}

// ask fences at the host, which may be this node.
func (s *Service) ask(ctx context.Context, p params) outcome {
	if p.Host == s.viewer.View().Self.ID {
		return outcome{result: s.local(p)}
	}
	var o outcome
	o.err = s.caller.Call(ctx, p.Host, MethodFence, p, &o.result)
	return o
}

func (s *Service) local(p params) result {
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
	r.Status = reply.Answer.Status
	r.Header = reply.Answer.Header
	r.Body = reply.Answer.Body
	return r
}

// HandleFence serves MethodFence.
func (s *Service) HandleFence(_ context.Context, raw json.RawMessage) (any, error) {
	p, err := decode(raw)
	if err != nil {
		return nil, err
	}
	if p.Host != s.viewer.View().Self.ID {
		return nil, trace.BadParameter("this node is not %q", p.Host)
	}
	return s.local(p), nil
}

// HandleFenceVia serves MethodFenceVia.
func (s *Service) HandleFenceVia(ctx context.Context, raw json.RawMessage) (any, error) {
	p, err := decode(raw)
	if err != nil {
		return nil, err
	}
	o := s.ask(ctx, p)
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

// outcome is a result or the reason why there is none.
type outcome struct {
	result result
	err    error
}

func (o outcome) split() (atmostonce.FenceState, *forward.Reply, error) {
	if o.err != nil {
		return "", nil, trace.Wrap(o.err)
	}
	return o.result.State, o.result.reply(), nil
}

// reply returns the kept reply of a request that is done.
func (r result) reply() *forward.Reply {
	if r.State != atmostonce.Done {
		return nil
	}
	if r.Code == 0 {
		return &forward.Reply{Answer: &forward.Answer{Status: r.Status, Header: r.Header, Body: r.Body, Replayed: true}}
	}
	code, ok := codes.ByNumber(r.Code)
	if !ok {
		code = codes.Internal
	}
	return &forward.Reply{Err: code.New("%s", r.Detail)}
}
