package gossip

import (
	"context"
	"encoding/json"
	"errors"
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
	// maxSlowness bounds the factor by which a node that finds itself slow
	// extends both timeouts.
	maxSlowness = 8
	// maxLag is how late the timeout of a probe may fire. A later one shows that
	// this process waits for a processor; a probe takes about six such waits.
	maxLag = 25 * time.Millisecond
	// viaEvery is the number of direct probes between two indirect ones of a
	// node that is already listed as unreachable.
	viaEvery = 5
	// maxVia bounds the indirect probes that a node does for others at a time.
	maxVia = 8
	// codeNoAnswer answers an indirect probe that the target did not answer. Any
	// other failure of the helper is no evidence against the target.
	codeNoAnswer = -32010
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
	// slowness rises with each probe that timed out late, or failed while the
	// helpers did not answer either, and falls with each success.
	slowness int
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
		if (known.failures > 0 || known.unreachable) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// errBusy refuses an indirect probe.
var errBusy = errors.New("too many indirect probes at a time")

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

// answerProbeVia probes a node for a peer.
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
	defer s.viaRunning.Add(-1)
	if s.viaRunning.Add(1) > maxVia {
		return nil, errBusy
	}
	late, err := s.probeTimed(ctx, params.ID, params.Addr)
	if late {
		return nil, errBusy
	}
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeNoAnswer, Message: err.Error()}
	}
	return probeResult{ID: params.ID}, nil
}

// probeTimed probes a node directly. A failure is late if this process was
// paused or starved meanwhile, so that it says nothing about the node.
func (s *Service) probeTimed(ctx context.Context, id, addr string) (late bool, err error) {
	started, limit := time.Now(), s.paths.patience()*probeTimeout+maxLag
	err = s.probeOnce(ctx, id, addr)
	return err != nil && time.Since(started) > limit, err
}

// probeOnce probes a node directly.
func (s *Service) probeOnce(ctx context.Context, id, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, s.paths.patience()*probeTimeout)
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
		late, err := s.probeTimed(ctx, id, addr)
		if ctx.Err() != nil {
			return
		}
		if late {
			s.paths.conclude(id, noEvidence)
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
	if s.paths.viaDue(id) {
		s.paths.conclude(id, s.askHelpers(ctx, id, addr))
	}
}

// verdict is the result of indirect probes.
type verdict int

const (
	// noEvidence says that no helper answered, so the fault may be here.
	noEvidence verdict = iota
	reachedVia
	notReached
)

// askHelpers asks other nodes to probe a peer. Without other nodes, the direct
// probes decide.
func (s *Service) askHelpers(ctx context.Context, id, addr string) verdict {
	ctx, cancel := context.WithTimeout(ctx, s.paths.patience()*viaTimeout)
	defer cancel()
	asked := s.pickHelpers(id)
	if len(asked) == 0 {
		return notReached
	}
	answers := make(chan error, len(asked))
	for _, helper := range asked {
		go func() {
			answers <- s.Call(ctx, helper, methodProbeVia, probeViaParams{From: s.id, ID: id, Addr: addr}, nil)
		}()
	}
	result := noEvidence
	for range asked {
		err := <-answers
		if err == nil {
			return reachedVia
		}
		var coded *jsonrpc2.Error
		if errors.As(err, &coded) && coded.Code == codeNoAnswer {
			result = notReached
		}
	}
	return result
}

// pickHelpers returns partners, to which connections are open, and if they are
// too few other reachable nodes.
func (s *Service) pickHelpers(id string) []string {
	chosen := slices.DeleteFunc(s.partners(), func(partner string) bool { return partner == id })
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	if len(chosen) >= helpers {
		return chosen[:helpers]
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, p := range s.store.ring.places {
		if len(chosen) < helpers && p.id != s.id && p.id != id && !s.isAvoided(p.id) && !slices.Contains(chosen, p.id) {
			chosen = append(chosen, p.id)
		}
	}
	return chosen
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
	p.slowness = max(p.slowness-1, 0)
}

func (p *paths) failed(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.get(id)
	known.failures++
	known.broken = known.broken || known.failures >= failuresNeeded
	return known.failures
}

// viaDue reports whether helpers are to be asked about a peer now.
func (p *paths) viaDue(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.get(id)
	return !known.unreachable || known.failures%viaEvery == 0
}

// conclude takes over the result of indirect probes.
func (p *paths) conclude(id string, result verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result == noEvidence {
		p.slowness = min(p.slowness+1, maxSlowness-1)
		return
	}
	// The path is gone if the node was forgotten during the probe. A new one would
	// be listed without being probed again.
	if known, ok := p.byID[id]; ok && known.failures > 0 {
		known.unreachable = result == notReached
	}
}

// patience is the factor on the timeouts of probes.
func (p *paths) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.slowness + 1)
}
