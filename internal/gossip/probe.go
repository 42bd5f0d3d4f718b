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
	// probeInterval is the time between two probes of a monitored node.
	probeInterval = time.Second
	// probeTimeout bounds a direct probe. It is well above the pauses of a busy process,
	// about 100 ms, and above the latency between regions.
	probeTimeout = 500 * time.Millisecond
	// indirectProbeTimeout bounds an indirect probe, which takes two hops.
	indirectProbeTimeout = time.Second
	// maxTimeoutFactor bounds the factor by which a node that detects that it is itself
	// slow extends both timeouts.
	maxTimeoutFactor = 8
	// maxTimerLag is how late the timeout of a probe may fire. A larger delay shows that
	// this process is waiting for CPU time; a probe involves about six such waits.
	maxTimerLag = 25 * time.Millisecond
	// indirectProbePeriod is the number of failed direct probes per indirect probe of a
	// node that is already reported as unreachable.
	indirectProbePeriod = 5
	// maxIndirectProbes bounds the indirect probes that a node runs concurrently on behalf
	// of others.
	maxIndirectProbes = 8
	// codeNoAnswer is the error code of an indirect probe that the target did not answer.
	// Any other failure of the helper is not evidence against the target.
	codeNoAnswer = -32010
	// helperCount is the number of nodes that are asked for an indirect probe.
	helperCount = 3
	// brokenPathThreshold is the number of consecutive failed direct probes after which a
	// path counts as broken. A single lost connection is not enough.
	brokenPathThreshold = 2
)

// path is the state of the network path from this node to one peer.
type path struct {
	failures int
	// broken is set after brokenPathThreshold consecutive failed direct probes.
	broken bool
	// unreachable is set if the indirect probes failed as well.
	unreachable bool
	probing     bool
}

// paths holds the paths to probed peers and the time of the last contact with each
// peer.
type paths struct {
	mu          sync.Mutex
	byID        map[string]*path
	lastContact map[string]time.Time
	// timeoutPenalty grows with each probe that timed out late, or that failed while no
	// helper answered either, and shrinks with each success. Probe timeouts grow with it,
	// because these failures suggest that this node is itself slow or disconnected.
	timeoutPenalty int
}

func newPaths() *paths {
	return &paths{byID: map[string]*path{}, lastContact: map[string]time.Time{}}
}

// recordContact records contact with a peer: a response to a call by this node, or a call
// by the peer over an authenticated connection.
func (s *Service) recordContact(id string) {
	s.paths.mu.Lock()
	defer s.paths.mu.Unlock()
	s.paths.lastContact[id] = time.Now()
}

// failing reports whether the last direct probe of the peer failed.
func (p *paths) failing(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.byID[id]
	return ok && known.failures > 0
}

