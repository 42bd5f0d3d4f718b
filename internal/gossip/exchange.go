package gossip

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// exchangeTimeout bounds one call of an exchange. It is long enough for a
	// page of records to a slow peer; a page that is cut off is sent again.
	exchangeTimeout = 5 * time.Second
	// averageOver is the number of exchanges that the moving average of their
	// time covers. Concurrent updates may lose one, which does not matter.
	averageOver = 8
	// settled is the time without changes on both sides after which a
	// difference of the hashes is not taken for news on the way.
	settled = 300 * time.Millisecond
	// mismatchLimit starts a reconciliation although changes keep arriving.
	mismatchLimit = 3 * time.Second
	// reconcileBackoff doubles up to maxReconcileBackoff while reconciliations
	// with a peer bring nothing, for instance because it still keeps a record
	// that this node has forgotten.
	reconcileBackoff    = 500 * time.Millisecond
	maxReconcileBackoff = 30 * time.Second
)

// link is the state of the exchanges with one peer that this node calls.
type link struct {
	mu      sync.Mutex
	busy    bool
	again   bool
	started bool
	// acked is the position of the change log that the peer has confirmed.
	acked         uint64
	mismatchSince time.Time
	nextReconcile time.Time
	backoff       time.Duration
}

// begin claims the link. While it is claimed, a second exchange is only noted.
func (l *link) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy {
		l.again = true
		return false
	}
	l.busy, l.again = true, false
	return true
}

// finish releases the link and reports whether another exchange was asked for.
func (l *link) finish() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
	return l.again
}

func (s *Service) link(id string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[id] == nil {
		s.links[id] = &link{}
	}
	return s.links[id]
}

// hasNews reports whether records changed since the peer's last confirmation.
func (s *Service) hasNews(id string) bool {
	l := s.link(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.store.position64() > l.acked
}

// exchangeWith sends the changes since the last exchange with the peer. A
// regular exchange also compares the hashes and reconciles if they differ.
func (s *Service) exchangeWith(ctx context.Context, id string, regular bool) {
	l := s.link(id)
	for l.begin() {
		addr, ok := s.store.addr(id)
		if ok {
			s.exchangeOnce(ctx, l, addr, id, regular)
		}
		if !l.finish() {
			return
		}
	}
}

// exchangeAddr does a regular exchange with whichever node answers at addr.
func (s *Service) exchangeAddr(ctx context.Context, addr string) {
	s.exchangeOnce(ctx, &link{}, addr, "", true)
}

func (s *Service) exchangeOnce(ctx context.Context, l *link, addr, id string, regular bool) {
	if !l.started {
		// The first exchange with a peer compares whole states.
		l.acked, regular = s.store.position64(), true
	}
	heads, position := s.store.changesSince(l.acked, id)
	if len(heads) > maxHeadsPerMessage {
		heads = heads[:maxHeadsPerMessage]
	}
	var result exchangeResult
	peer, err := s.exchange(ctx, addr, id, exchangeParams{Heads: heads}, &result)
	if err != nil {
		return
	}
	first := !l.started
	l.mu.Lock()
	l.acked, l.started = position, true
	l.mu.Unlock()
	s.push(ctx, addr, id, result.Want)
	if regular && s.shouldReconcile(l, result.summary, first) {
		s.reconcile(ctx, l, addr, peer)
	}
}

// exchange calls gossip.exchange with the summary filled in.
func (s *Service) exchange(ctx context.Context, addr, id string, params exchangeParams, result *exchangeResult) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	started := time.Now()
	params.From = s.id
	params.summary = s.store.summary(started)
	peer, err := s.callAddr(ctx, addr, id, methodExchange, params, result)
	average := s.exchangeTime.Load()
	s.exchangeTime.Store(average + (int64(time.Since(started))-average)/averageOver)
	if err == nil {
		s.lastExchange.Store(started.UnixNano())
		s.noteConfig(peer, result.Config)
	}
	return peer, err
}

// ExchangedSince reports whether an exchange that this node began after t
// succeeded.
func (s *Service) ExchangedSince(t time.Time) bool {
	return s.lastExchange.Load() > t.UnixNano()
}

