package beacon

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/gate"
)

const (
	// MaxBytes bounds a datagram, so that it fits the usual MTU of a network.
	MaxBytes = 1200
	// maxReportBytes bounds the encoding of one report.
	maxReportBytes = 98
	// probabilityScale is the number of steps in which a probability is encoded.
	probabilityScale = 1000
	// tokenScale is the number of steps in which a token of a rate limit is encoded.
	tokenScale = 1000
	// maxValue bounds the numbers of a report, so that none overflows.
	maxValue = 1 << 31
)

// magic begins each datagram, so that datagrams of other protocols are rejected.
var magic = [2]byte{'T', '4'}

// Flag bits of a report.
const (
	bitOpen = 1 << iota
	bitCold
	bitFollowsStore
	// bitRateLimited tells that the report ends with the rate limit of the server.
	bitRateLimited
	// bitCalls tells that the report has the share of calls and the service time without them,
	// bitWaiting that it has the numbers of waiting requests by rank.
	bitCalls
	bitWaiting
)

// NodeHash identifies a node in datagrams.
type NodeHash uint32

// HashNode returns the hash of a node's ID.
func HashNode(id string) NodeHash {
	h := fnv.New32a()
	h.Write([]byte(id))
	return NodeHash(h.Sum32())
}

// Report is the load of the server beside a node at one time.
type Report struct {
	Node NodeHash
	// Stamp is the time of the report on the node's clock, in ms modulo 2^32.
	Stamp uint32
	Load  gate.Load
	// FollowsStore is set if the node receives the changes of the store's tables. NextReads are then
	// the times until it next asks the store for each of them.
	FollowsStore bool
	NextReads    [WatchedTables]time.Duration
}

// WatchedTables is the number of tables of the store that nodes watch.
const WatchedTables = 2

// StampOf returns the stamp of a time.
func StampOf(at time.Time) uint32 { return uint32(at.UnixMilli()) }

// AgedReport is a report with its age at its sender or receiver.
type AgedReport struct {
	Report
	Age time.Duration
}

// Datagram carries reports, and the versions that its sender has.
type Datagram struct {
	Sender NodeHash
	// Version is the version of the configuration in force; 0 for none.
	Version uint64
	// Members is the revision of the newest change in the table of members; zero for none.
	Members currency.Revision
	// Forward asks the receiver to forward the datagram to the rest of its data centre.
	Forward bool
	Reports []AgedReport
}

// Encode returns the datagram as bytes, in parts of at most MaxBytes.
func (d Datagram) Encode() [][]byte {
	var parts [][]byte
	part := d.header()
	for _, r := range d.Reports {
		if len(part)+maxReportBytes > MaxBytes {
			parts = append(parts, part)
			part = d.header()
		}
		part = r.append(part)
	}
	return append(parts, part)
}

func (d Datagram) header() []byte {
	b := append([]byte{}, magic[:]...)
	forward := byte(0)
	if d.Forward {
		forward = 1
	}
	b = append(b, forward)
	b = binary.BigEndian.AppendUint32(b, uint32(d.Sender))
	for _, number := range []uint64{d.Version, d.Members.Era, d.Members.Version} {
		b = binary.AppendUvarint(b, number)
	}
	return b
}

func (r AgedReport) append(b []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(r.Node))
	b = binary.BigEndian.AppendUint32(b, r.Stamp)
	bits := uint64(0)
	if r.Load.Open {
		bits |= bitOpen
	}
	if r.Load.Cold {
		bits |= bitCold
	}
	if r.FollowsStore {
		bits |= bitFollowsStore
	}
	if r.Load.RateLimited() {
		bits |= bitRateLimited
	}
	if r.Load.WaitingRanks() > 0 {
		bits |= bitWaiting
	}
	if r.Load.CallPercent > 0 {
		bits |= bitCalls
	}
	numbers := []uint64{
		uint64(max(r.Age, 0).Milliseconds()), bits, uint64(r.Load.Running), uint64(r.Load.Slots),
		uint64(math.Round(r.Load.FailureProbability * probabilityScale)), uint64(r.Load.Service.Milliseconds()),
		uint64(r.Load.TrialIn.Milliseconds()), uint64(r.Load.RetriesLeft), uint64(r.Load.StopsIn.Milliseconds()),
		uint64(r.Load.SinceLastUse.Milliseconds()),
	}
	if bits&bitCalls != 0 {
		numbers = append(numbers, uint64(r.Load.CallPercent), uint64(r.Load.WorkService.Milliseconds()))
	}
	if bits&bitWaiting != 0 {
		ranks := r.Load.WaitingRanks()
		numbers = append(numbers, uint64(ranks))
		for _, waiting := range r.Load.Waiting[:ranks] {
			numbers = append(numbers, uint64(waiting))
		}
	}
	if r.Load.RateLimited() {
		numbers = append(numbers, uint64(max(r.Load.RateInterval.Milliseconds(), 1)), uint64(math.Round(max(r.Load.RateTokens, 0)*tokenScale)))
	}
	if r.FollowsStore {
		for _, next := range r.NextReads {
			numbers = append(numbers, uint64(max(next, 0).Milliseconds()))
		}
	}
	for _, n := range numbers {
		b = binary.AppendUvarint(b, min(n, maxValue))
	}
	return b
}

