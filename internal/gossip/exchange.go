package gossip

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	// exchangeTimeout bounds one call of an exchange. It is long enough to send a page
	// of records to a slow peer; a page that times out is sent again.
	exchangeTimeout = 5 * time.Second
	// exchangeTimeSamples is the number of exchanges over which averageExchangeTime is
	// smoothed. Concurrent updates may lose a sample, which does not matter.
	exchangeTimeSamples = 8
	// settleTime is how long both sides must be without changes before differing hashes
	// are no longer attributed to changes in flight.
	settleTime = 300 * time.Millisecond
	// maxMismatchTime is how long hashes may differ before a reconciliation starts even
	// though changes keep arriving.
	maxMismatchTime = 3 * time.Second
	// minReconcileBackoff is the initial delay between reconciliations with a peer. It
	// doubles up to maxReconcileBackoff while they yield no new records, for example
	// because the peer still keeps a record that this node has forgotten.
	minReconcileBackoff = 500 * time.Millisecond
	maxReconcileBackoff = 30 * time.Second
)

// link is the state of the exchanges that this node initiates with one peer.
type link struct {
	mu          sync.Mutex
	exchanging  bool
	repeat      bool
	initialised bool
	// acked is the position in the change log up to which the peer has confirmed
	// changes.
	acked         uint64
	mismatchSince time.Time
	nextReconcile time.Time
	backoff       time.Duration
}

// begin claims the link for an exchange. If an exchange is already running, begin
// returns false and another one follows it.
func (l *link) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.exchanging {
		l.repeat = true
		return false
	}
	l.exchanging, l.repeat = true, false
	return true
}

// finish releases the link and reports whether another exchange was requested in the
// meantime.
func (l *link) finish() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exchanging = false
	return l.repeat
}

func (s *Service) link(id string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[id] == nil {
		s.links[id] = &link{}
	}
	return s.links[id]
}

// hasUnackedChanges reports whether records changed after the position that the peer
// confirmed.
func (s *Service) hasUnackedChanges(id string) bool {
	l := s.link(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	return s.store.lastPosition() > l.acked
}

// exchangeWith sends the changes since the last exchange with the peer. If compare is
// set, it also compares the hashes and reconciles if they differ.
func (s *Service) exchangeWith(ctx context.Context, id string, compare bool) {
	l := s.link(id)
	for l.begin() {
		addr, ok := s.store.addr(id)
		if ok {
			s.exchangeOnce(ctx, l, addr, id, compare)
		}
		if !l.finish() {
			return
		}
	}
}

// exchangeAddr exchanges and compares with whichever node answers at addr.
func (s *Service) exchangeAddr(ctx context.Context, addr string) {
	s.exchangeOnce(ctx, &link{}, addr, "", true)
}

func (s *Service) exchangeOnce(ctx context.Context, l *link, addr, id string, compare bool) {
	if !l.initialised {
		// The first exchange with a peer sends no changes and compares the hashes.
		l.acked, compare = s.store.lastPosition(), true
	}
	headers, position := s.store.changesSince(l.acked, id)
	if len(headers) > maxHeadersPerMessage {
		headers = headers[:maxHeadersPerMessage]
	}
	var result exchangeResult
	peer, err := s.exchange(ctx, addr, id, exchangeParams{Headers: headers}, &result)
	if err != nil {
		return
	}
	first := !l.initialised
	l.mu.Lock()
	l.acked, l.initialised = position, true
	l.mu.Unlock()
	s.push(ctx, addr, id, result.Want)
	if compare && s.shouldReconcile(l, result.summary, first) {
		s.reconcile(ctx, l, addr, peer)
	}
}

// exchange adds the sender and the summary to params and calls gossip.exchange.
func (s *Service) exchange(ctx context.Context, addr, id string, params exchangeParams, result *exchangeResult) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	started := time.Now()
	params.From = s.id
	params.summary = s.store.summary(started)
	peer, err := s.callAddr(ctx, addr, id, methodExchange, params, result)
	average := s.averageExchangeTime.Load()
	s.averageExchangeTime.Store(average + (int64(time.Since(started))-average)/exchangeTimeSamples)
	if err == nil {
		s.lastExchange.Store(started.UnixNano())
		s.notifyConfigVersion(peer, result.ConfigVersion)
	}
	return peer, err
}

