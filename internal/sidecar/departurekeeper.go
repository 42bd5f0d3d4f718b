package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/registration"
)

// Kinds of calls between nodes about departures.
const (
	// callHoldDeparture asks a node to remember a departure; the payload is a heldDeparture.
	callHoldDeparture beacon.CallKind = 3
	// callHeldDepartures asks a node for the departures that it holds for the node named in the
	// payload; the reply is a list of incarnations.
	callHeldDepartures beacon.CallKind = 4
)

const (
	// departureHolders is the number of other nodes that hold a departure; more than one, because any
	// of them may end before the node asks for it.
	departureHolders = 2
	// recordedDepartures bounds the departures in the row of a node and in one reply.
	recordedDepartures = 8
	// departureAckWait is how long the acknowledgement of a departure waits until something outside
	// the process holds it. The server waits a second for its acknowledgement.
	departureAckWait = 800 * time.Millisecond
	// storeAckWait is the part of it in which only the store counts, unless the store refuses: what other nodes hold is
	// gone if all processes end.
	storeAckWait = 500 * time.Millisecond
)

// departureKeeper makes the departures of the local server outlive the process: it writes them to the
// store, has other nodes hold them, and collects them after a start. A departure is acknowledged once
// the store or other nodes have it.
type departureKeeper struct {
	node    string
	source  Source
	control *ControlLoop
	calls   *calls
	log     *zap.Logger
	// firstStart is set if no earlier process of the node has run.
	firstStart bool
	// heardWithin returns which nodes a report has been heard of lately; nil if the process has not received reports for
	// that long.
	heardWithin func(time.Duration) func(id string) bool
	held        *heldDepartures

	mu sync.Mutex
	// saved holds the departures that are being saved or were.
	saved map[registration.Incarnation]*departureSave
	// departed lists the departures that were saved, oldest first.
	departed []registration.Incarnation

	// row serialises the changes of the node's row. While rowKnown is set, recorded and version are
	// what it holds.
	row      sync.Mutex
	rowKnown bool
	recorded []registration.Incarnation
	version  uint64

	// rowRead and holdersAsked are set once the departures that earlier processes recorded have been
	// collected from the store and from the other nodes.
	rowRead, holdersAsked atomic.Bool
}

func newDepartureKeeper(node string, firstStart bool, source Source, control *ControlLoop, calls *calls, heardWithin func(time.Duration) func(id string) bool, log *zap.Logger) *departureKeeper {
	k := &departureKeeper{
		node: node, firstStart: firstStart, source: source, control: control, calls: calls, heardWithin: heardWithin, log: log,
		held: newHeldDepartures(), saved: map[registration.Incarnation]*departureSave{},
		// Before the first start, there is no row.
		rowKnown: firstStart,
	}
	calls.handlers[callHoldDeparture] = k.held.handleHold
	calls.handlers[callHeldDepartures] = k.held.handleAsk
	return k
}

// departureSave tells how far a departure has been saved. Its channels are closed once the store has it, the store has
// refused it for the first time, and other nodes hold it.
type departureSave struct {
	stored, refused, held chan struct{}
}

// save begins to save a departure, unless it has begun already.
func (k *departureKeeper) save(ctx context.Context, departed registration.Incarnation) *departureSave {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.saved[departed]; ok {
		return known
	}
	s := &departureSave{stored: make(chan struct{}), refused: make(chan struct{}), held: make(chan struct{})}
	k.saved[departed] = s
	k.departed = append(k.departed, departed)
	go func() {
		if k.record(ctx, departed, sync.OnceFunc(func() { close(s.refused) })) {
			close(s.stored)
		}
	}()
	go func() {
		if k.handOver(ctx, departed) {
			close(s.held)
		}
	}()
	return s
}

// saveAndWait saves a departure and reports whether something outside the process has it within
// departureAckWait: the store, or other nodes if the store refuses or does not answer. Saving goes on until ctx ends.
func (k *departureKeeper) saveAndWait(ctx context.Context, departed registration.Incarnation) bool {
	s := k.save(ctx, departed)
	deadline := time.After(departureAckWait)
	select {
	case <-s.stored:
		return true
	case <-s.refused:
	case <-time.After(storeAckWait):
	}
	select {
	case <-s.stored:
		return true
	case <-s.held:
		return true
	case <-deadline:
		k.log.Warn("departure not acknowledged", zap.String("server", departed.ID))
		return false
	}
}

