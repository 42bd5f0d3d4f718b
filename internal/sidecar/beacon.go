package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
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
	// localInterval is the shortest time between two beacons of a node to a data
	// centre of up to localNodes; it grows with the data centre.
	localInterval = 50 * time.Millisecond
	localNodes    = 30
	// digestInterval is the mean time between two digests of a data centre of
	// up to digestNodes to another one; it grows with the data centre.
	digestInterval = 200 * time.Millisecond
	digestNodes    = 30
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
	self      Member
	board     *Board
	gate      *gate.Gate
	picker    *pick.Picker
	log       *zap.Logger
	onVersion func(version uint64, addr string)
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
		b.onVersion(received.Version, sender.Addr)
	}
	for _, r := range received.Reports {
		member, known := view.memberOf(r.Node)
		if !known || member.ID == b.self.ID || !b.table.Take(now, r) {
			continue
		}
		b.picker.Heard(now.Add(-r.Age), member.ID, r.Load, r.Node == received.Sender && !received.PassOn)
	}
	if received.PassOn {
		received.PassOn = false
		b.sendTo(view.near(b.self), received)
	}
}

// memberOf returns the node of a key, unless several share it.
func (v *View) memberOf(key beacon.Key) (Member, bool) {
	id, ok := v.keys[key]
	if !ok {
		return Member{}, false
	}
	member, ok := v.Members[id]
	return member, ok
}

// near returns the other nodes of a node's data centre.
func (v *View) near(self Member) []Member {
	var near []Member
	for _, member := range v.Members {
		if member.DataCentre == self.DataCentre && member.ID != self.ID {
			near = append(near, member)
		}
	}
	return near
}

// run sends a beacon after each change of the load, and digests in turn, within
// the intervals.
func (b *beacons) run(ctx context.Context) {
	var before gate.Load
	nextDigest := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		view := b.board.View()
		near := view.near(b.self)
		message := b.report(now, view)
		load := message.Reports[0].Load
		b.sendTo(near, message)
		b.onLoad()
		if before.Open != load.Open || before.Healthy() != load.Healthy() {
			message.PassOn = true
			b.sendFar(view, message, urgentRelays)
		}
		before = load
		if !now.Before(nextDigest) {
			b.sendFar(view, b.digest(now, view, near), usualRelays)
			nextDigest = now.Add(digestPause(1+len(near), rand.Float64()))
		}
		sleep(ctx, localInterval*time.Duration(max(len(near), localNodes))/localNodes)
		select {
		case <-b.dirty:
		case <-time.After(min(refreshInterval, max(time.Until(nextDigest), 0))):
		case <-ctx.Done():
		}
	}
}

// digestPause returns the time until a node of a data centre sends its next
// digest. random is uniform from 0 to 1.
func digestPause(nodes int, random float64) time.Duration {
	interval := digestInterval * time.Duration(max(nodes, digestNodes)) / digestNodes
	return time.Duration((0.5 + random) * float64(interval) * float64(nodes))
}

// report returns a datagram with the load of the own server.
func (b *beacons) report(now time.Time, view *View) beacon.Datagram {
	key := beacon.KeyOf(b.self.ID)
	load := view.load(now, b.gate.Load(now))
	own := beacon.Aged{Report: beacon.Report{Node: key, Stamp: beacon.StampOf(now), Load: load}}
	b.table.Take(now, own)
	return beacon.Datagram{Sender: key, Version: view.version(), Reports: []beacon.Aged{own}}
}

// digest returns a datagram with the fresh reports of the own data centre.
func (b *beacons) digest(now time.Time, view *View, near []Member) beacon.Datagram {
	keys := []beacon.Key{beacon.KeyOf(b.self.ID)}
	for _, member := range near {
		keys = append(keys, beacon.KeyOf(member.ID))
	}
	return beacon.Datagram{Sender: keys[0], Version: view.version(), PassOn: true, Reports: b.table.Fresh(now, keys)}
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
	far := map[string][]Member{}
	for _, member := range view.Members {
		if member.DataCentre != b.self.DataCentre {
			far[member.DataCentre] = append(far[member.DataCentre], member)
		}
	}
	for _, members := range far {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		b.sendTo(members[:min(relays, len(members))], message)
	}
}

func (b *beacons) sendTo(members []Member, message beacon.Datagram) {
	parts := message.Encode()
	for _, member := range members {
		addr, err := netip.ParseAddrPort(member.Beacon)
		if err != nil {
			b.log.Error("address for beacons not understood", zap.String("node", member.ID), zap.Error(err))
			continue
		}
		for _, data := range parts {
			if _, err := b.conn.WriteToUDPAddrPort(data, addr); err != nil {
				b.log.Debug("beacon not sent", zap.String("node", member.ID), zap.Error(err))
			}
		}
	}
}
