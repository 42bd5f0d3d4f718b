package intent_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
)

// TestChangesKeepUnknownFields guards against a change that drops a setting known
// only to newer versions of the program, or that cannot reset a known setting.
func TestChangesKeepUnknownFields(t *testing.T) {
	g := NewWithT(t)
	rows := intent.Rows{fleet.PrefixService + "a": {
		Version: 3,
		Value:   json.RawMessage(`{"name":"a","floor_slots":6,"preset":"trust","hedge":true,"newer":{"x":1}}`),
	}}
	off, ratio := false, 0.2
	spec := intent.Spec{Kind: intent.Limits, Service: "a", Limits: &intent.ServiceLimits{Hedge: &off, RetryRatio: &ratio}}
	writes, err := intent.Changes(intent.Intent{ID: "i", Spec: spec}, rows)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writes).To(HaveLen(1))
	g.Expect(writes[0].Value).To(MatchJSON(`{"name":"a","floor_slots":6,"preset":"trust","retry_ratio":0.2,"newer":{"x":1}}`))
}
