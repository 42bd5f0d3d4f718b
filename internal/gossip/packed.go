package gossip

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

const (
	// compressionThreshold is the size in bytes above which a JSON list is
	// compressed. Names and times repeat in the lists, so they shrink to about a
	// fifth. Smaller messages also save parsing time, because the JSON-RPC library
	// parses each message three times.
	compressionThreshold = 512
	// maxDecompressedBytes bounds the size of a list after decompression.
	maxDecompressedBytes = 4 << 20
)

// compressedList is a list that is encoded as a JSON array or, if the array is
// long, as a JSON string that holds the DEFLATE-compressed array in base64.
type compressedList[T any] []T

var flateWriters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // fails only for an invalid level
	return w
}}

// MarshalJSON implements json.Marshaler.
func (p compressedList[T]) MarshalJSON() ([]byte, error) {
	plain, err := json.Marshal([]T(p))
	if err != nil || len(plain) <= compressionThreshold {
		return plain, err
	}
	var buffer bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&buffer)
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(buffer.Bytes())
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *compressedList[T]) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		return json.Unmarshal(data, (*[]T)(p))
	}
	var compressed []byte
	if err := json.Unmarshal(data, &compressed); err != nil {
		return err
	}
	r := flate.NewReader(bytes.NewReader(compressed))
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return err
	}
	if len(plain) > maxDecompressedBytes {
		return fmt.Errorf("decompressed list exceeds the limit of %d bytes", maxDecompressedBytes)
	}
	return json.Unmarshal(plain, (*[]T)(p))
}
