package forward

import (
	"net/http"
	"testing"
	"time"
)

// FuzzDecode guards against metadata that crashes the host, moves the deadline by an overflow, or
// gives a request a weight from which no share of the queue can be computed.
func FuzzDecode(f *testing.F) {
	f.Add("id", "b", "GET", "/x", "1", "5", "1000", "1")
	f.Add("id", "b", "GET", "/x", "1", "5", "9223372036854775807", "NaN")
	f.Add("id", "b", "GET", "/x", "1", "5", "-1", "-Inf")
	f.Fuzz(func(t *testing.T, id, server, method, path, attempt, incarnation, deadline, weight string) {
		header := http.Header{}
		for name, value := range map[string]string{headerID: id, headerServer: server, headerMethod: method,
			headerPath: path, headerAttempt: attempt, headerIncarnation: incarnation, headerDeadline: deadline,
			headerWeight: weight} {
			header.Set(name, value)
		}
		now := time.Now()
		r, err := decode(header, now)
		if err != nil {
			return
		}
		if left := r.Deadline.Sub(now); left > maxHopDeadline || left < -maxHopDeadline {
			t.Fatalf("deadline %q was decoded as %s from now", deadline, left)
		}
		if weight != "" && !(r.Weight > 0) {
			t.Fatalf("weight %q was decoded as %g", weight, r.Weight)
		}
	})
}
