package host

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// FuzzAnnouncement guards against announcements that crash the node, or that are
// accepted although the server they describe cannot be sent requests.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(`{"id":"b","service":"s","addr":"127.0.0.1:1","incarnation":1,"slots":1}`))
	f.Add([]byte(`{"id":"b","service":"s","addr":"[::1]:1","incarnation":1,"slots":1,"warm_up_ms":9223372036854775807}`))
	f.Add([]byte(`{"id":"b","service":"s","addr":"127.0.0.1:x","incarnation":1,"slots":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := decodeAnnouncement(bytes.NewReader(body))
		if err != nil {
			return
		}
		if _, err := net.ResolveTCPAddr("tcp", a.Addr); err != nil {
			t.Fatalf("address %q was accepted: %v", a.Addr, err)
		}
		if time.Duration(a.WarmUpMS)*time.Millisecond < 0 || a.WarmUpMS > maxWarmUp.Milliseconds() {
			t.Fatalf("a warm-up of %d ms was accepted", a.WarmUpMS)
		}
	})
}
