package confsync

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// MethodSince is the RPC method that returns the rows changed since a version.
	MethodSince = "config.since"
	// peerTimeout bounds the request for one page from a peer.
	peerTimeout = 2 * time.Second
	// maxPages bounds the pages of one fetch.
	maxPages = 1_000
	// requiredPeers is how many peers must have answered before a node becomes
	// ready without the platform. The node misses a change that is in force
	// elsewhere only if all three of them miss it.
	requiredPeers = 3
	// peerDiscoveryWait is how long a node waits for gossip to discover more
	// peers while it knows fewer than requiredPeers.
	peerDiscoveryWait = 5 * time.Second
)

type sinceParams struct {
	From    string  `json:"from"`
	Version uint64  `json:"v"`
	After   *cursor `json:"after,omitempty"`
}

type sinceResult struct {
	// Fresh reports whether the peer itself has a complete configuration.
	Fresh   bool        `json:"fresh"`
	Version uint64      `json:"v"`
	Horizon uint64      `json:"h,omitempty"`
	Full    bool        `json:"full,omitempty"`
	Rows    []fleet.Row `json:"rows,omitempty"`
	Next    *cursor     `json:"next,omitempty"`
}

// AnswerSince handles calls of MethodSince.
func (s *Syncer) AnswerSince(_ context.Context, raw json.RawMessage) (any, error) {
	var params sinceParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, trace.BadParameter("config.since: %v", err)
	}
	result := sinceResult{Fresh: s.Fresh()}
	result.Version, result.Horizon = s.mirror.state()
	if result.Version > params.Version {
		result.Rows, result.Full, result.Next = s.mirror.since(params.Version, params.After)
	}
	return result, nil
}

// fetch updates this node to at least the version that the peer has at the
// first page. It returns that version and whether the peer itself is fresh.
func (s *Syncer) fetch(ctx context.Context, peer string) (version uint64, fresh bool, err error) {
	own, _ := s.mirror.state()
	first, err := s.fetchPage(ctx, peer, own, nil)
	if err != nil {
		return 0, false, err
	}
	if first.Version <= own {
		return first.Version, first.Fresh, nil
	}
	u := update{version: first.Version, rows: first.Rows, full: first.Full, horizon: first.Horizon}
	next := first.Next
	for pages := 1; next != nil; pages++ {
		if pages >= maxPages || len(u.rows) > maxRows {
			return 0, false, trace.LimitExceeded("the configuration of node %s has too many pages or rows", peer)
		}
		page, err := s.fetchPage(ctx, peer, own, next)
		if err != nil {
			return 0, false, err
		}
		if page.Full != u.full {
			// The peer applied a full update between two pages.
			return 0, false, trace.CompareFailed("the configuration of node %s was replaced between two pages", peer)
		}
		u.rows = append(u.rows, page.Rows...)
		next = page.Next
	}
	s.apply(u)
	return first.Version, first.Fresh, nil
}

func (s *Syncer) fetchPage(ctx context.Context, peer string, own uint64, after *cursor) (sinceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var result sinceResult
	err := s.peers.Call(ctx, peer, MethodSince, sinceParams{From: s.self, Version: own, After: after}, &result)
	return result, err
}

// catchUpWith fetches the configuration from a peer that is ahead. A failure is not
// retried here: the next gossip exchange with a peer that is ahead triggers
// another fetch.
func (s *Syncer) catchUpWith(ctx context.Context, peer string) {
	if _, _, err := s.fetch(ctx, peer); err != nil {
		s.log.Debug("failed to fetch the configuration from a peer", zap.String("peer", peer), zap.Error(err))
	}
}

// peerSurvey records the answers of peers in one epoch, from which a node decides
// whether it is ready without the platform.
type peerSurvey struct {
	epoch         uint64
	answers       map[string]bool
	newestVersion uint64
	firstAnswer   time.Time
}

// askPeers asks the peers that have not answered in this epoch, and opens the
// readiness gate once enough have.
func (s *Syncer) askPeers(ctx context.Context, epoch uint64) {
	if s.survey.epoch != epoch {
		s.survey = peerSurvey{epoch: epoch, answers: map[string]bool{}}
	}
	peers := s.reachablePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers {
		if len(s.survey.answers) >= requiredPeers {
			break
		}
		if !s.survey.answers[peer.ID] {
			s.askPeer(ctx, peer.ID)
		}
	}
	if own, _ := s.mirror.state(); s.enoughAnswers(len(peers)) && own >= s.survey.newestVersion {
		s.markFresh(epoch)
	}
}

// askPeer fetches the configuration from one peer. The answer of a peer whose own
// configuration is not complete does not count, but its rows are applied.
func (s *Syncer) askPeer(ctx context.Context, peer string) {
	version, fresh, err := s.fetch(ctx, peer)
	if err != nil || !fresh {
		return
	}
	if s.survey.firstAnswer.IsZero() {
		s.survey.firstAnswer = time.Now()
	}
	s.survey.answers[peer] = true
	s.survey.newestVersion = max(s.survey.newestVersion, version)
}

// enoughAnswers reports whether enough peers have answered under the rule in
// doc.go. known is the number of known peers.
func (s *Syncer) enoughAnswers(known int) bool {
	count := len(s.survey.answers)
	if count >= requiredPeers {
		return true
	}
	return count > 0 && count >= known && time.Since(s.survey.firstAnswer) >= peerDiscoveryWait
}
