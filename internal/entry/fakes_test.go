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

// fixedView is a ready node that hosts every server itself.
type fixedView struct{ view *fleet.View }

func (f fixedView) View() *fleet.View      { return f.view }
func (fixedView) SinceTick() time.Duration { return 0 }

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

// fate is what a fake host does with one attempt.
type fate string

const (
	fateAnswer  fate = "answer"
	fateRefuse  fate = "refuse"
	fateRunLost fate = "run, answer lost"
	fateLost    fate = "not run, answer lost"
	fateError   fate = "run, answer 500"
)

// fakeHost deals out fates in order and knows what really ran.
type fakeHost struct {
	fates []fate
	runs  int
	// fenceable are the attempts that a fence still keeps from running.
	fenceable map[string]bool
	done      map[string]bool
	attempts  int
}

func (h *fakeHost) Serve(_ context.Context, r *forward.Request) *forward.Reply {
	next := fateRefuse
	if h.attempts < len(h.fates) {
		next = h.fates[h.attempts]
	}
	h.attempts++
	id := r.AttemptID()
	switch next {
	case fateAnswer:
		h.runs++
		return &forward.Reply{Response: &forward.Response{Status: 200, Body: []byte("ok")}}
	case fateError:
		h.runs++
		return &forward.Reply{Response: &forward.Response{Status: 500, Body: []byte("failed")}}
	case fateRunLost:
		h.runs++
		h.done[id] = true
		return forward.ErrorReply(codes.AnswerLost.New("lost"))
	case fateLost:
		h.fenceable[id] = true
		return forward.ErrorReply(codes.AnswerLost.New("lost"))
	}
	return forward.ErrorReply(codes.ServerShed.New("shed"))
}

// fakeFencer answers for fakeHost, or is silent.
type fakeFencer struct {
	host   *fakeHost
	silent bool
	// replies tells whether the kept answer of a request that ran is given.
	replies bool
}

func (f *fakeFencer) Fence(_ context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error) {
	switch {
	case f.silent:
		return "", nil, errors.New("no answer")
	case f.host.fenceable[target.ID]:
		return atmostonce.NeverDispatched, nil, nil
	case f.host.done[target.ID] && f.replies:
		return atmostonce.Done, &forward.Reply{Response: &forward.Response{Status: 200, Body: []byte("ok")}}, nil
	}
	return atmostonce.Running, nil, nil
}

func (f *fakeFencer) FenceVia(ctx context.Context, target atmostonce.FenceTarget) (atmostonce.FenceState, *forward.Reply, error) {
	return f.Fence(ctx, target)
}

// fakeBalancer gives the servers in order and allows every retry.
type fakeBalancer struct{ sent map[string]int }

func (b *fakeBalancer) Choose(_ time.Time, view *fleet.View, _ *forward.Request, tried []string) (*fleet.Candidate, bool) {
	candidates := view.Services["s"].Candidates
	if len(tried) >= len(candidates) {
		return nil, false
	}
	return &candidates[len(tried)], true
}

func (b *fakeBalancer) Started(server string)                         { b.sent[server]++ }
func (*fakeBalancer) Finished(string, int, *forward.Reply, time.Time) {}
func (*fakeBalancer) Fresh(fleet.Service, time.Time)                  {}
func (*fakeBalancer) MayRetry(fleet.Service, time.Time) bool          { return true }
func (*fakeBalancer) MayHedge(fleet.Service, time.Time) bool          { return true }
func (*fakeBalancer) Prune(*fleet.View)                               {}
func (*fakeBalancer) HedgeDelay(fleet.Service) (time.Duration, bool)  { return 0, false }
func (*fakeBalancer) Answered(fleet.Service, time.Duration)           {}

type noPaths struct{}

func (noPaths) Emit(detect.Event) {}

// world is an entry with fakes around it.
type world struct {
	host   *fakeHost
	fencer *fakeFencer
	store  platform.Store
	view   *fleet.View
}

func newWorld(fates ...fate) *world {
	host := &fakeHost{fates: fates, fenceable: map[string]bool{}, done: map[string]bool{}}
	return &world{
		host:   host,
		fencer: &fakeFencer{host: host, replies: true},
		store:  platform.NewMemory(),
		view:   newView(4),
	}
}

func (w *world) entry(local forward.Server) *entry.Entry {
	return entry.New(entry.Options{
		Viewer:          fixedView{w.view},
		Local:           local,
		Balancer:        &fakeBalancer{sent: map[string]int{}},
		Fencer:          w.fencer,
		Signer:          atmostonce.NewSigner("secret"),
		Claims:          entry.NewClaims(w.store),
		Recent:          entry.NewRecent(),
		Accounts:        admit.NewAccountLimiter(100),
		Paths:           noPaths{},
		Telemetry:       telemetry.Discard(),
		MaxBody:         1 << 10,
		MaxDeadline:     time.Second,
		KeyLifetime:     time.Minute,
		FenceRetention:  time.Hour,
		FreezeThreshold: time.Hour,
	})
}
