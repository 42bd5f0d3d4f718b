package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/pick"
)

// Intervals of beacons.
const (
	// localInterval is the shortest time between two beacons to the own data
	// centre, for each hundred of its nodes; remoteInterval is that to others,
	// where bytes are dear.
	localInterval  = 50 * time.Millisecond
	remoteInterval = 300 * time.Millisecond
	// refreshInterval is the longest time between two beacons.
	refreshInterval = time.Second
	// nodesPerInterval is the number of nodes of a data centre for which
	// localInterval holds.
	nodesPerInterval = 100
	// urgentRelays is the number of nodes of another data centre that get a
	// beacon about a change of health, of which any may be cut off; usualRelays
	// is that for other beacons.
	urgentRelays = 2
	usualRelays  = 1
	// maxBeacon bounds a datagram in bytes.
	maxBeacon = 512
)

// beacon is the load of the server beside one node. Nodes send it as a datagram
// to the nodes of their data centre, and to a few of each other one, which pass
// it on.
type beacon struct {
	node string
	// incarnation is the start of the process in Unix milliseconds; sequence
	// rises with each beacon of a process.
	incarnation, sequence int64
	// passOn asks the receiver to send it to the rest of its data centre.
	passOn bool
	report report
}

// beaconMark begins each datagram, so that others are told apart.
const beaconMark = "T1"

func (b beacon) encode() []byte {
	return []byte(strings.Join([]string{
		beaconMark, b.node, strconv.FormatInt(b.incarnation, 36), strconv.FormatInt(b.sequence, 36),
		strconv.Itoa(bit(b.passOn)), b.report.encode(),
	}, "|"))
}

func decodeBeacon(data []byte) (beacon, bool) {
	fields := strings.Split(string(data), "|")
	if len(fields) != 6 || fields[0] != beaconMark {
		return beacon{}, false
	}
	incarnation, err := strconv.ParseInt(fields[2], 36, 64)
	sequence, err2 := strconv.ParseInt(fields[3], 36, 64)
	r, ok := decodeReport(fields[5])
	if err != nil || err2 != nil || !ok {
		return beacon{}, false
	}
	return beacon{node: fields[1], incarnation: incarnation, sequence: sequence, passOn: fields[4] == "1", report: r}, true
}

// beaconOrder tells old beacons from new ones. Datagrams can be late and double.
type beaconOrder struct {
	mu   sync.Mutex
	last map[string][2]int64
}

// newer reports whether b is the newest beacon of its node, and remembers it.
func (o *beaconOrder) newer(b beacon) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.last[b.node]
	if b.incarnation < last[0] || b.incarnation == last[0] && b.sequence <= last[1] {
		return false
	}
	o.last[b.node] = [2]int64{b.incarnation, b.sequence}
	return true
}

// beacons sends the beacons of the own server and takes those of others.
type beacons struct {
	self      Member
	board     *Board
	gate      *gate.Gate
	picker    *pick.Picker
	log       *zap.Logger
	onVersion func(version uint64, addr string)

	conn        *net.UDPConn
	incarnation int64
	order       beaconOrder
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
	buffer := make([]byte, maxBeacon)
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
		if received, ok := decodeBeacon(buffer[:n]); ok {
			b.take(received)
		}
	}
}

func (b *beacons) take(received beacon) {
	if received.node == b.self.ID || !b.order.newer(received) {
		return
	}
	b.picker.Report(time.Now(), received.node, received.report.Load)
	view := b.board.View()
	if member, ok := view.Members[received.node]; ok {
		b.onVersion(received.report.version, member.Addr)
	}
	if received.passOn {
		received.passOn = false
		b.sendTo(view.near(b.self), received)
	}
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

// run sends a beacon after each change of the load, within the intervals.
func (b *beacons) run(ctx context.Context) {
	var lastRemote time.Time
	var before gate.Load
	for sequence := int64(1); ctx.Err() == nil; sequence++ {
		now := time.Now()
		view := b.board.View()
		load := b.gate.Load(now)
		message := beacon{node: b.self.ID, incarnation: b.incarnation, sequence: sequence, report: report{Load: load}}
		message.report.Open = load.Open && !view.Leaving
		if view.Config != nil {
			message.report.version = view.Config.Version
		}
		near := view.near(b.self)
		b.sendTo(near, message)
		urgent := before.Open != message.report.Open || before.Healthy() != load.Healthy()
		if urgent || now.Sub(lastRemote) >= remoteInterval {
			message.passOn = true
			b.sendFar(view, message, urgent)
			lastRemote = now
		}
		before = load
		before.Open = message.report.Open
		sleep(ctx, localInterval*time.Duration(1+len(near)/nodesPerInterval))
		select {
		case <-b.dirty:
		case <-time.After(refreshInterval):
		case <-ctx.Done():
		}
	}
}

// sendFar sends a beacon to a few nodes of each other data centre.
func (b *beacons) sendFar(view *View, message beacon, urgent bool) {
	far := map[string][]Member{}
	for _, member := range view.Members {
		if member.DataCentre != b.self.DataCentre {
			far[member.DataCentre] = append(far[member.DataCentre], member)
		}
	}
	relays := usualRelays
	if urgent {
		relays = urgentRelays
	}
	for _, members := range far {
		rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
		b.sendTo(members[:min(relays, len(members))], message)
	}
}

func (b *beacons) sendTo(members []Member, message beacon) {
	data := message.encode()
	for _, member := range members {
		addr, err := netip.ParseAddrPort(member.Beacon)
		if err != nil {
			continue
		}
		if _, err := b.conn.WriteToUDPAddrPort(data, addr); err != nil {
			b.log.Debug("beacon not sent", zap.String("node", member.ID), zap.Error(err))
		}
	}
}
