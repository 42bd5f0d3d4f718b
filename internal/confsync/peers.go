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
	// MethodSince returns the rows changed since a version.
	MethodSince = "config.since"
	// peerTimeout bounds one page from a peer.
	peerTimeout = 2 * time.Second
	// maxPages bounds the pages of one fetch.
	maxPages = 1_000
	// enoughPeers is how many peers must have answered before a node goes
	// without the platform. All three would have to have missed a change that
	// is in force elsewhere.
	enoughPeers = 3
	// meetPause is how long a node waits to get to know more peers when fewer
	// than enoughPeers are known.
	meetPause = 5 * time.Second
)

type sinceParams struct {
	From    string  `json:"from"`
	Version uint64  `json:"v"`
	After   *cursor `json:"after,omitempty"`
}

type sinceResult struct {
	// Fresh tells that the peer itself has a complete configuration.
	Fresh   bool        `json:"fresh"`
	Version uint64      `json:"v"`
	Horizon uint64      `json:"h,omitempty"`
	Full    bool        `json:"full,omitempty"`
	Rows    []fleet.Row `json:"rows,omitempty"`
	Next    *cursor     `json:"next,omitempty"`
}

// AnswerSince is the handler of MethodSince.
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

// fetch brings this node to at least the version that the peer has now. It
// returns that version and whether the peer is fresh itself.
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
			return 0, false, trace.LimitExceeded("the configuration of %s has no end", peer)
		}
		page, err := s.fetchPage(ctx, peer, own, next)
		if err != nil {
			return 0, false, err
		}
		if page.Full != u.full {
			// The peer replaced its whole configuration between two pages.
			return 0, false, trace.CompareFailed("the configuration of %s changed between pages", peer)
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

// followPeer fetches from a peer that is ahead. After a failure the next
// exchange with any peer that is ahead gives another chance.
func (s *Syncer) followPeer(ctx context.Context, peer string) {
	if _, _, err := s.fetch(ctx, peer); err != nil {
		s.log.Debug("configuration not fetched from peer", zap.String("peer", peer), zap.Error(err))
	}
}

// survey is the state of asking peers for one epoch.
type survey struct {
	epoch   uint64
	answers map[string]bool
	newest  uint64
	first   time.Time
}

// askPeers asks peers that have not answered yet and opens the gate when enough
// have.
func (s *Syncer) askPeers(ctx context.Context, epoch uint64) {
	if s.asked.epoch != epoch {
		s.asked = survey{epoch: epoch, answers: map[string]bool{}}
	}
	peers := s.reachable()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers {
		if len(s.asked.answers) >= enoughPeers {
			break
		}
		if !s.asked.answers[peer.ID] {
			s.ask(ctx, peer.ID)
		}
	}
	if own, _ := s.mirror.state(); s.enough(len(peers)) && own >= s.asked.newest {
		s.markFresh(epoch)
	}
}

// ask fetches from one peer. The answer of a peer that is not ready itself does
// not count, but its rows are taken.
func (s *Syncer) ask(ctx context.Context, peer string) {
	version, fresh, err := s.fetch(ctx, peer)
	if err != nil || !fresh {
		return
	}
	if s.asked.first.IsZero() {
		s.asked.first = time.Now()
	}
	s.asked.answers[peer] = true
	s.asked.newest = max(s.asked.newest, version)
}

// enough applies the rule of doc.go.
func (s *Syncer) enough(known int) bool {
	count := len(s.asked.answers)
	if count >= enoughPeers {
		return true
	}
	return count > 0 && count >= known && time.Since(s.asked.first) >= meetPause
}
