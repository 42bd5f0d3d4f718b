package gossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// probeInterval is the time between two probes of a watched node.
	probeInterval = time.Second
	// probeTimeout bounds a direct probe. It is well above the pauses of a busy
	// process, about 100 ms, and the latency between regions.
	probeTimeout = 500 * time.Millisecond
	// viaTimeout bounds an indirect probe, which makes two hops.
	viaTimeout = time.Second
	// helpers is the number of nodes asked to probe in one's place.
	helpers = 3
	// failuresNeeded is the number of consecutive failed direct probes before
	// a path counts as broken; one lost connection is not enough.
	failuresNeeded = 2
)

// path is what this node knows about reaching one peer.
type path struct {
	failures int
	// broken is set after failuresNeeded failed direct probes.
	broken bool
	// unreachable is set when indirect probes failed too.
	unreachable bool
	probing     bool
}

// paths holds the paths to watched peers and when each peer was last heard.
type paths struct {
	mu    sync.Mutex
	byID  map[string]*path
	heard map[string]time.Time
}

func newPaths() *paths {
	return &paths{byID: map[string]*path{}, heard: map[string]time.Time{}}
}

// heardFrom records a sign of life: an answer to a call of this node, or a call
// from the peer over a connection on which it proved the secret.
func (s *Service) heardFrom(id string) {
	s.paths.mu.Lock()
	defer s.paths.mu.Unlock()
	s.paths.heard[id] = time.Now()
}

// failing reports whether the last direct probe of the peer failed.
func (p *paths) failing(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.byID[id]
	return ok && known.failures > 0
}

func (p *paths) addFailing(ids []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.byID {
		if known.failures > 0 && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

type probeParams struct {
	From string `json:"from"`
}

type probeResult struct {
	ID string `json:"id"`
}

type probeViaParams struct {
	From string `json:"from"`
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

func (s *Service) answerProbe(context.Context, json.RawMessage) (any, error) {
	return probeResult{ID: s.id}, nil
}

// answerProbeVia probes a node for a peer. The error is the probe's.
func (s *Service) answerProbeVia(ctx context.Context, raw json.RawMessage) (any, error) {
	var params probeViaParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if known, ok := s.store.addr(params.ID); !ok || known != params.Addr {
		// Only addresses of known nodes are called, so that a peer cannot use
		// this node to reach others.
		return nil, ErrUnknownNode
	}
	return probeResult{ID: params.ID}, s.probeOnce(ctx, params.ID, params.Addr)
}

func (s *Service) probeOnce(ctx context.Context, id, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var result probeResult
	_, err := s.callAddr(ctx, addr, id, methodProbe, probeParams{From: s.id}, &result)
	return err
}

// probeLoop probes every watched node.
func (s *Service) probeLoop(ctx context.Context) {
	for pause(ctx, jitter(probeInterval)) {
		for _, id := range s.watched() {
			go s.probePeer(ctx, id)
		}
	}
}

// watched returns the nodes that this node probes: its neighbours on the ring
// and every node to which the last probe failed.
func (s *Service) watched() []string {
	s.store.mu.Lock()
	watched, _ := s.store.ring.targets(s.id, s.isAvoided)
	s.store.mu.Unlock()
	return s.paths.addFailing(watched)
}

// Suspect probes a node soon, because a caller has reason to believe that the
// path to it is broken. If the probes fail, they go on until one succeeds.
func (s *Service) Suspect(nodeID string) {
	if nodeID != s.id {
		go s.probePeer(s.lifetime, nodeID)
	}
}

// probePeer probes a peer directly, again after a failure, and through helpers
// if that fails too.
func (s *Service) probePeer(ctx context.Context, id string) {
	addr, ok := s.store.addr(id)
	if !ok || !s.paths.begin(id) {
		return
	}
	defer s.paths.end(id)
	for {
		started := time.Now()
		err := s.probeOnce(ctx, id, addr)
		if ctx.Err() != nil || time.Since(started) > 2*probeTimeout {
			// The process was paused during the probe, which says nothing
			// about the peer.
			return
		}
		if err == nil {
			s.paths.succeeded(id)
			return
		}
		if s.paths.failed(id) >= failuresNeeded {
			break
		}
	}
	s.paths.setUnreachable(id, !s.reachableVia(ctx, id, addr))
}

// reachableVia asks other nodes to probe a peer.
func (s *Service) reachableVia(ctx context.Context, id, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, viaTimeout)
	defer cancel()
	asked := s.pickHelpers(id)
	answers := make(chan error, len(asked))
	for _, helper := range asked {
		go func() {
			answers <- s.Call(ctx, helper, methodProbeVia, probeViaParams{From: s.id, ID: id, Addr: addr}, nil)
		}()
	}
	for range asked {
		if err := <-answers; err == nil {
			return true
		}
	}
	return false
}

// pickHelpers returns random reachable nodes other than the peer.
func (s *Service) pickHelpers(id string) []string {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	var candidates []string
	for _, p := range s.store.ring.places {
		if p.id != s.id && p.id != id && !s.isAvoided(p.id) {
			candidates = append(candidates, p.id)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(helpers, len(candidates))]
}

func (p *paths) get(id string) *path {
	if p.byID[id] == nil {
		p.byID[id] = &path{}
	}
	return p.byID[id]
}

// begin claims the probe of a peer, so that slow probes do not pile up.
func (p *paths) begin(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.get(id)
	if known.probing {
		return false
	}
	known.probing = true
	return true
}

func (p *paths) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.byID[id]; ok {
		known.probing = false
	}
}

func (p *paths) succeeded(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.get(id)
	known.failures, known.broken, known.unreachable = 0, false, false
}

func (p *paths) failed(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.get(id)
	known.failures++
	known.broken = known.broken || known.failures >= failuresNeeded
	return known.failures
}

func (p *paths) setUnreachable(id string, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(id).unreachable = unreachable
}
