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
	// packAbove is the size in bytes of a JSON list above which it is compressed.
	// The lists repeat names and times, so they shrink to about a fifth; and the
	// JSON-RPC library parses each message three times.
	packAbove = 512
	// maxUnpackedBytes bounds a list after decompression.
	maxUnpackedBytes = 4 << 20
)

// packed is a list that travels as a JSON array, or if that is long, as a JSON
// string of the compressed array in base64.
type packed[T any] []T

var deflaters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // fails only for an unknown level
	return w
}}

// MarshalJSON implements json.Marshaler.
func (p packed[T]) MarshalJSON() ([]byte, error) {
	plain, err := json.Marshal([]T(p))
	if err != nil || len(plain) <= packAbove {
		return plain, err
	}
	var buffer bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
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
func (p *packed[T]) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '"' {
		return json.Unmarshal(data, (*[]T)(p))
	}
	var compressed []byte
	if err := json.Unmarshal(data, &compressed); err != nil {
		return err
	}
	r := flate.NewReader(bytes.NewReader(compressed))
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return err
	}
	if len(plain) > maxUnpackedBytes {
		return fmt.Errorf("list exceeds the limit of %d bytes", maxUnpackedBytes)
	}
	return json.Unmarshal(plain, (*[]T)(p))
}
