package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/pick"
)

// Beacon intervals. At the design size they keep the control traffic of a node within 13 kB/s; see
// docs/CAPACITY.md.
const (
	// minInterval is the shortest time between two beacons of a node. localRate limits the
	// datagrams per second that a node sends to all nodes of its data centre for load changes.
	// Health changes are sent immediately.
	minInterval = 50 * time.Millisecond
	localRate   = 200
	// digestInterval is the mean time between two digests from a data centre of up to digestNodes
	// nodes to another one. It grows with the number of its nodes that run.
	digestInterval = 200 * time.Millisecond
	digestNodes    = 30
	// watcherCount is the number of nodes of a data centre that watch the store. It is more than
	// one because any of them may have lost its watch without noticing. A report older than
	// watcherReportMaxAge does not count.
	watcherCount = 8
	// confirmingWatcherCount takes the place of watcherCount while the watchers also prove every
	// second that the configuration is the newest. A lost watch then ends after some seconds.
	confirmingWatcherCount = 2
	watcherReportMaxAge    = 2500 * time.Millisecond
	// refreshInterval is the longest time between two beacons of a node.
	refreshInterval = time.Second
	// urgentRelays is the number of nodes of another data centre that receive a beacon about a
	// health change; more than one, because any of them may be cut off. usualRelays is the number
	// that receive a digest.
	urgentRelays = 2
	usualRelays  = 1
	// relayDraws is the number of nodes that are drawn for each relay. One that was heard of within
	// relayMaxAge is preferred, because the rows of ended instances stay among the members.
	relayDraws  = 3
	relayMaxAge = 10 * time.Second
)

// beacons sends the load of the local server and receives the load of others, as described in
// package beacon.
type beacons struct {
	self    Member
	control *ControlLoop
	gate    *gate.Gate
	picker  *pick.Picker
	log     *zap.Logger
	// onVersions is called with the version of the configuration and the revision of the members table
	// that another node has.
	onVersions func(configuration uint64, members currency.Revision, addr string)
	// watching reports whether this node watches the store.
	watching func() bool
	// confirming reports whether the watchers prove that the configuration is the newest.
	confirming func() bool
	// untilReads returns the times until this node next asks the store.
	untilReads func(now time.Time) [beacon.WatchedTables]time.Duration
	// onLoad is called whenever this node sends a beacon with its own load.
	onLoad func()

	// calls handles the calls of other nodes, which arrive at the same address.
	calls *calls

	conn datagramConn
	// openedAt is the time from which beacons are received.
	openedAt time.Time
	table    *beacon.Table
	// dirty holds a token if the load has changed since the last beacon.
	dirty chan struct{}
}

// datagramConn is the part of net.UDPConn that beacons need.
type datagramConn interface {
	ReadFromUDPAddrPort(data []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error)
	Close() error
}

// requestBeacon schedules a beacon. It never blocks.
func (b *beacons) requestBeacon() {
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
	b.openedAt = time.Now()
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return trace.Wrap(err)
	}
	b.conn = conn
	return nil
}

// receive handles incoming beacons until the socket is closed.
func (b *beacons) receive() error {
	buffer := make([]byte, beacon.MaxBytes)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Reading reports an ICMP error if an earlier datagram was sent to a closed port.
			b.log.Debug("failed to read beacon", zap.Error(err))
			continue
		}
		if b.calls.receive(time.Now(), buffer[:n], from) {
			continue
		}
		if received, ok := beacon.Decode(buffer[:n]); ok {
			b.handleDatagram(received)
		}
	}
}

func (b *beacons) handleDatagram(received beacon.Datagram) {
	now := time.Now()
	view := b.control.View()
	if sender, ok := view.memberOf(received.Sender); ok {
		b.onVersions(received.Version, received.Members, sender.Addr)
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
		b.sendTo(view.localPeers, received)
	}
}

