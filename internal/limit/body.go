package limit

import (
	"bytes"
	"io"
)

// Body is a complete body in memory. It is not modified after it has been read, so it can be read
// concurrently.
type Body struct {
	segments [][]byte
	size     int64
}

// NewBody returns a body that shares the memory of data.
func NewBody(data []byte) Body {
	var b Body
	b.add(data)
	return b
}

func (b *Body) add(segment []byte) {
	if len(segment) > 0 {
		b.segments = append(b.segments, segment)
		b.size += int64(len(segment))
	}
}

// Len returns the size in bytes.
func (b Body) Len() int { return int(b.size) }

// Bytes returns the body in one piece, which may be a copy.
func (b Body) Bytes() []byte {
	if len(b.segments) == 1 {
		return b.segments[0]
	}
	return bytes.Join(b.segments, nil)
}

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, segment := range b.segments {
		n, err := w.Write(segment)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Reader returns a reader of the body from its start.
func (b Body) Reader() io.Reader {
	readers := make([]io.Reader, len(b.segments))
	for i, segment := range b.segments {
		readers[i] = bytes.NewReader(segment)
	}
	return io.MultiReader(readers...)
}
