package sidecar

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/pick"
)

// noTimeout stands for callers that send no timeout; the other headers are not needed.
type noTimeout struct{ Headers }

func (noTimeout) Timeout(http.Header) (time.Duration, bool) { return 0, false }

// Guards against an explanation that leaves out why a request is refused or a server is not
// considered, or that differs from the routing table.
func TestAnExplanationTellsRouteServersAndChoice(t *testing.T) {
	g := NewWithT(t)
	self, members := fleetOf(6)
	e := &entry{settings: Settings{Node: self.ID, DataCentre: self.DataCentre}, control: controlLoopOf(self, members),
		picker: pick.New(self.DataCentre, self.Region), headers: noTimeout{}}
	ask := func(query string) (Explanation, int) {
		recorder := httptest.NewRecorder()
		e.explainHandler(recorder, httptest.NewRequest(http.MethodGet, PathExplain+"?"+query, nil))
		var explanation Explanation
		if recorder.Code == http.StatusOK {
			g.Expect(json.Unmarshal(recorder.Body.Bytes(), &explanation)).To(Succeed())
		}
		return explanation, recorder.Code
	}
	_, status := ask("host=a.example")
	g.Expect(status).To(Equal(http.StatusBadRequest))
	query := ExplainQuery("a.example:80", "/x/1", "", "").Encode()
	explanation, _ := ask(query)
	g.Expect(explanation.Code).To(Equal(codes.NotReady.Number))

	route := fleet.Route{ID: "r", Host: "a.example", Prefix: "/x/", Service: "service-0", Timeout: 2 * time.Second, Priority: 1}
	e.control.apply(func(s *state) {
		s.config = &fleet.Config{Version: 7, Index: fleet.NewRouteIndex(map[string]fleet.Route{route.ID: route})}
	})
	explanation, _ = ask(ExplainQuery("b.example", "/x/1", "", "").Encode())
	g.Expect(explanation.Code).To(Equal(codes.NoRoute.Number))

	now := time.Now()
	e.picker.Report(now, "node-0", gate.Load{Open: true, Slots: 4, Running: 1, Service: time.Second})
	e.picker.Report(now, "node-3", gate.Load{})
	explanation, _ = ask(query)
	g.Expect(explanation.Refused).To(BeEmpty())
	g.Expect(explanation.Configuration).To(Equal(uint64(7)))
	g.Expect(explanation.Idempotent).To(BeTrue(), "GET")
	g.Expect(explanation.TimeoutMS).To(Equal(int64(2000)))
	g.Expect(explanation.Services).To(HaveLen(1))
	service := explanation.Services[0]
	g.Expect(service.DataCentre).To(Equal(self.DataCentre))
	g.Expect(service.Candidates).To(HaveLen(2))
	g.Expect(service.Candidates[0].Share).To(Equal(1.0))
	g.Expect(service.Candidates[1].Objection).To(Equal(pick.Closed.String()))
}
