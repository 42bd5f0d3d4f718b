package beacon

import "encoding/binary"

// callMagic begins the datagrams of calls.
var callMagic = [2]byte{'T', 'C'}

// MaxCallPayload bounds the payload of a call or its reply in bytes.
const MaxCallPayload = MaxBytes - callHeaderBytes

// callHeaderBytes is the size of a call without its payload.
const callHeaderBytes = 16

// CallKind tells what a call asks for.
type CallKind byte

// Call is a request from one node to another, or its reply, in one datagram. Calls may be lost or
// arrive twice; the caller repeats one with the same nonce.
type Call struct {
	Kind   CallKind
	Reply  bool
	Sender NodeHash
	// Nonce identifies the call at its sender; the reply repeats it.
	Nonce   uint64
	Payload []byte
}

// Encode returns the call as the bytes of a datagram.
func (c Call) Encode() []byte {
	b := make([]byte, 0, callHeaderBytes+len(c.Payload))
	b = append(b, callMagic[0], callMagic[1], byte(c.Kind), 0)
	if c.Reply {
		b[3] = 1
	}
	b = binary.BigEndian.AppendUint32(b, uint32(c.Sender))
	b = binary.BigEndian.AppendUint64(b, c.Nonce)
	return append(b, c.Payload...)
}

// DecodeCall decodes a call; it returns false for other datagrams. The payload shares memory with b.
func DecodeCall(b []byte) (Call, bool) {
	if len(b) < callHeaderBytes || b[0] != callMagic[0] || b[1] != callMagic[1] || b[3] > 1 {
		return Call{}, false
	}
	return Call{
		Kind: CallKind(b[2]), Reply: b[3] == 1,
		Sender:  NodeHash(binary.BigEndian.Uint32(b[4:])),
		Nonce:   binary.BigEndian.Uint64(b[8:]),
		Payload: b[callHeaderBytes:],
	}, true
}
