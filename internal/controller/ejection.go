package controller

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// StandingChange is a change of the share of work of an attached server.
type StandingChange struct {
	Server  string
	Service string
	From    fleet.Standing
	To      fleet.Standing
	At      time.Time
	// Held is set when an asked ejection waits because of the floor, or
	// because it has not settled.
	Held bool
}

// Ejection gives back the places of attached servers in the ejection budget
// and reports what became of the ejections this node asked for.
type Ejection struct {
	onChange  func(StandingChange)
	standings map[string]fleet.Standing
}

// NewEjection returns the controller. onChange is called on the control
// goroutine for each change of standing; it must not block and may be nil.
func NewEjection(onChange func(StandingChange)) *Ejection {
	return &Ejection{onChange: onChange, standings: map[string]fleet.Standing{}}
}

// Name implements blackboard.Controller.
func (c *Ejection) Name() string { return "ejection" }

// Step implements blackboard.Controller.
func (c *Ejection) Step(now time.Time, e *blackboard.Entries) {
	c.releasePlaces(now, e)
	c.reportStandings(now, e)
}

// releasePlaces gives back the place of a server that works again, once every
// node has heard of its return. Given back earlier, another server could take
// it at nodes that know while the first is still set aside at others.
func (c *Ejection) releasePlaces(now time.Time, e *blackboard.Entries) {
	if !anyReleasable(now, e.Self()) {
		return
	}
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		for i := range r.Servers {
			if releasable(now, &r.Servers[i]) {
				r.Servers[i].EjectionRequestedAt = time.Time{}
			}
		}
		return true
	})
}

func anyReleasable(now time.Time, self *fleet.NodeRecord) bool {
	for i := range self.Servers {
		if releasable(now, &self.Servers[i]) {
			return true
		}
	}
	return false
}

func releasable(now time.Time, server *fleet.ServerRecord) bool {
	working := server.Health == fleet.Healthy || server.Health == fleet.Suspect
	return working && eject.HasSettled(now, server.EjectionRequestedAt) &&
		!now.Before(server.HealthSince.Add(eject.SettleTime))
}

// reportStandings compares the standings of attached servers in the last
// snapshot with those reported before.
func (c *Ejection) reportStandings(now time.Time, e *blackboard.Entries) {
	self := e.Self()
	for i := range self.Servers {
		server := &self.Servers[i]
		view, ok := e.Service(server.Service)
		if !ok {
			continue
		}
		for j := range view.Candidates {
			if view.Candidates[j].Server.ID == server.ID {
				c.report(now, server, view.Candidates[j].Standing)
			}
		}
	}
	c.forget(self)
}

func (c *Ejection) report(now time.Time, server *fleet.ServerRecord, standing fleet.Standing) {
	before, known := c.standings[server.ID]
	c.standings[server.ID] = standing
	if c.onChange == nil || standing == before || (!known && standing == fleet.Routable) {
		return
	}
	c.onChange(StandingChange{
		Server:  server.ID,
		Service: server.Service,
		From:    before,
		To:      standing,
		At:      now,
		Held:    server.Health == fleet.Ejected && standing != fleet.SetAside,
	})
}

func (c *Ejection) forget(self *fleet.NodeRecord) {
	if len(c.standings) <= len(self.Servers) {
		return
	}
	for id := range c.standings {
		if _, ok := self.Server(id); !ok {
			delete(c.standings, id)
		}
	}
}
