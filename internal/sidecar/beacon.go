package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/pick"
)

// Intervals of beacons. At the size to design for they keep a node within the
// 13 kB/s of control; see docs/CAPACITY.md.
const (
	// minInterval is the shortest time between two beacons of a node, and localRate
	// the number of datagrams a second, to all nodes of its data centre, that it
	// sends about changes of its load. Changes of trust are told at once.
	minInterval = 50 * time.Millisecond
	localRate   = 200
	// digestInterval is the mean time between two digests of a data centre of
	// up to digestNodes to another one; it grows with the data centre.
	digestInterval = 200 * time.Millisecond
	digestNodes    = 30
	// followers is the number of nodes of a data centre that follow the store, any of
	// which may have lost its watch without a sign. A report that is older than
	// followerMemory does not count for its node.
	followers      = 8
	followerMemory = 2500 * time.Millisecond
	// refreshInterval is the longest time between two beacons of a node.
	refreshInterval = time.Second
	// urgentRelays is the number of nodes of another data centre that get a
	// beacon about a change of health, of which any may be cut off; usualRelays
	// is that for digests.
	urgentRelays = 2
	usualRelays  = 1
)

// beacons sends the load of the own server and takes that of others, as package
// beacon describes.
type beacons struct {
	self   Member
	board  *Board
	gate   *gate.Gate
	picker *pick.Picker
	log    *zap.Logger
	// onVersions is called with the versions that another node has, of the
	// configuration and of the table of members.
	onVersions func(configuration, members uint64, addr string)
	// follows tells whether the own node follows the store.
	follows func() bool
	// onLoad is called with each beacon of the own server.
	onLoad func()

	conn  *net.UDPConn
	table *beacon.Table
	// dirty holds one token while the load has changed since the last beacon.
	dirty chan struct{}
}

// changed asks for a beacon. It never blocks.
func (b *beacons) changed() {
	select {
	case b.dirty <- struct{}{}:
	default:
	}
}

func (b *beacons) open() error {
	addr, err := net.ResolveUDPAddr("udp", b.self.Beacon)
	if err != nil {
		return trace.Wrap(err)
	}
	b.conn, err = net.ListenUDP("udp", addr)
	return trace.Wrap(err)
}

// receive takes beacons until the socket is closed.
func (b *beacons) receive() error {
	buffer := make([]byte, beacon.MaxBytes)
	for {
		n, err := b.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An earlier datagram met a closed port.
			b.log.Debug("beacon not read", zap.Error(err))
			continue
		}
		if received, ok := beacon.Decode(buffer[:n]); ok {
			b.take(received)
		}
	}
}

func (b *beacons) take(received beacon.Datagram) {
	now := time.Now()
	view := b.board.View()
	if sender, ok := view.memberOf(received.Sender); ok {
		b.onVersions(received.Version, received.MembersVersion, sender.Addr)
	}
	for _, r := range received.Reports {
		member, known := view.memberOf(r.Node)
		if !known || member.ID == b.self.ID || !b.table.Update(now, r) {
			continue
		}
		b.picker.UpdateLoad(now.Add(-r.Age), member.ID, r.Load, r.Node == received.Sender && !received.Forward)
	}
	if received.Forward {
		received.Forward = false
		b.sendTo(view.near, received)
	}
}

// memberOf returns the node of a key, unless several share it.
func (v *View) memberOf(key beacon.NodeHash) (Member, bool) {
	member, ok := v.byKey[key]
	return member, ok
}

// run sends a beacon after each change of the load, and digests in turn, within
// the intervals.
func (b *beacons) run(ctx context.Context) {
	var before gate.Load
	var versions [2]uint64
	var lastLocal, nextDigest time.Time
	changed := true
	for ctx.Err() == nil {
		now := time.Now()
		view := b.board.View()
		message := b.report(now, view)
		load := message.Reports[0].Load
		trust := before.Open != load.Open || before.Healthy() != load.Healthy()
		news := versions != [2]uint64{message.Version, message.MembersVersion}
		if trust || news || !now.Before(localDue(lastLocal, len(view.near), changed)) {
			b.sendTo(view.near, message)
			b.onLoad()
			before, changed = load, false
			versions = [2]uint64{message.Version, message.MembersVersion}
			lastLocal = now
		}
		if trust {
			message.Forward = true
			b.sendFar(view, message, urgentRelays)
		}
		if !now.Before(nextDigest) {
			b.sendFar(view, b.digest(now, view), usualRelays)
			nextDigest = now.Add(digestPause(1+len(view.near), rand.Float64()))
		}
		changed = b.wait(ctx, localDue(lastLocal, len(view.near), changed), nextDigest, changed)
	}
}