// record adds a departure to the node's row and retries until that succeeds or ctx ends. It calls onRefusal whenever the
// store does not take the row, unless another process has changed the row.
func (k *departureKeeper) record(ctx context.Context, departed registration.Incarnation, onRefusal func()) bool {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := k.addToRow(ctx, departed)
		if err == nil {
			return true
		}
		if !errors.Is(err, platform.ErrConflict) {
			onRefusal()
		}
		k.log.Warn("departure not recorded", zap.String("server", departed.ID), zap.Error(err))
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return false
}

// recordAgain writes the departures of this and of earlier processes again that a restored store lacks.
func (k *departureKeeper) recordAgain(ctx context.Context) {
	k.row.Lock()
	departed := slices.Clone(k.recorded)
	k.rowKnown = false
	k.row.Unlock()
	k.mu.Lock()
	departed = append(departed, k.departed...)
	k.mu.Unlock()
	departed = departed[max(len(departed)-recordedDepartures, 0):]
	if len(departed) > 0 {
		k.log.Info("departures recorded again", zap.Int("departures", len(departed)))
	}
	for _, incarnation := range departed {
		k.record(ctx, incarnation, func() {})
	}
}

// addToRow writes the row under the condition that it is as it was read, so that no departure in it is
// lost. The other departures of the row are kept.
func (k *departureKeeper) addToRow(ctx context.Context, departed registration.Incarnation) error {
	k.row.Lock()
	defer k.row.Unlock()
	if !k.rowKnown {
		if err := k.readRow(ctx); err != nil {
			return err
		}
	}
	if slices.Contains(k.recorded, departed) {
		return nil
	}
	next := registration.AddDeparture(slices.Clone(k.recorded), departed)
	next = next[max(len(next)-recordedDepartures, 0):]
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	// Whatever the result, the version of the row is no longer known.
	k.rowKnown = false
	checks := []platform.Check{{Key: k.node, Version: k.version}}
	return k.source.Transact(ctx, TableDepartures, checks, []platform.Write{{Key: k.node, Value: value}})
}

// readRow reads the node's row. The caller holds k.row.
func (k *departureKeeper) readRow(ctx context.Context) error {
	row, err := k.source.Get(ctx, TableDepartures, k.node)
	if errors.Is(err, platform.ErrNotFound) {
		k.rowKnown, k.recorded, k.version = true, nil, 0
		return nil
	}
	if err != nil {
		return err
	}
	recorded, err := decodeDepartures(row.Value)
	if err != nil {
		k.log.Error("invalid departure record of an earlier process", zap.Error(err))
	}
	k.rowKnown, k.recorded, k.version = true, recorded, row.Version
	return nil
}

// decodeDepartures decodes the value of a row: a list, or one incarnation as earlier versions of the
// program wrote it.
func decodeDepartures(value []byte) ([]registration.Incarnation, error) {
	var list []registration.Incarnation
	if err := json.Unmarshal(value, &list); err == nil {
		return list, nil
	}
	var single registration.Incarnation
	if err := json.Unmarshal(value, &single); err != nil {
		return nil, err
	}
	return []registration.Incarnation{single}, nil
}

// restoreRow applies the departures that earlier processes wrote to the store, unless that was done
// before. It returns false if the store does not answer.
func (k *departureKeeper) restoreRow(ctx context.Context) bool {
	if k.firstStart || k.rowRead.Load() {
		return true
	}
	k.row.Lock()
	err := k.readRow(ctx)
	recorded := k.recorded
	k.row.Unlock()
	if err != nil {
		k.log.Warn("departures recorded by an earlier process are not known", zap.Error(err))
		return false
	}
	if !k.rowRead.Load() {
		k.restore(recorded)
		k.collected(&k.rowRead)
	}
	return true
}