// ExchangedSince reports whether an exchange that this node started after t has
// succeeded.
func (s *Service) ExchangedSince(t time.Time) bool {
	return s.lastExchange.Load() > t.UnixNano()
}

func (s *Service) notifyConfigVersion(peer string, version uint64) {
	if s.onConfigVersion != nil {
		s.onConfigVersion(peer, version)
	}
}

// push sends full records in pages.
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

// shouldReconcile reports whether the hashes differ for another reason than changes in
// flight, and no backoff is in progress.
func (s *Service) shouldReconcile(l *link, peer summary, first bool) bool {
	now := time.Now()
	own := s.store.summary(now)
	if own.Hash == peer.Hash {
		l.mismatchSince, l.backoff, l.nextReconcile = time.Time{}, 0, time.Time{}
		return false
	}
	if l.mismatchSince.IsZero() {
		l.mismatchSince = now
	}
	if now.Before(l.nextReconcile) {
		return false
	}
	quiet := min(own.QuietMS, peer.QuietMS) >= settleTime.Milliseconds()
	return first || quiet || now.Sub(l.mismatchSince) >= maxMismatchTime
}

// reconcile compares the bucket hashes and exchanges every record that differs.
func (s *Service) reconcile(ctx context.Context, l *link, addr, peer string) {
	l.backoff = min(max(2*l.backoff, minReconcileBackoff), maxReconcileBackoff)
	l.nextReconcile = time.Now().Add(l.backoff)
	var result exchangeResult
	if _, err := s.exchange(ctx, addr, peer, exchangeParams{Buckets: s.store.bucketHashes()}, &result); err != nil {
		return
	}
	s.sendNewer(ctx, addr, peer, s.store.newerThan(result.DifferentBuckets, result.Headers))
	want := s.store.applyHeaders(result.Headers, peer, time.Now())
	if s.fetch(ctx, addr, peer, want) > 0 {
		l.backoff, l.nextReconcile = 0, time.Time{}
	}
}

// sendNewer sends the headers of records, then the bodies that the peer requests.
func (s *Service) sendNewer(ctx context.Context, addr, peer string, ids []string) {
	if len(ids) == 0 {
		return
	}
	var result exchangeResult
	params := exchangeParams{Headers: s.store.headers(ids)}
	if _, err := s.exchange(ctx, addr, peer, params, &result); err != nil {
		return
	}
	s.push(ctx, addr, peer, result.Want)
}

// fetch requests full records in pages and returns how many were new.
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

// registerMembership registers the RPC methods of the membership protocol.
func (s *Service) registerMembership() {
	s.Handle(methodExchange, s.handleExchange)
	s.Handle(methodPush, s.handlePush)
	s.Handle(methodProbe, s.handleProbe)
	s.Handle(methodProbeVia, s.handleProbeVia)
}

func (s *Service) handleExchange(_ context.Context, raw json.RawMessage) (any, error) {
	var params exchangeParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	now := time.Now()
	s.notifyConfigVersion(params.From, params.ConfigVersion)
	result := exchangeResult{Want: s.store.applyHeaders(params.Headers, params.From, now)}
	if len(params.Buckets) > 0 {
		result.DifferentBuckets, result.Headers = s.store.differingBuckets(params.Buckets)
	}
	result.Records = s.store.records(params.Want)
	result.summary = s.store.summary(now)
	return result, nil
}

func (s *Service) handlePush(_ context.Context, raw json.RawMessage) (any, error) {
	var params pushParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	s.store.applyRecords(params.Records, params.From, time.Now())
	return struct{}{}, nil
}
