package admin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/admin"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/seed"
)

const operatorToken = "example-operator-token-trust-not-for-production"

// faultyStore counts reads and fails them while down is set.
type faultyStore struct {
	*platform.Memory
	down  atomic.Bool
	reads atomic.Int64
}

func (s *faultyStore) Get(ctx context.Context, table, key string) (platform.Row, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return platform.Row{Key: key}, platform.ErrUnavailable
	}
	return s.Memory.Get(ctx, table, key)
}

func (s *faultyStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return nil, platform.ErrUnavailable
	}
	return s.Memory.Scan(ctx, table, prefix, after, limit)
}

// staticView is a ViewSource that always returns the same view.
type staticView struct{ view *fleet.View }

func (f staticView) View() *fleet.View { return f.view }

// node is the administration API of one node over an in-memory platform, with a
// clock that the test sets.
type node struct {
	store   *faultyStore
	handler http.Handler
	now     time.Time
	view    *fleet.View
}

// newNode returns a node whose view holds the given number of nodes; n0002 is down.
func newNode(t testing.TB, nodes int) *node {
	n := &node{store: &faultyStore{Memory: platform.NewMemory()}, now: time.Unix(1_800_000_000, 0)}
	file, err := seed.Load("../../deploy/trust/fleet.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := seed.Apply(context.Background(), n.store, file); err != nil {
		t.Fatal(err)
	}
	n.view = &fleet.View{
		Ready: true, Config: &fleet.Config{Version: 7}, Nodes: map[string]*fleet.NodeRecord{},
		DownNodes: map[string]bool{"n0002": true}, Services: map[string]*fleet.ServiceView{},
	}
	for i := range nodes {
		record := &fleet.NodeRecord{ID: fmt.Sprintf("n%04d", i), ConfigVersion: 7}
		n.view.Nodes[record.ID], n.view.Self = record, record
	}
	n.handler = admin.NewHandler(admin.Dependencies{
		Engine: intentstore.New(n.store, intentstore.Options{}), Views: staticView{n.view}, Now: func() time.Time { return n.now },
	})
	return n
}

func (n *node) do(method, path, token, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	n.handler.ServeHTTP(recorder, request)
	return recorder
}

// TestIdentities guards against tokens that stop working during a platform
// outage, against unknown tokens that each cause a read of the platform, and
// against access without a token.
func TestIdentities(t *testing.T) {
	g, n := NewWithT(t), newNode(t, 3)
	g.Expect(n.do("GET", api.PathStatus, "", "").Code).To(Equal(http.StatusUnauthorized))
	g.Expect(n.store.reads.Load()).To(BeEquivalentTo(0))
	n.store.down.Store(true)
	g.Expect(n.do("GET", api.PathStatus, operatorToken, "").Code).To(Equal(http.StatusServiceUnavailable))
	n.store.down.Store(false)
	n.now = n.now.Add(2 * time.Second)
	g.Expect(n.do("GET", api.PathStatus, operatorToken, "").Code).To(Equal(http.StatusOK))
	before := n.store.reads.Load()
	for range 100 {
		g.Expect(n.do("GET", api.PathStatus, "guess", "").Code).To(Equal(http.StatusUnauthorized))
	}
	g.Expect(n.store.reads.Load() - before).To(BeNumerically("<=", 1))
	n.store.down.Store(true)
	n.now = n.now.Add(time.Hour)
	g.Expect(n.do("GET", api.PathStatus, operatorToken, "").Code).To(Equal(http.StatusOK))
}

