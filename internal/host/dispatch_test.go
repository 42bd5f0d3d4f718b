package host

import (
	"io"
	"strings"
	"syscall"
	"testing"
)

// Guards against a body without a length that a reset cut off, when the write of the request got the
// report of the reset and the read the end of the stream.
func TestUnframedBodyEndsWithTheResultOfTheWrite(t *testing.T) {
	for _, failure := range []error{nil, syscall.ECONNRESET} {
		written := make(chan error, 1)
		written <- failure
		body := &unframedBody{ReadCloser: io.NopCloser(strings.NewReader("half")), ctx: t.Context(), written: written}
		for range 2 {
			if _, err := io.ReadAll(body); (err == nil) != (failure == nil) {
				t.Fatalf("the write ended with %v, the read with %v", failure, err)
			}
		}
	}
}
