package sidecar

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/currency"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/registration"
)

// Member describes a node to the other nodes. It is stored as JSON in the node's row of the
// members table.
type Member struct {
	ID string `json:"id"`
	// Addr is the address for hops, Beacon that for datagrams of other nodes.
	Addr       string `json:"addr"`
	Beacon     string `json:"beacon"`
	DataCentre string `json:"dc"`
	Region     string `json:"region"`
	Service    string `json:"service"`
}

// validate checks a member that was read from the row with a key.
func (m Member) validate(key string) error {
	if m.ID != key || m.Service == "" {
		return trace.BadParameter("the row of node %q names node %q of service %q", key, m.ID, m.Service)
	}
	for _, addr := range []string{m.Addr, m.Beacon} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return trace.BadParameter("invalid address: %v", err)
		}
	}
	return nil
}

// View is an immutable snapshot of the control state.
type View struct {
	// MemberIndex lists the nodes.
	*MemberIndex
	// Config is nil until the first configuration has been received.
	Config *fleet.Config
	// Document is the encoded configuration, for sending to nodes that lack it.
	Document []byte
	// MembersRevision is the revision of the members table up to which no change is missing; zero
	// before the table was read for the first time. MembersNewest is the revision of the newest
	// known change.
	MembersRevision, MembersNewest currency.Revision
	// Server is the local backend server; its ID is empty if none is registered.
	Server registration.Server
	// Leaving is set once the process is stopping. StopSince is then the start of the stop, StopAt the
	// time by which new requests must have ended, and EndsAt the time at which requests that still
	// run are ended.
	Leaving                   bool
	StopSince, StopAt, EndsAt time.Time
}

// Ready reports whether callers may use the node.
func (v *View) Ready() bool { return v.Config != nil && v.MembersKnown() && !v.Leaving }

// MembersKnown reports whether the members table has been read at least once.
func (v *View) MembersKnown() bool { return !v.MembersRevision.IsZero() }

// accepts reports whether the node accepts a hop that must end within the remaining time. A
// stopping node accepts only work that ends before it stops.
func (v *View) accepts(now time.Time, remaining time.Duration) bool {
	return !v.Leaving || !now.Add(remaining).After(v.StopAt)
}

// adjustLoad adds the effect of a planned stop of the node to the load of the local server.
func (v *View) adjustLoad(now time.Time, load gate.Load) gate.Load {
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
	// index is built from members; nil after they have changed.
	index    *MemberIndex
	registry *registration.Registry
	leaving  bool
	// stopSince, stopAt and endsAt are set together with leaving.
	stopSince, stopAt, endsAt time.Time
}

// ControlLoop owns the control state, applies changes to it on a single goroutine, and publishes
// the resulting views.
type ControlLoop struct {
	state   state
	pending chan func(*state)
	view    atomic.Pointer[View]
	// onChange is called on the control goroutine with the views before and after a change.
	onChange func(before, after *View)
}

// changeQueueSize bounds the changes that wait for the control goroutine. Each takes a few
// microseconds.
const changeQueueSize = 256

// NewControlLoop returns a control loop that knows only the local node.
func NewControlLoop(self Member, onChange func(before, after *View)) *ControlLoop {
	c := &ControlLoop{pending: make(chan func(*state), changeQueueSize), onChange: onChange}
	c.state = state{
		self:     self,
		members:  newMemberTable(),
		registry: registration.New(self.Service),
	}
	c.view.Store(c.state.newView())
	return c
}

// View returns the latest view.
func (c *ControlLoop) View() *View { return c.view.Load() }

// Run applies changes until ctx ends.
func (c *ControlLoop) Run(ctx context.Context) {
	for {
		select {
		case change := <-c.pending:
			c.apply(change)
		case <-ctx.Done():
			return
		}
	}
}

func (c *ControlLoop) apply(change func(*state)) {
	before := c.view.Load()
	change(&c.state)
	after := c.state.newView()
	c.view.Store(after)
	c.onChange(before, after)
}

// Do runs a change on the control goroutine and waits until a view shows it. It returns an error if ctx
// ends first; a change that is already queued may still run after that.
func (c *ControlLoop) Do(ctx context.Context, change func(*state)) error {
	done := make(chan struct{})
	// The view of a change is published after the change has returned, but before the next one runs.
	for _, queued := range []func(*state){change, func(*state) { close(done) }} {
		select {
		case c.pending <- queued:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// newView returns a view of the current state.
func (s *state) newView() *View {
	if s.index == nil {
		members := s.members.members()
		members[s.self.ID] = s.self
		s.index = newMemberIndex(s.self, members)
	}
	view := &View{
		MemberIndex:     s.index,
		Config:          s.config,
		Document:        s.document,
		MembersRevision: s.members.revision,
		MembersNewest:   s.members.newest,
		Leaving:         s.leaving,
		StopSince:       s.stopSince,
		StopAt:          s.stopAt,
		EndsAt:          s.endsAt,
	}
	if server, ok := s.registry.Current(); ok {
		view.Server = server
	}
	return view
}

// mergeMembers applies changes of the members table.
func (s *state) mergeMembers(changes memberChanges) {
	if s.members.merge(changes) {
		s.index = nil
	}
}

// heartbeat processes a report of the local server.
func (s *state) heartbeat(now time.Time, report registration.Report) bool {
	return s.registry.Heartbeat(now, report)
}
