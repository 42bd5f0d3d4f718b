package fence

import (
	"encoding/json"
	"testing"
)

// FuzzDecode guards against parameters of another node that crash the host or identify no
// request.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"host":"n","incarnation":1,"id":"r/x/1","expires_ms":1}`))
	f.Add([]byte(`{"host":"n","id":"k/x","expires_ms":-9223372036854775808}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := decode(json.RawMessage(raw))
		if err != nil {
			return
		}
		if p.ID == "" || p.Host == "" {
			t.Fatalf("%q was decoded as %+v", raw, p)
		}
		if p.expires().IsZero() != (p.ExpiresMS == 0) {
			t.Fatalf("%d ms was decoded as %s", p.ExpiresMS, p.expires())
		}
	})
}