func (p *paths) appendFailing(ids []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, known := range p.byID {
		if (known.failures > 0 || known.unreachable) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// errBusy is returned if an indirect probe cannot be run or was inconclusive.
var errBusy = errors.New("node is too busy for indirect probes")

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

func (s *Service) handleProbe(context.Context, json.RawMessage) (any, error) {
	return probeResult{ID: s.id}, nil
}

// handleProbeVia probes a node on behalf of a peer.
func (s *Service) handleProbeVia(ctx context.Context, raw json.RawMessage) (any, error) {
	var params probeViaParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	if known, ok := s.store.addr(params.ID); !ok || known != params.Addr {
		// Only the addresses of known nodes are called, so that a peer cannot use this
		// node to reach arbitrary hosts.
		return nil, ErrUnknownNode
	}
	defer s.indirectProbesRunning.Add(-1)
	if s.indirectProbesRunning.Add(1) > maxIndirectProbes {
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

// probeTimed probes a node directly. late is set if the probe failed and took longer than
// its timeout allows. This process was then paused or short of CPU time, and the failure
// says nothing about the node.
func (s *Service) probeTimed(ctx context.Context, id, addr string) (late bool, err error) {
	started, limit := time.Now(), s.paths.timeoutFactor()*probeTimeout+maxTimerLag
	err = s.probeOnce(ctx, id, addr)
	return err != nil && time.Since(started) > limit, err
}

// probeOnce probes a node directly, once.
func (s *Service) probeOnce(ctx context.Context, id, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, s.paths.timeoutFactor()*probeTimeout)
	defer cancel()
	var result probeResult
	_, err := s.callAddr(ctx, addr, id, methodProbe, probeParams{From: s.id}, &result)
	return err
}

// probeLoop probes every monitored node periodically.
func (s *Service) probeLoop(ctx context.Context) {
	for sleepContext(ctx, jitter(probeInterval)) {
		for _, id := range s.monitored() {
			go s.probePeer(ctx, id)
		}
	}
}

// monitored returns the nodes that this node probes: its successors on the ring and every
// node whose last probe failed.
func (s *Service) monitored() []string {
	s.store.mu.Lock()
	monitored, _ := s.store.ring.successors(s.id, s.isUnavailable)
	s.store.mu.Unlock()
	return s.paths.appendFailing(monitored)
}

// Suspect starts a probe of a node without waiting for the next interval. It is called
// when there is reason to believe that the path to the node is broken. If the probe fails,
// the node is probed periodically until a probe succeeds.
func (s *Service) Suspect(nodeID string) {
	if nodeID != s.id {
		go s.probePeer(s.lifetime, nodeID)
	}
}

// probePeer probes a peer directly, retries up to brokenPathThreshold failures, and then
// probes it through helpers.
func (s *Service) probePeer(ctx context.Context, id string) {
	addr, ok := s.store.addr(id)
	if !ok || !s.paths.beginProbe(id) {
		return
	}
	defer s.paths.endProbe(id)
	for {
		late, err := s.probeTimed(ctx, id, addr)
		if ctx.Err() != nil {
			return
		}
		if late {
			s.paths.applyVerdict(id, noEvidence)
			return
		}
		if err == nil {
			s.paths.recordSuccess(id)
			return
		}
		if s.paths.recordFailure(id) >= brokenPathThreshold {
			break
		}
	}
	if s.paths.indirectProbeDue(id) {
		s.paths.applyVerdict(id, s.probeIndirectly(ctx, id, addr))
	}
}

// verdict is the combined result of the indirect probes of a peer.
type verdict int

const (
	// noEvidence means that the probes were inconclusive, for example because no helper
	// answered. The fault may be on this node.
	noEvidence verdict = iota
	reachedIndirectly
	notReached
)

// probeIndirectly asks other nodes to probe a peer. If there are no other nodes, the
// failed direct probes decide.
func (s *Service) probeIndirectly(ctx context.Context, id, addr string) verdict {
	ctx, cancel := context.WithTimeout(ctx, s.paths.timeoutFactor()*indirectProbeTimeout)
	defer cancel()
	helpers := s.pickHelpers(id)
	if len(helpers) == 0 {
		return notReached
	}
	results := make(chan error, len(helpers))
	for _, helper := range helpers {
		go func() {
			results <- s.Call(ctx, helper, methodProbeVia, probeViaParams{From: s.id, ID: id, Addr: addr}, nil)
		}()
	}
	result := noEvidence
	for range helpers {
		err := <-results
		if err == nil {
			return reachedIndirectly
		}
		var coded *jsonrpc2.Error
		if errors.As(err, &coded) && coded.Code == codeNoAnswer {
			result = notReached
		}
	}
	return result
}

// pickHelpers chooses the nodes for an indirect probe: partners, because connections to
// them are already open, and other reachable nodes if there are too few partners.
func (s *Service) pickHelpers(id string) []string {
	chosen := slices.DeleteFunc(s.partners(), func(partner string) bool { return partner == id })
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	if len(chosen) >= helperCount {
		return chosen[:helperCount]
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, p := range s.store.ring.positions {
		if len(chosen) < helperCount && p.id != s.id && p.id != id && !s.isUnavailable(p.id) && !slices.Contains(chosen, p.id) {
			chosen = append(chosen, p.id)
		}
	}
	return chosen
}

func (p *paths) getOrCreate(id string) *path {
	if p.byID[id] == nil {
		p.byID[id] = &path{}
	}
	return p.byID[id]
}

// beginProbe claims the probing of a peer, so that slow probes do not accumulate. It
// returns false if a probe of the peer is already running.
func (p *paths) beginProbe(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.getOrCreate(id)
	if known.probing {
		return false
	}
	known.probing = true
	return true
}

func (p *paths) endProbe(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.byID[id]; ok {
		known.probing = false
	}
}

func (p *paths) recordSuccess(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.getOrCreate(id)
	known.failures, known.broken, known.unreachable = 0, false, false
	p.timeoutPenalty = max(p.timeoutPenalty-1, 0)
}

func (p *paths) recordFailure(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.getOrCreate(id)
	known.failures++
	known.broken = known.broken || known.failures >= brokenPathThreshold
	return known.failures
}

// indirectProbeDue reports whether a peer should be probed through helpers now.
func (p *paths) indirectProbeDue(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.getOrCreate(id)
	return !known.unreachable || known.failures%indirectProbePeriod == 0
}

// applyVerdict updates the path to a peer.
func (p *paths) applyVerdict(id string, result verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if result == noEvidence {
		p.timeoutPenalty = min(p.timeoutPenalty+1, maxTimeoutFactor-1)
		return
	}
	// The path no longer exists if the node was forgotten during the probe. A path created
	// here would be reported as unreachable without ever being probed again.
	if known, ok := p.byID[id]; ok && known.failures > 0 {
		known.unreachable = result == notReached
	}
}

// timeoutFactor is the factor by which probe timeouts are extended.
func (p *paths) timeoutFactor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.timeoutPenalty + 1)
}