func (s *Service) noteConfig(peer string, version uint64) {
	if s.onConfig != nil {
		s.onConfig(peer, version)
	}
}

// push sends whole records in pages.
func (s *Service) push(ctx context.Context, addr, id string, ids []string) {
	for len(ids) > 0 {
		page := ids[:min(len(ids), maxRecordsPerMessage)]
		ids = ids[len(page):]
		callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		_, err := s.callAddr(callCtx, addr, id, methodPush, pushParams{From: s.id, Records: s.store.records(page)}, nil)
		cancel()
		if err != nil {
			return
		}
	}
}

// shouldReconcile decides whether a difference of the hashes is more than
// changes on the way.
func (s *Service) shouldReconcile(l *link, theirs summary, first bool) bool {
	now := time.Now()
	own := s.store.summary(now)
	if own.Hash == theirs.Hash {
		l.mismatchSince, l.backoff, l.nextReconcile = time.Time{}, 0, time.Time{}
		return false
	}
	if l.mismatchSince.IsZero() {
		l.mismatchSince = now
	}
	if now.Before(l.nextReconcile) {
		return false
	}
	quiet := min(own.QuietMS, theirs.QuietMS) >= settled.Milliseconds()
	return first || quiet || now.Sub(l.mismatchSince) >= mismatchLimit
}

// reconcile compares the buckets and exchanges every record that differs.
func (s *Service) reconcile(ctx context.Context, l *link, addr, peer string) {
	l.backoff = min(max(2*l.backoff, reconcileBackoff), maxReconcileBackoff)
	l.nextReconcile = time.Now().Add(l.backoff)
	var result exchangeResult
	if _, err := s.exchange(ctx, addr, peer, exchangeParams{Buckets: s.store.bucketHashes()}, &result); err != nil {
		return
	}
	s.sendNewer(ctx, addr, peer, s.store.newerThan(result.Differ, result.Heads))
	want := s.store.applyHeads(result.Heads, peer, time.Now())
	if s.fetch(ctx, addr, peer, want) > 0 {
		l.backoff, l.nextReconcile = 0, time.Time{}
	}
}

// sendNewer sends the heads of records, then the bodies that the peer lacks.
func (s *Service) sendNewer(ctx context.Context, addr, peer string, ids []string) {
	if len(ids) == 0 {
		return
	}
	var result exchangeResult
	params := exchangeParams{Heads: s.store.heads(ids)}
	if _, err := s.exchange(ctx, addr, peer, params, &result); err != nil {
		return
	}
	s.push(ctx, addr, peer, result.Want)
}

// fetch asks for whole records in pages and returns how many were new.
func (s *Service) fetch(ctx context.Context, addr, peer string, ids []string) int {
	applied := 0
	for len(ids) > 0 {
		page := ids[:min(len(ids), maxRecordsPerMessage)]
		ids = ids[len(page):]
		var result exchangeResult
		if _, err := s.exchange(ctx, addr, peer, exchangeParams{Want: page}, &result); err != nil {
			return applied
		}
		applied += s.store.applyRecords(result.Records, peer, time.Now())
	}
	return applied
}

// registerMembership registers the methods of membership.
func (s *Service) registerMembership() {
	s.Handle(methodExchange, s.answerExchange)
	s.Handle(methodPush, s.answerPush)
	s.Handle(methodProbe, s.answerProbe)
	s.Handle(methodProbeVia, s.answerProbeVia)
}

func (s *Service) answerExchange(_ context.Context, raw json.RawMessage) (any, error) {
	var params exchangeParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	now := time.Now()
	s.noteConfig(params.From, params.Config)
	result := exchangeResult{Want: s.store.applyHeads(params.Heads, params.From, now)}
	if len(params.Buckets) > 0 {
		result.Differ, result.Heads = s.store.differing(params.Buckets)
	}
	result.Records = s.store.records(params.Want)
	result.summary = s.store.summary(now)
	return result, nil
}

func (s *Service) answerPush(_ context.Context, raw json.RawMessage) (any, error) {
	var params pushParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	s.store.applyRecords(params.Records, params.From, time.Now())
	return struct{}{}, nil
}
