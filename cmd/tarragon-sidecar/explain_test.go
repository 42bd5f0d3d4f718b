package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/sidecar"
)

// Guards against a row that hides why a server is not considered, and against the failure of a node
// that is taken for an explanation.
func TestExplainPrintsTheReasonForEachServer(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	g.Expect(writeExplanation(&out, sidecar.Explanation{Route: "r", Services: []sidecar.ServiceExplanation{{
		Service: "measures", Share: 1, DataCentre: "a", Candidates: []sidecar.CandidateExplanation{
			{Node: "one", Known: true, AgeMS: 70, Share: 1}, {Node: "two", Objection: "unhealthy"},
		},
	}}})).To(Succeed())
	g.Expect(out.String()).To(And(ContainSubstring("goes to a"), ContainSubstring("not considered: unhealthy"), ContainSubstring("unknown")))

	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	_, err := (&explainCommand{Host: "h", Path: "/", Address: server.Listener.Addr().String()}).ask()
	g.Expect(err).To(MatchError(ContainSubstring("404")))
}
