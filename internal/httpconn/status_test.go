package httpconn

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a response whose status is none that HTTP has, such as 000: it must neither be passed on nor taken
// for an interim response, after which the request would wait for another one.
func TestResponseWithAnInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		g := NewWithT(t)
		server := newEndlessServer(t, fmt.Sprintf("HTTP/1.1 %s X\r\nId: 1\r\nContent-Length: 0\r\n\r\n", status), "", time.Hour)
		ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
		started := time.Now()
		err := doRequest(ctx, server, nil)
		cancel()
		g.Expect(errors.Is(err, ErrOutcomeUnknown)).To(BeTrue(), "status %s: %v", status, err)
		g.Expect(time.Since(started)).To(BeNumerically("<", testDeadline/4), "status %s", status)
	}
}