// TestProblems guards against an error response without its result code, outcome
// and media type.
func TestProblems(t *testing.T) {
	g, n := NewWithT(t), newNode(t, 3)
	n.view.Ready = false
	for _, c := range []struct {
		method, path, body string
		status, code       int
	}{
		{"GET", "/v1/other", "", http.StatusNotFound, 4012},
		{"DELETE", api.PathStatus, "", http.StatusNotFound, 4012},
		{"POST", api.PathIntents, `{"spec": {"kind": "floor"}, "other": 1}`, http.StatusBadRequest, 4001},
		{"POST", api.PathIntents, strings.Repeat("[", 2<<20), http.StatusBadRequest, 4001},
		{"POST", api.PathIntents + "/x/confirm", `{}`, http.StatusBadRequest, 4001},
		{"POST", api.PathIntents + "/x/plan", ``, http.StatusServiceUnavailable, 4010},
		{"GET", api.PathIntents + "?limit=0", ``, http.StatusBadRequest, 4001},
	} {
		answer := n.do(c.method, c.path, operatorToken, c.body)
		var problem api.Problem
		g.Expect(json.Unmarshal(answer.Body.Bytes(), &problem)).To(Succeed())
		g.Expect(answer.Code).To(Equal(c.status), problem.Detail)
		g.Expect(problem.Code).To(Equal(c.code))
		g.Expect(problem.Outcome).To(Equal("not-run"))
		g.Expect(answer.Header().Get(api.HeaderCode)).To(Equal(fmt.Sprint(c.code)))
		g.Expect(answer.Header().Get("Content-Type")).To(Equal(api.ProblemContentType))
	}
}

// countingTraffic is a TrafficSource that counts its calls. It panics if the
// context has no deadline within 10 seconds.
type countingTraffic struct{ calls atomic.Int64 }

func (s *countingTraffic) Observed(ctx context.Context) intent.ObservedTraffic {
	s.calls.Add(1)
	deadline, bounded := ctx.Deadline()
	if !bounded || time.Until(deadline) > 10*time.Second {
		panic("the context for collecting traffic has no deadline within 10 seconds")
	}
	return intent.ObservedTraffic{Accounts: []intent.Use{{Name: "colombo-shop", Service: "measures"}}}
}

// TestTrafficIsCollectedOnlyForPlans guards against confirmations that query every
// node of the fleet for traffic data that they do not use.
func TestTrafficIsCollectedOnlyForPlans(t *testing.T) {
	g, n, traffic := NewWithT(t), newNode(t, 3), &countingTraffic{}
	n.handler = admin.NewHandler(admin.Dependencies{
		Engine: intentstore.New(n.store, intentstore.Options{}), Views: staticView{n.view}, Traffic: traffic,
	})
	body := `{"id": "i", "spec": {"kind": "floor", "service": "measures", "floor_slots": 0}}`
	g.Expect(n.do("POST", api.PathIntents, operatorToken, body).Code).To(Equal(http.StatusCreated))
	answer := n.do("POST", api.PathIntents+"/i/plan", operatorToken, "")
	g.Expect(answer.Body.String()).To(ContainSubstring("colombo-shop"))
	g.Expect(n.do("POST", api.PathIntents+"/i/confirm", operatorToken, `{"plan": 2}`).Code).To(Equal(http.StatusOK))
	g.Expect(traffic.calls.Load()).To(BeEquivalentTo(1))
}

// TestStatusShowsLaggingNodes guards against a status that omits a node with an
// old configuration, among them the answering node.
func TestStatusShowsLaggingNodes(t *testing.T) {
	g, n := NewWithT(t), newNode(t, 4)
	n.view.Nodes["n0001"].ConfigVersion = 6
	n.view.Nodes["n0003"].ConfigVersion = 8
	var status api.Status
	g.Expect(json.Unmarshal(n.do("GET", api.PathStatus, operatorToken, "").Body.Bytes(), &status)).To(Succeed())
	g.Expect(status.ConfigVersion).To(BeEquivalentTo(8))
	g.Expect(status.Lagging).To(Equal([]string{"n0000", "n0001"}))
	g.Expect(status.Down).To(Equal([]string{"n0002"}))
}

// BenchmarkStatus measures the time, the platform reads and the size of one status
// answer for fleets of different sizes.
func BenchmarkStatus(b *testing.B) {
	for _, nodes := range []int{50, 500, 5300} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			n := newNode(b, nodes)
			n.do("GET", api.PathStatus, operatorToken, "")
			n.store.reads.Store(0)
			size := 0
			for b.Loop() {
				size = n.do("GET", api.PathStatus, operatorToken, "").Body.Len()
			}
			b.ReportMetric(float64(n.store.reads.Load())/float64(b.N), "reads/status")
			b.ReportMetric(float64(size), "B/answer")
		})
	}
}