// heardWithin returns which nodes a report has been heard of lately, by any path; nil if the process
// has not received beacons for that long.
func (b *beacons) heardWithin(within time.Duration) func(id string) bool {
	now := time.Now()
	if b.openedAt.IsZero() || now.Sub(b.openedAt) < within {
		return nil
	}
	heard := b.table.HeardWithin(now, within)
	return func(id string) bool { return heard[beacon.HashNode(id)] }
}

// memberOf returns the node with the given key. Keys shared by several nodes are not found.
func (v *View) memberOf(key beacon.NodeHash) (Member, bool) {
	member, ok := v.byKey[key]
	return member, ok
}

// run sends beacons after load changes and digests at random times, subject to the beacon
// intervals.
func (b *beacons) run(ctx context.Context) {
	var before gate.Load
	var version uint64
	var members currency.Revision
	var lastLocal, nextDigest time.Time
	senders := 0
	changed := true
	for ctx.Err() == nil {
		now := time.Now()
		view := b.control.View()
		message := b.loadDatagram(now, view)
		load := message.Reports[0].Load
		healthChanged := before.Open != load.Open || before.Healthy() != load.Healthy() || before.RateLimited() != load.RateLimited()
		versionsChanged := version != message.Version || members != message.Members
		if healthChanged || versionsChanged || !now.Before(localDue(lastLocal, len(view.localPeers), changed)) {
			b.sendTo(view.localPeers, message)
			b.onLoad()
			before, changed = load, false
			version, members = message.Version, message.Members
			lastLocal = now
		}
		if healthChanged {
			message.Forward = true
			b.sendRemote(view, message, urgentRelays)
		}
		due := senders > 0 && !now.Before(nextDigest)
		if due {
			b.sendRemote(view, b.digest(now, view), usualRelays)
		}
		if running := b.digestSenders(now, view); due || running != senders {
			senders, nextDigest = running, now.Add(digestDelay(running, rand.ExpFloat64()))
		}
		changed = b.wait(ctx, localDue(lastLocal, len(view.localPeers), changed), nextDigest, changed)
	}
}

// wait returns when a beacon or a digest may be due. The result tells whether the load has changed
// since the last beacon; changed tells whether it already had before the call.
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

// localDue returns when a node sends its next beacon if its health does not change. The report is
// refreshed before other nodes consider it stale, whether or not the load has changed.
func localDue(last time.Time, peerCount int, changed bool) time.Time {
	if changed {
		return last.Add(min(localInterval(peerCount), refreshInterval))
	}
	return last.Add(refreshInterval)
}

// localInterval returns the time between two beacons of a node whose health does not change, for
// the given number of other nodes in its data centre.
func localInterval(peerCount int) time.Duration {
	return max(time.Duration(peerCount)*time.Second/localRate, minInterval)
}

// meanDigestInterval returns the mean time between two digests from a data centre with the given number of
// nodes that run to another data centre.
func meanDigestInterval(nodes int) time.Duration {
	return digestInterval * time.Duration(max(nodes, digestNodes)) / digestNodes
}

// digestDelay returns the time until one of the given number of nodes of a data centre sends its next
// digest. random is exponential with the mean 1, so that the time since the last digest does not
// matter: nodes that start together do not send together, and the time may be drawn anew whenever the
// number changes.
func digestDelay(nodes int, random float64) time.Duration {
	return time.Duration(random * float64(meanDigestInterval(nodes)) * float64(nodes))
}

// digestSenders returns the number of nodes that share the digests of the local data centre: those that
// run, and at least half of the members, because a process that starts hears of the others only after a
// while.
func (b *beacons) digestSenders(now time.Time, view *View) int {
	running, _ := b.table.CountRecent(now, view.localKeys, refreshInterval+beacon.MaxAge)
	return max(running, (len(view.localKeys)+1)/2)
}

