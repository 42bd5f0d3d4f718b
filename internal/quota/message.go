package quota

import (
	"encoding/binary"
	"math"
	"time"
)

// Ask is the request of an entry for the credits of an account.
type Ask struct {
	// Waiting is the number of requests that wait for a credit.
	Waiting int
	// Demand is the number of requests of the account that arrive at the entry per second.
	Demand float64
	// Book is set if the entry will tell refused callers when to return by the promise of this home.
	Book bool
	// Told is the number of callers that the entry told to return without booking since its last
	// call.
	Told int
}

// Reply is the response of a node to an Ask.
type Reply struct {
	// Home is false if the node is no home of the account.
	Home bool
	// Granted is the number of credits, Slot the mark by which they are returned.
	Granted int
	Slot    uint32
	// Again is the time after which the home can grant the next credit, if it granted too few.
	Again time.Duration
	// First is the time after which the first refused caller may return, Interval the time between
	// two of them, and Booked the number of callers for which the home has reserved such times.
	First, Interval time.Duration
	Booked          int
}

// Return gives back credits that were granted together and whose requests did not run.
type Return struct {
	Credits int
	Slot    uint32
}

// Operations in the first byte of a payload.
const (
	opAsk    = 1
	opReturn = 2
	opBook   = 3
)

// demandScale is the resolution of a demand.
const demandScale = 10

// Sizes of payloads without the name of the account, in bytes.
const (
	askBytes    = 6
	replyBytes  = 17
	returnBytes = 7
)

// Encode returns the payload of the call.
func (a Ask) Encode(account string) []byte {
	op := byte(opAsk)
	if a.Book {
		op = opBook
	}
	b := []byte{op, byte(max(0, min(a.Waiting, math.MaxUint8)))}
	b = binary.BigEndian.AppendUint16(b, clamp16(int(a.Demand*demandScale)))
	b = binary.BigEndian.AppendUint16(b, clamp16(a.Told))
	return append(b, account...)
}

// Encode returns the payload of the call.
func (r Return) Encode(account string) []byte {
	b := binary.BigEndian.AppendUint16([]byte{opReturn}, clamp16(r.Credits))
	b = binary.BigEndian.AppendUint32(b, r.Slot)
	return append(b, account...)
}

// DecodeCall decodes the payload of a call: an Ask or a Return. It returns false for invalid bytes.
func DecodeCall(b []byte) (account string, ask *Ask, back *Return, ok bool) {
	switch {
	case len(b) >= askBytes && (b[0] == opAsk || b[0] == opBook):
		ask = &Ask{
			Waiting: int(b[1]), Demand: float64(binary.BigEndian.Uint16(b[2:])) / demandScale,
			Book: b[0] == opBook, Told: int(binary.BigEndian.Uint16(b[4:])),
		}
		return string(b[askBytes:]), ask, nil, true
	case len(b) >= returnBytes && b[0] == opReturn:
		back = &Return{Credits: int(binary.BigEndian.Uint16(b[1:])), Slot: binary.BigEndian.Uint32(b[3:])}
		return string(b[returnBytes:]), nil, back, true
	}
	return "", nil, nil, false
}

// Encode returns the payload of the reply.
func (r Reply) Encode() []byte {
	b := make([]byte, 1, replyBytes)
	if r.Home {
		b[0] = 1
	}
	b = binary.BigEndian.AppendUint32(b, r.Slot)
	for _, d := range []time.Duration{r.Again, r.First} {
		b = binary.BigEndian.AppendUint16(b, clamp16(int((d+time.Millisecond-1)/time.Millisecond)))
	}
	b = binary.BigEndian.AppendUint32(b, uint32(min(r.Interval/time.Microsecond, math.MaxUint32)))
	return binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(b, clamp16(r.Granted)), clamp16(r.Booked))
}

// DecodeReply decodes the payload of a reply; it returns false for invalid bytes.
func DecodeReply(b []byte) (Reply, bool) {
	if len(b) != replyBytes || b[0] > 1 {
		return Reply{}, false
	}
	ms := func(at int) time.Duration { return time.Duration(binary.BigEndian.Uint16(b[at:])) * time.Millisecond }
	return Reply{
		Home: b[0] == 1, Slot: binary.BigEndian.Uint32(b[1:]), Again: ms(5), First: ms(7),
		Interval: time.Duration(binary.BigEndian.Uint32(b[9:])) * time.Microsecond, Granted: int(binary.BigEndian.Uint16(b[13:])), Booked: int(binary.BigEndian.Uint16(b[15:])),
	}, true
}

func clamp16(n int) uint16 { return uint16(max(0, min(n, math.MaxUint16))) }
