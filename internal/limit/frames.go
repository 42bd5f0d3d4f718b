package limit

import "encoding/binary"

// Sizes in bytes of the start of an HTTP/2 connection (RFC 9113), and the frames that carry a head.
const (
	prefaceBytes      = 24
	frameHeaderBytes  = 9
	frameHeaders      = 0x1
	frameContinuation = 0x9
	flagEndHeaders    = 0x4
)

// frameScan finds the heads in the bytes of an HTTP/2 connection. A server parses a head while it
// arrives, and one byte can stand for a field.
type frameScan struct {
	// skipped is the part of the preface that has passed.
	skipped int
	header  [frameHeaderBytes]byte
	// have is the part of header that has arrived, left the rest of the payload.
	have, left int
	// open is the number of bytes of the head that has begun and not ended; 0 if there is none.
	open int64
}

// scan processes bytes and returns the number of bytes of an open head.
func (f *frameScan) scan(data []byte) int64 {
	skip := min(prefaceBytes-f.skipped, len(data))
	f.skipped += skip
	data = data[skip:]
	for len(data) > 0 {
		if f.have < frameHeaderBytes {
			n := copy(f.header[f.have:], data)
			f.have += n
			data = data[n:]
			if f.have < frameHeaderBytes {
				break
			}
			f.left = int(binary.BigEndian.Uint32(f.header[:4]) >> 8)
		}
		n := min(f.left, len(data))
		f.left -= n
		data = data[n:]
		f.account(n)
		if f.left == 0 {
			f.have = 0
		}
	}
	return f.open
}

// account adds payload bytes of the current frame to the open head, or ends it.
func (f *frameScan) account(bytes int) {
	kind, flags := f.header[3], f.header[4]
	if kind != frameHeaders && kind != frameContinuation {
		return
	}
	f.open += int64(bytes)
	if f.left == 0 && flags&flagEndHeaders != 0 {
		f.open = 0
	}
}
