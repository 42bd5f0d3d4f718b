package controller

import (
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/eject"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

// StandingChange is a change of the standing of an attached server, that is, of its share of the
// requests.
type StandingChange struct {
	Server  string
	Service string
	From    fleet.Standing
	To      fleet.Standing
	At      time.Time
	// Held is set while a requested ejection is held back by the floor, or because it has not
	// settled yet.
	Held bool
}

// Ejection releases the reservations of attached servers in the ejection budget and reports the
// outcome of the ejections that this node requested.
type Ejection struct {
	onChange  func(StandingChange)
	standings map[string]fleet.Standing
}

// NewEjection returns the controller. onChange, if not nil, is called on the control goroutine
// for each change of standing. It must not block.
func NewEjection(onChange func(StandingChange)) *Ejection {
	return &Ejection{onChange: onChange, standings: map[string]fleet.Standing{}}
}

// Name implements blackboard.Controller.
func (c *Ejection) Name() string { return "ejection" }

// Step implements blackboard.Controller.
func (c *Ejection) Step(now time.Time, e *blackboard.Entries) {
	c.releaseReservations(now, e)
	c.reportStandings(now, e)
}

// releaseReservations releases the reservation of a server that works again, once every node has
// learned of its return. If it were released earlier, nodes that know of the return could grant
// it to another server while the first is still set aside at others.
func (c *Ejection) releaseReservations(now time.Time, e *blackboard.Entries) {
	if !anyReleasable(now, e.Self()) {
		return
	}
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		for i := range r.Servers {
			if isReleasable(now, &r.Servers[i]) {
				r.Servers[i].EjectionRequestedAt = time.Time{}
			}
		}
		return true
	})
}

func anyReleasable(now time.Time, self *fleet.NodeRecord) bool {
	for i := range self.Servers {
		if isReleasable(now, &self.Servers[i]) {
			return true
		}
	}
	return false
}

func isReleasable(now time.Time, server *fleet.ServerRecord) bool {
	working := server.Health == fleet.Healthy || server.Health == fleet.Suspect
	return working && eject.HasSettled(now, server.EjectionRequestedAt) &&
		!now.Before(server.HealthSince.Add(eject.SettleTime))
}

// reportStandings reports the attached servers whose standing in the last snapshot differs from
// the one reported before.
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
	c.forgetDetached(self)
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

func (c *Ejection) forgetDetached(self *fleet.NodeRecord) {
	if len(c.standings) <= len(self.Servers) {
		return
	}
	for id := range c.standings {
		if _, ok := self.Server(id); !ok {
			delete(c.standings, id)
		}
	}
}
