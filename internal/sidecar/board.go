package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/pick"
	"github.com/tarragonford/tarragonford/internal/registration"
)

// Member is a node as the others know it. Its row in the table of members holds
// it as JSON.
type Member struct {
	ID string `json:"id"`
	// Addr takes hops, Beacon the datagrams of other nodes.
	Addr       string `json:"addr"`
	Beacon     string `json:"beacon"`
	DataCentre string `json:"dc"`
	Region     string `json:"region"`
	Service    string `json:"service"`
}

// View is an immutable picture of the control state.
type View struct {
	// Config is nil before the first configuration.
	Config *fleet.Config
	// Document is the encoded configuration, for nodes that lack it.
	Document []byte
	// Members are all nodes by ID, this one included.
	Members map[string]Member
	// MembersKnown tells that the table of members was read once.
	MembersKnown bool
	// Services lists the nodes beside the servers of each service.
	Services map[string]*Pool
	// keys maps the names of nodes in beacons to their IDs, except names that
	// several nodes share.
	keys map[beacon.Key]string
	// Server is the own backend server; its ID is empty if none registered.
	Server registration.Server
	// Leaving is set when the process stops. StopSince is then the start of the
	// stop and StopAt the time at which requests that still run are cut off.
	Leaving           bool
	StopSince, StopAt time.Time
}

// Pool is the nodes of one service. Members and Candidates go together.
type Pool struct {
	Members    []Member
	Candidates []pick.Candidate
}

// Ready reports whether callers may use the node.
func (v *View) Ready() bool { return v.Config != nil && v.MembersKnown && !v.Leaving }

// takes reports whether the node takes a hop that must end within left. While it
// stops, it takes the work that ends before it does.
func (v *View) takes(now time.Time, left time.Duration) bool {
	return !v.Leaving || !now.Add(left).After(v.StopAt)
}

// load completes the load of the own server by the stop of the node.
func (v *View) load(now time.Time, load gate.Load) gate.Load {
	if v.Leaving {
		load.Ends = max(v.StopAt.Sub(now), 0)
		load.Open = load.Open && load.Ends > 0
	}
	return load
}

// state is owned by the control goroutine.
type state struct {
	config       *fleet.Config
	document     []byte
	members      map[string]Member
	membersKnown bool
	registry     *registration.Registry
	leaving      bool
	// stopSince and stopAt are set with leaving.
	stopSince, stopAt time.Time
}

// Board holds the control state and publishes it.
type Board struct {
	state state
	posts chan func(*state)
	view  atomic.Pointer[View]
	// onChange is called on the control goroutine with the views before and
	// after a change.
	onChange func(before, after *View)
}

// postQueue bounds the changes that wait for the control goroutine. Each is a
// few microseconds of work.
const postQueue = 256

// NewBoard returns a board that knows only the own node.
func NewBoard(self Member, onChange func(before, after *View)) *Board {
	b := &Board{posts: make(chan func(*state), postQueue), onChange: onChange}
	b.state = state{
		members:  map[string]Member{self.ID: self},
		registry: registration.New(self.Service),
	}
	b.view.Store(b.state.publish())
	return b
}

// View returns the newest view.
func (b *Board) View() *View { return b.view.Load() }

// Run applies changes until ctx ends.
func (b *Board) Run(ctx context.Context) {
	for {
		select {
		case change := <-b.posts:
			b.apply(change)
		case <-ctx.Done():
			return
		}
	}
}

func (b *Board) apply(change func(*state)) {
	before := b.view.Load()
	change(&b.state)
	after := b.state.publish()
	b.view.Store(after)
	b.onChange(before, after)
}

// Do runs a change on the control goroutine and waits for its end.
func (b *Board) Do(ctx context.Context, change func(*state)) error {
	done := make(chan struct{})
	select {
	case b.posts <- func(s *state) { change(s); close(done) }:
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// publish returns the view of the state. Maps are copied, because views are
// read without a lock.
func (s *state) publish() *View {
	view := &View{
		Config:       s.config,
		Document:     s.document,
		Members:      make(map[string]Member, len(s.members)),
		MembersKnown: s.membersKnown,
		Services:     map[string]*Pool{},
		Leaving:      s.leaving,
		StopSince:    s.stopSince,
		StopAt:       s.stopAt,
	}
	view.keys = keysOf(s.members)
	for id, member := range s.members {
		view.Members[id] = member
		pool := view.Services[member.Service]
		if pool == nil {
			pool = &Pool{}
			view.Services[member.Service] = pool
		}
		pool.Members = append(pool.Members, member)
		pool.Candidates = append(pool.Candidates, pick.Candidate{ID: member.ID, DataCentre: member.DataCentre, Region: member.Region})
	}
	if server, ok := s.registry.Current(); ok {
		view.Server = server
	}
	return view
}

func keysOf(members map[string]Member) map[beacon.Key]string {
	keys := make(map[beacon.Key]string, len(members))
	shared := map[beacon.Key]bool{}
	for id := range members {
		key := beacon.KeyOf(id)
		if _, taken := keys[key]; taken {
			shared[key] = true
		}
		keys[key] = id
	}
	for key := range shared {
		delete(keys, key)
	}
	return keys
}

// heartbeat takes a report of the own server.
func (s *state) heartbeat(now time.Time, report registration.Report) bool {
	return s.registry.Heartbeat(now, report)
}
