package sidecar

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// callConfirm is the kind of calls that ask a node for its best proof of the configuration.
const callConfirm beacon.CallKind = 1

const (
	// confirmCheckInterval is the time between two checks of the age of the configuration.
	confirmCheckInterval = 100 * time.Millisecond
	// maxConfirmCalls bounds the nodes that are asked one after the other before the age is checked
	// again. A lost node costs 120 ms.
	maxConfirmCalls = 4
)

// Sources of a proof, for the log and the metrics.
const (
	confirmedByStore = "store"
	confirmedByNode  = "node"
)

// confirmations keeps the proofs that the configuration in force is the newest, and obtains new ones
// from other nodes when the store gives none. A nil value confirms everything.
type confirmations struct {
	policy  currency.Policy
	control *ControlLoop
	log     *zap.Logger
	metrics *telemetry.Metrics
	// clock counts the time for which the instance is suspended.
	clock func() (time.Duration, error)
	// candidates returns the nodes to ask, best first.
	candidates func() []Member
	// ask sends a call of kind callConfirm.
	ask func(ctx context.Context, to netip.AddrPort) ([]byte, error)
	// onVersion is called with the configuration version that another node proved.
	onVersion func(version uint64, addr string)

	proofs atomic.Pointer[currency.Proofs]
}

// active reports whether the configuration in force must be confirmed: it has account keys.
func (c *confirmations) active() bool {
	if c == nil {
		return false
	}
	config := c.control.View().Config
	return config != nil && config.Keys != nil
}

// clockNow reads the clock; false if no proofs are needed or the clock cannot be read, which leaves
// the node without new proofs.
func (c *confirmations) clockNow() (time.Duration, bool) {
	if c == nil {
		return 0, false
	}
	now, err := c.clock()
	if err != nil {
		c.log.Error("clock not readable", zap.Error(err))
		return 0, false
	}
	return now, true
}

// add keeps a proof if it is better than those that are known.
func (c *confirmations) add(proof currency.Proof, source string) {
	for {
		known := c.proofs.Load()
		next := currency.Proofs{}
		if known != nil {
			next = *known
		}
		next = next.Add(proof)
		if c.proofs.CompareAndSwap(known, &next) {
			c.metrics.Confirmations.Inc(source)
			return
		}
	}
}

// known returns the proofs.
func (c *confirmations) known() currency.Proofs {
	if proofs := c.proofs.Load(); proofs != nil {
		return *proofs
	}
	return currency.Proofs{}
}

// confirmed reports whether the node may rely on the keys of a version of the configuration.
func (c *confirmations) confirmed(version uint64) bool {
	if c == nil {
		return true
	}
	// The proofs are loaded before the clock is read, so that a suspension in between makes them
	// older and not younger.
	proofs := c.known()
	now, ok := c.clockNow()
	return ok && c.policy.Holds(proofs, version, now)
}

// due reports whether the configuration in force needs a new proof.
func (c *confirmations) due() bool {
	age, proved := c.age()
	return !proved || age >= c.policy.AskAge()
}

// age returns the age of the best proof of the configuration in force.
func (c *confirmations) age() (time.Duration, bool) {
	proofs := c.known()
	now, ok := c.clockNow()
	if !ok {
		return 0, false
	}
	return proofs.Age(c.control.View().configVersion(), now)
}

// run asks other nodes for proofs whenever those of this node get old, until ctx ends.
func (c *confirmations) run(ctx context.Context) {
	held := true
	for ctx.Err() == nil {
		sleep(ctx, confirmCheckInterval)
		if !c.active() {
			continue
		}
		if c.due() {
			c.askOthers(ctx)
		}
		held = c.logChange(held)
	}
}

// logChange logs when the node begins or ceases to refuse account keys, and returns whether it
// accepts them. held is the result of the last call.
func (c *confirmations) logChange(held bool) bool {
	version := c.control.View().configVersion()
	age, proved := c.age()
	c.metrics.ConfirmationAge.Set(age.Milliseconds())
	holds := c.confirmed(version)
	if holds != held {
		write := c.log.Warn
		if holds {
			write = c.log.Info
		}
		write("account keys", zap.Bool("accepted", holds), zap.Uint64("config", version), zap.Bool("proved", proved),
			zap.Duration("age", age), zap.Duration("max_age", c.policy.MaxAge()))
	}
	return holds
}

// askOthers asks nodes one after the other until one of them gives a proof that is recent enough.
func (c *confirmations) askOthers(ctx context.Context) {
	candidates := c.candidates()
	for _, member := range candidates[:min(len(candidates), maxConfirmCalls)] {
		addr, err := netip.ParseAddrPort(member.Beacon)
		if err != nil {
			continue
		}
		asked, ok := c.clockNow()
		if !ok {
			return
		}
		reply, err := c.ask(ctx, addr)
		if err != nil {
			c.log.Debug("configuration not confirmed", zap.String("node", member.ID), zap.Error(err))
			continue
		}
		proof, ok := decodeProof(reply, asked)
		if !ok {
			continue
		}
		c.add(proof, confirmedByNode)
		c.onVersion(proof.Version, member.Addr)
		if !c.due() {
			return
		}
	}
}

// answer handles a call of another node: the version and the age of the best proof, or nothing.
func (c *confirmations) answer(time.Time, beacon.NodeHash, []byte) []byte {
	proof, proved := c.known().Newest()
	now, ok := c.clockNow()
	if !proved || !ok {
		return nil
	}
	// Rounding up makes the proof older.
	age := (now - proof.At + time.Millisecond - 1) / time.Millisecond
	return binary.AppendUvarint(binary.AppendUvarint(nil, proof.Version), uint64(max(age, 0)))
}

// decodeProof returns the proof of a reply to a call that was sent at asked.
func decodeProof(reply []byte, asked time.Duration) (currency.Proof, bool) {
	version, n := binary.Uvarint(reply)
	if n <= 0 {
		return currency.Proof{}, false
	}
	age, m := binary.Uvarint(reply[n:])
	if m <= 0 || age > uint64(maxReportedAge/time.Millisecond) {
		return currency.Proof{}, false
	}
	return currency.Proof{Version: version, At: asked - time.Duration(age)*time.Millisecond}, true
}

// maxReportedAge bounds the age in a reply, so that no time overflows.
const maxReportedAge = 24 * time.Hour

// confirmCandidates returns the nodes that are asked for proofs: the watchers that are heard, those
// of the local data centre and of others by turns, and then any other nodes, each in random order.
// A watcher of another data centre comes second, because those of the local one may be lost together.
func (b *beacons) confirmCandidates() []Member {
	view := b.control.View()
	now := time.Now()
	var local, remote, others []Member
	for key, member := range view.byKey {
		switch {
		case member.ID == b.self.ID:
		case len(b.table.Followers(now, []beacon.NodeHash{key}, watcherReportMaxAge)) == 0:
			others = append(others, member)
		case member.DataCentre == b.self.DataCentre:
			local = append(local, member)
		default:
			remote = append(remote, member)
		}
	}
	for _, members := range [][]Member{local, remote, others} {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	}
	var candidates []Member
	for i := range max(len(local), len(remote)) {
		candidates = append(candidates, local[min(i, len(local)):min(i+1, len(local))]...)
		candidates = append(candidates, remote[min(i, len(remote)):min(i+1, len(remote))]...)
	}
	return append(candidates, others...)
}