// restoreUntilRead calls restoreRow until the store answers.
func (k *departureKeeper) restoreUntilRead(ctx context.Context) {
	for loaded := false; !loaded && ctx.Err() == nil; loaded = k.restoreRow(ctx) {
		sleep(ctx, maxBackoff/2+rand.N(maxBackoff))
	}
}

// complete reports whether the departures that earlier processes acknowledged have been collected.
func (k *departureKeeper) complete() bool { return k.rowRead.Load() && k.holdersAsked.Load() }

// restore applies departures that an earlier process acknowledged.
func (k *departureKeeper) restore(departed []registration.Incarnation) {
	k.control.pending <- func(s *state) {
		for _, incarnation := range departed {
			s.registry.RestoreDeparture(incarnation)
		}
	}
}

// collected notes that all departures of a source have been applied, and allows the use of the server once this is so
// for both.
func (k *departureKeeper) collected(source *atomic.Bool) {
	source.Store(true)
	if k.complete() {
		k.control.pending <- func(s *state) { s.registry.DeparturesLoaded() }
	}
}

// handOver has other nodes hold a departure. It returns true once enough of them do, or all there are.
func (k *departureKeeper) handOver(ctx context.Context, departed registration.Incarnation) bool {
	payload, err := json.Marshal(heldDeparture{Node: k.node, Departed: departed})
	if err != nil {
		k.log.Error("failed to encode departure", zap.Error(err))
		return false
	}
	backoff := minBackoff
	for ctx.Err() == nil {
		holders := 0
		peers := k.holders()
		for _, p := range peers {
			if k.askToHold(ctx, p, payload) {
				holders++
			}
			if holders >= min(departureHolders, len(peers)) {
				return true
			}
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return false
}

// askToHold asks a node to hold a departure, and reports whether it does.
func (k *departureKeeper) askToHold(ctx context.Context, p peer, payload []byte) bool {
	reply, err := k.calls.do(ctx, callHoldDeparture, p.addr, payload)
	return err == nil && string(reply) == replyHeld
}

// replyHeld is the reply of a node that holds a departure. A node that cannot read the call replies with nothing.
const replyHeld = "held"

// heldDeparture is a departure that one node holds for another.
type heldDeparture struct {
	Node     string                   `json:"node"`
	Departed registration.Incarnation `json:"departed"`
}

// maxHeldNodes bounds the nodes whose departures are held.
const maxHeldNodes = 1024

// heldDepartures are the departures that this node holds for others until it ends.
type heldDepartures struct {
	mu     sync.Mutex
	byNode map[string][]registration.Incarnation
	// order lists the nodes by their first departure, oldest first.
	order []string
	// onHold is called with each departure.
	onHold func(node string, departed registration.Incarnation)
}

func newHeldDepartures() *heldDepartures {
	return &heldDepartures{byNode: map[string][]registration.Incarnation{}, onHold: func(string, registration.Incarnation) {}}
}

func (h *heldDepartures) handleHold(_ time.Time, _ beacon.NodeHash, payload []byte) []byte {
	var held heldDeparture
	if err := json.Unmarshal(payload, &held); err != nil || held.Node == "" {
		return nil
	}
	h.hold(held)
	h.onHold(held.Node, held.Departed)
	return []byte(replyHeld)
}

func (h *heldDepartures) hold(held heldDeparture) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list, known := h.byNode[held.Node]
	if slices.Contains(list, held.Departed) {
		return
	}
	if !known {
		h.order = append(h.order, held.Node)
	}
	list = registration.AddDeparture(list, held.Departed)
	h.byNode[held.Node] = list[max(len(list)-recordedDepartures, 0):]
	if len(h.order) > maxHeldNodes {
		delete(h.byNode, h.order[0])
		h.order = h.order[1:]
	}
}

// all returns the departures that are held.
func (h *heldDepartures) all() []heldDeparture {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []heldDeparture
	for node, list := range h.byNode {
		for _, departed := range list {
			all = append(all, heldDeparture{Node: node, Departed: departed})
		}
	}
	return all
}

func (h *heldDepartures) handleAsk(_ time.Time, _ beacon.NodeHash, payload []byte) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	reply, err := json.Marshal(slices.Concat([]registration.Incarnation{}, h.byNode[string(payload)]))
	if err != nil {
		return nil
	}
	return reply
}
