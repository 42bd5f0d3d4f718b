package entry_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tarragonford/tarragonford/internal/admit"
	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/entry"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

// staticViewer provides a fixed view whose control tick is always current.
type staticViewer struct{ view *fleet.View }

func (v staticViewer) View() *fleet.View      { return v.view }
func (staticViewer) SinceTick() time.Duration { return 0 }

// newView returns the view of a ready node that hosts every server itself.
func newView(servers int) *fleet.View {
	self := &fleet.NodeRecord{ID: "n", Version: fleet.Version{Incarnation: 1}}
	service := &fleet.ServiceView{Service: fleet.Service{Name: "s", DefaultDeadlineMS: 1000}}
	for i := range servers {
		record := &fleet.ServerRecord{ID: fmt.Sprint("b", i), Service: "s", Incarnation: 1, Slots: 1}
		service.Candidates = append(service.Candidates, fleet.Candidate{Server: record, Host: self, Warmth: 1})
	}
	routes := map[string]fleet.Route{"r": {ID: "r", Prefix: "/s/", Service: "s"}}
	return &fleet.View{
		Self:  self,
		Ready: true,
		Nodes: map[string]*fleet.NodeRecord{"n": self},
		Config: &fleet.Config{
			Services: map[string]fleet.Service{"s": service.Service},
			Routes:   routes,
			Index:    fleet.NewRouteIndex(routes),
		},
		Services: map[string]*fleet.ServiceView{"s": service},
	}
}

// attemptResult is how fakeHost handles one attempt.
type attemptResult string

const (
	attemptAnswered        attemptResult = "answered"
	attemptShed            attemptResult = "shed"
	attemptRanReplyLost    attemptResult = "ran, reply lost"
	attemptNotRunReplyLost attemptResult = "not run, reply lost"
	attemptServerError     attemptResult = "ran, status 500"
)

// fakeHost handles attempts with the given results in order, sheds the attempts
// after them, and counts those that ran.
type fakeHost struct {
	results []attemptResult
	runs    int
	// fenceable holds the attempts that a fence call can still prevent from running.
	fenceable map[string]bool
	// done holds the attempts that ran and whose reply was lost.
	done     map[string]bool
	attempts int
}

func (h *fakeHost) Serve(_ context.Context, r *forward.Request) *forward.Reply {
	next := attemptShed
	if h.attempts < len(h.results) {
		next = h.results[h.attempts]
	}
	h.attempts++
	id := r.AttemptID()
	switch next {
	case attemptAnswered:
		h.runs++
		return &forward.Reply{Response: &forward.Response{Status: 200, Body: []byte("ok")}}
	case attemptServerError:
		h.runs++
		return &forward.Reply{Response: &forward.Response{Status: 500, Body: []byte("failed")}}
	case attemptRanReplyLost:
		h.runs++
		h.done[id] = true
		return forward.ErrorReply(codes.AnswerLost.New("lost"))
	case attemptNotRunReplyLost:
		h.fenceable[id] = true
		return forward.ErrorReply(codes.AnswerLost.New("lost"))
	}
	return forward.ErrorReply(codes.ServerShed.New("shed"))
}

// fakeFencer answers fence calls for fakeHost, unless unreachable is set.
type fakeFencer struct {
	host        *fakeHost
	unreachable bool
	// returnsReply tells whether the stored reply of a request that ran is returned.
	returnsReply bool
}

func (f *fakeFencer) Fence(_ context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error) {
	switch {
	case f.unreachable:
		return "", nil, errors.New("no answer")
	case f.host.fenceable[target.ID]:
		return atmostonce.NeverDispatched, nil, nil
	case f.host.done[target.ID] && f.returnsReply:
		return atmostonce.Done, &forward.Reply{Response: &forward.Response{Status: 200, Body: []byte("ok")}}, nil
	}
	return atmostonce.Running, nil, nil
}

func (f *fakeFencer) FenceVia(ctx context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error) {
	return f.Fence(ctx, target)
}

// fakeBalancer selects the servers in order and allows every retry.
type fakeBalancer struct{ sent map[string]int }

func (b *fakeBalancer) Choose(_ time.Time, view *fleet.View, _ *forward.Request, tried []string) (*fleet.Candidate, bool) {
	candidates := view.Services["s"].Candidates
	if len(tried) >= len(candidates) {
		return nil, false
	}
	return &candidates[len(tried)], true
}

func (b *fakeBalancer) AttemptStarted(server string)                         { b.sent[server]++ }
func (*fakeBalancer) AttemptFinished(string, int, *forward.Reply, time.Time) {}
func (*fakeBalancer) RecordRequest(fleet.Service, time.Time)                 {}
func (*fakeBalancer) AllowRetry(fleet.Service, time.Time) bool               { return true }
func (*fakeBalancer) AllowHedge(fleet.Service, time.Time) bool               { return true }
func (*fakeBalancer) Prune(*fleet.View)                                      {}
func (*fakeBalancer) HedgeDelay(fleet.Service) (time.Duration, bool)         { return 0, false }
func (*fakeBalancer) RecordLatency(fleet.Service, time.Duration)             {}

type discardEvents struct{}

func (discardEvents) Emit(detect.Event) {}

// testEnv holds the fake dependencies of an entry.
type testEnv struct {
	host   *fakeHost
	fencer *fakeFencer
	store  platform.Store
	view   *fleet.View
}

func newTestEnv(results ...attemptResult) *testEnv {
	host := &fakeHost{results: results, fenceable: map[string]bool{}, done: map[string]bool{}}
	return &testEnv{
		host:   host,
		fencer: &fakeFencer{host: host, returnsReply: true},
		store:  platform.NewMemory(),
		view:   newView(4),
	}
}

func (env *testEnv) entry(local forward.Server) *entry.Entry {
	return entry.New(entry.Options{
		Viewer:          staticViewer{env.view},
		Local:           local,
		Balancer:        &fakeBalancer{sent: map[string]int{}},
		Fencer:          env.fencer,
		Signer:          atmostonce.NewSigner("secret"),
		Claims:          entry.NewClaims(env.store),
		RecentUsage:     entry.NewRecentUsage(),
		Accounts:        admit.NewAccountLimiter(100),
		PathEvents:      discardEvents{},
		Telemetry:       telemetry.Discard(),
		MaxBody:         1 << 10,
		MaxDeadline:     time.Second,
		KeyLifetime:     time.Minute,
		FenceRetention:  time.Hour,
		FreezeThreshold: time.Hour,
	})
}
