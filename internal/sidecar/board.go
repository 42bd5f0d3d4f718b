package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/gate"
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
	// Roster lists the nodes.
	*Roster
	// Config is nil before the first configuration.
	Config *fleet.Config
	// Document is the encoded configuration, for nodes that lack it.
	Document []byte
	// MembersVersion is the version of the table of members up to which no change
	// is missing; 0 before the table was read once. MembersNewest is that of the
	// newest change.
	MembersVersion, MembersNewest uint64
	// Server is the own backend server; its ID is empty if none registered.
	Server registration.Server
	// Leaving is set when the process stops. StopSince is then the start of the
	// stop and StopAt the time at which requests that still run are cut off.
	Leaving           bool
	StopSince, StopAt time.Time
}

// Ready reports whether callers may use the node.
func (v *View) Ready() bool { return v.Config != nil && v.MembersKnown() && !v.Leaving }

// MembersKnown tells that the table of members was read once.
func (v *View) MembersKnown() bool { return v.MembersVersion > 0 }

// takes reports whether the node takes a hop that must end within left. While it
// stops, it takes the work that ends before it does.
func (v *View) takes(now time.Time, left time.Duration) bool {
	return !v.Leaving || !now.Add(left).After(v.StopAt)
}

// load completes the load of the own server by the stop of the node.
func (v *View) load(now time.Time, load gate.Load) gate.Load {
	if v.Leaving {
		load.StopsIn = max(v.StopAt.Sub(now), 0)
		load.Open = load.Open && load.StopsIn > 0
	}
	return load
}

// state is owned by the control goroutine.
type state struct {
	self     Member
	config   *fleet.Config
	document []byte
	members  *memberTable
	// roster is that of members; nil after a change of them.
	roster   *Roster
	registry *registration.Registry
	leaving  bool
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
		self:     self,
		members:  newMemberTable(),
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

// publish returns the view of the state.
func (s *state) publish() *View {
	if s.roster == nil {
		members := s.members.members()
		members[s.self.ID] = s.self
		s.roster = newRoster(s.self, members)
	}
	view := &View{
		Roster:         s.roster,
		Config:         s.config,
		Document:       s.document,
		MembersVersion: s.members.version,
		MembersNewest:  s.members.newest,
		Leaving:        s.leaving,
		StopSince:      s.stopSince,
		StopAt:         s.stopAt,
	}
	if server, ok := s.registry.Current(); ok {
		view.Server = server
	}
	return view
}

// takeMembers applies changes of the table of members.
func (s *state) takeMembers(changes memberChanges) {
	if s.members.take(changes) {
		s.roster = nil
	}
}

// heartbeat takes a report of the own server.
func (s *state) heartbeat(now time.Time, report registration.Report) bool {
	return s.registry.Heartbeat(now, report)
}