// Decode decodes a datagram; it returns false for invalid bytes.
func Decode(b []byte) (Datagram, bool) {
	if len(b) < 7 || b[0] != magic[0] || b[1] != magic[1] || b[2] > 1 {
		return Datagram{}, false
	}
	d := Datagram{Forward: b[2] == 1, Sender: NodeHash(binary.BigEndian.Uint32(b[3:]))}
	rest := b[7:]
	for _, number := range []*uint64{&d.Version, &d.Members.Era, &d.Members.Version} {
		value, n := binary.Uvarint(rest)
		if n <= 0 {
			return Datagram{}, false
		}
		*number, rest = value, rest[n:]
	}
	for len(rest) > 0 {
		var r AgedReport
		var ok bool
		if r, rest, ok = decodeReport(rest); !ok {
			return Datagram{}, false
		}
		d.Reports = append(d.Reports, r)
	}
	return d, true
}

func decodeReport(b []byte) (r AgedReport, rest []byte, ok bool) {
	if len(b) < 8 {
		return AgedReport{}, nil, false
	}
	r.Node, r.Stamp = NodeHash(binary.BigEndian.Uint32(b)), binary.BigEndian.Uint32(b[4:])
	b = b[8:]
	var numbers [10]int
	if b, ok = decodeNumbers(b, numbers[:]); !ok {
		return AgedReport{}, nil, false
	}
	r.FollowsStore = numbers[1]&bitFollowsStore != 0
	r.Age = time.Duration(numbers[0]) * time.Millisecond
	r.Load = gate.Load{
		Open: numbers[1]&bitOpen != 0, Cold: numbers[1]&bitCold != 0,
		Running: numbers[2], Slots: numbers[3],
		FailureProbability: float64(numbers[4]) / probabilityScale,
		Service:            time.Duration(numbers[5]) * time.Millisecond,
		TrialIn:            time.Duration(numbers[6]) * time.Millisecond,
		RetriesLeft:        numbers[7],
		StopsIn:            time.Duration(numbers[8]) * time.Millisecond,
		SinceLastUse:       time.Duration(numbers[9]) * time.Millisecond,
	}
	if b, ok = decodeQueue(b, numbers[1], &r.Load); !ok {
		return AgedReport{}, nil, false
	}
	if numbers[1]&bitRateLimited != 0 {
		var limit [2]int
		if b, ok = decodeNumbers(b, limit[:]); !ok {
			return AgedReport{}, nil, false
		}
		r.Load.RateInterval, r.Load.RateTokens = time.Duration(limit[0])*time.Millisecond, float64(limit[1])/tokenScale
	}
	if r.FollowsStore {
		var next [WatchedTables]int
		if b, ok = decodeNumbers(b, next[:]); !ok {
			return AgedReport{}, nil, false
		}
		for i := range next {
			r.NextReads[i] = time.Duration(next[i]) * time.Millisecond
		}
	}
	return r, b, true
}

// decodeQueue reads the share of calls and the numbers of waiting requests, as far as bits tell that
// the report has them.
func decodeQueue(b []byte, bits int, load *gate.Load) (rest []byte, ok bool) {
	if bits&bitCalls != 0 {
		var calls [2]int
		if b, ok = decodeNumbers(b, calls[:]); !ok {
			return nil, false
		}
		load.CallPercent, load.WorkService = calls[0], time.Duration(calls[1])*time.Millisecond
	}
	if bits&bitWaiting == 0 {
		return b, true
	}
	var number [1]int
	if b, ok = decodeNumbers(b, number[:]); !ok || number[0] > len(load.Waiting) {
		return nil, false
	}
	return decodeNumbers(b, load.Waiting[:number[0]])
}

// decodeNumbers fills numbers from the start of b and returns the rest of b.
func decodeNumbers(b []byte, numbers []int) (rest []byte, ok bool) {
	for i := range numbers {
		value, n := binary.Uvarint(b)
		if n <= 0 || value > maxValue {
			return nil, false
		}
		numbers[i], b = int(value), b[n:]
	}
	return b, true
}