// wait returns when a beacon or a digest may be due, and whether the load has
// changed since the last beacon; changed tells that it had before.
func (b *beacons) wait(ctx context.Context, nextLocal, nextDigest time.Time, changed bool) bool {
	sleep(ctx, minInterval)
	next := nextLocal
	if nextDigest.Before(next) {
		next = nextDigest
	}
	select {
	case <-b.dirty:
		return true
	case <-time.After(max(time.Until(next), 0)):
	case <-ctx.Done():
	}
	return changed
}

// localDue returns when a node sends its next beacon without a change of trust. It
// renews its report before others hold it for old, whether the load has changed or not.
func localDue(last time.Time, near int, changed bool) time.Time {
	if changed {
		return last.Add(min(localPause(near), refreshInterval))
	}
	return last.Add(refreshInterval)
}

// localPause returns the time between two beacons of a node without a change of
// trust, with a number of other nodes in its data centre.
func localPause(near int) time.Duration {
	return max(time.Duration(near)*time.Second/localRate, minInterval)
}

// digestPause returns the time until a node of a data centre sends its next
// digest. random is uniform from 0 to 1.
func digestPause(nodes int, random float64) time.Duration {
	interval := digestInterval * time.Duration(max(nodes, digestNodes)) / digestNodes
	return time.Duration((0.5 + random) * float64(interval) * float64(nodes))
}

// report returns a datagram with the load of the own server.
func (b *beacons) report(now time.Time, view *View) beacon.Datagram {
	key := beacon.HashNode(b.self.ID)
	load := view.load(now, b.gate.Load(now))
	own := beacon.AgedReport{Report: beacon.Report{Node: key, Stamp: beacon.StampOf(now), Load: load, FollowsStore: b.follows()}}
	b.table.Update(now, own)
	return beacon.Datagram{Sender: key, Version: view.version(), MembersVersion: view.MembersNewest, Reports: []beacon.AgedReport{own}}
}

// digest returns a datagram with the fresh reports of the own data centre.
func (b *beacons) digest(now time.Time, view *View) beacon.Datagram {
	return beacon.Datagram{
		Sender: view.localKeys[0], Version: view.version(), MembersVersion: view.MembersNewest, Forward: true, Reports: b.table.Fresh(now, view.localKeys),
	}
}

// followsClosely implements turn.
func (b *beacons) followsClosely() bool {
	_, following := b.table.CountRecent(time.Now(), b.board.View().ahead, followerMemory)
	return following < followers
}

// isFirst implements turn.
func (b *beacons) isFirst() bool {
	heard, _ := b.table.CountRecent(time.Now(), b.board.View().ahead, followerMemory)
	return heard < followers
}

// version returns the version of the configuration in force, 0 for none.
func (v *View) version() uint64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// sendFar sends a datagram to a few nodes of each other data centre.
func (b *beacons) sendFar(view *View, message beacon.Datagram, relays int) {
	parts := message.Encode()
	for _, nodes := range view.far {
		for _, i := range rand.Perm(len(nodes))[:min(relays, len(nodes))] {
			b.send(nodes[i], parts)
		}
	}
}

func (b *beacons) sendTo(nodes []peer, message beacon.Datagram) {
	parts := message.Encode()
	for _, node := range nodes {
		b.send(node, parts)
	}
}

func (b *beacons) send(node peer, parts [][]byte) {
	for _, data := range parts {
		if _, err := b.conn.WriteToUDPAddrPort(data, node.addr); err != nil {
			b.log.Debug("beacon not sent", zap.String("node", node.id), zap.Error(err))
		}
	}
}