// loadDatagram returns a datagram with the load of the local server.
func (b *beacons) loadDatagram(now time.Time, view *View) beacon.Datagram {
	key := beacon.HashNode(b.self.ID)
	load := view.adjustLoad(now, b.gate.Load(now))
	own := beacon.AgedReport{Report: beacon.Report{Node: key, Stamp: beacon.StampOf(now), Load: load, FollowsStore: b.watching(), NextReads: b.untilReads(now)}}
	b.table.Update(now, own)
	return beacon.Datagram{Sender: key, Version: view.configVersion(), Members: view.MembersNewest, Reports: []beacon.AgedReport{own}}
}

// digest returns a datagram with the fresh reports of the local data centre.
func (b *beacons) digest(now time.Time, view *View) beacon.Datagram {
	return beacon.Datagram{
		Sender: view.localKeys[0], Version: view.configVersion(), Members: view.MembersNewest, Forward: true, Reports: b.table.Fresh(now, view.localKeys),
	}
}

// shouldWatch implements watcherRole.
func (b *beacons) shouldWatch() bool {
	_, watchers := b.table.CountRecent(time.Now(), b.control.View().keysBefore, watcherReportMaxAge)
	return watchers < b.watcherCount()
}

// isPreferred implements watcherRole.
func (b *beacons) isPreferred() bool {
	heard, _ := b.table.CountRecent(time.Now(), b.control.View().keysBefore, watcherReportMaxAge)
	return heard < b.watcherCount()
}

// watcherCount returns the number of nodes of a data centre that watch the store.
func (b *beacons) watcherCount() int {
	if b.confirming() {
		return confirmingWatcherCount
	}
	return watcherCount
}

// otherWatchers implements watcherRole.
func (b *beacons) otherWatchers(table int) currency.Watchers {
	now := time.Now()
	view := b.control.View()
	heard := b.table.Followers(now, view.localKeys[1:], watcherReportMaxAge)
	if !currency.EnoughLocal(len(heard)) {
		var all []beacon.NodeHash
		for key, member := range view.byKey {
			if member.ID != b.self.ID {
				all = append(all, key)
			}
		}
		heard = b.table.Followers(now, all, watcherReportMaxAge)
	}
	watchers := currency.Watchers{}
	for _, report := range heard {
		if report.Node < view.localKeys[0] {
			watchers.Rank++
		}
		watchers.NextReads = append(watchers.NextReads, report.NextReads[table]-report.Age)
	}
	return watchers
}

// configVersion returns the version of the configuration in force; 0 if there is none.
func (v *View) configVersion() uint64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// sendRemote sends a datagram to a few nodes of each other data centre.
func (b *beacons) sendRemote(view *View, message beacon.Datagram, relays int) {
	parts := message.Encode()
	heard := b.table.HeardWithin(time.Now(), relayMaxAge)
	for _, nodes := range view.remotePeers {
		for _, node := range drawRelays(nodes, relays, heard) {
			b.send(node, parts)
		}
	}
}

// drawRelays returns some random nodes, and prefers those that were heard of.
func drawRelays(nodes []peer, count int, heard map[beacon.NodeHash]bool) []peer {
	var drawn []peer
	for _, i := range rand.Perm(len(nodes))[:min(relayDraws*count, len(nodes))] {
		drawn = append(drawn, nodes[i])
	}
	slices.SortStableFunc(drawn, func(a, b peer) int {
		switch {
		case heard[a.key] == heard[b.key]:
			return 0
		case heard[a.key]:
			return -1
		}
		return 1
	})
	return drawn[:min(count, len(drawn))]
}

func (b *beacons) sendTo(nodes []peer, message beacon.Datagram) {
	parts := message.Encode()
	for _, node := range nodes {
		b.send(node, parts)
	}
}

// sendCall sends the datagram of a call or its reply.
func (b *beacons) sendCall(data []byte, to netip.AddrPort) error {
	_, err := b.conn.WriteToUDPAddrPort(data, to)
	return err
}

func (b *beacons) send(node peer, parts [][]byte) {
	for _, data := range parts {
		if _, err := b.conn.WriteToUDPAddrPort(data, node.addr); err != nil {
			b.log.Debug("failed to send beacon", zap.String("node", node.id), zap.Error(err))
		}
	}
}
