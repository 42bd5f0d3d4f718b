package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/pick"
)

// Load: many lookups are retried at a service with a large budget; their calls count as retries at a
// service with a small one, which can't refuse them for that. Guards against retries there
// once most servers of the called service have given out theirs (KNOWN-RED 4).
func TestRetriesWaitForTheBudgetOfCalledServices(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	candidates := []pick.Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	view := &View{MemberIndex: &MemberIndex{Services: map[string]*Pool{"archive": {Candidates: candidates}}}}
	picker := pick.New("d", "r")
	called := &calledServices{}
	g.Expect(called.haveRetriesLeft(now, view, picker)).To(BeTrue(), "nothing is called")
	called.record(now, "archive")
	g.Expect(called.haveRetriesLeft(now, view, picker)).To(BeTrue(), "nothing is known")
	for i, candidate := range candidates {
		picker.Report(now, candidate.ID, gate.Load{Open: true, RetriesLeft: 2 - i})
	}
	g.Expect(called.haveRetriesLeft(now, view, picker)).To(BeTrue(), "two of three have retries left")
	picker.Report(now, "a", gate.Load{Open: true})
	g.Expect(called.haveRetriesLeft(now, view, picker)).To(BeFalse())
	g.Expect(called.haveRetriesLeft(now.Add(calledMemory+time.Second), view, picker)).To(BeTrue(), "not called any more")
}
