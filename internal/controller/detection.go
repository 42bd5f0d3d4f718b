package controller

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/detect"
	"github.com/tarragonford/tarragonford/internal/fleet"
)

const (
	// eventQueueLength bounds the events between two ticks: 100 ms of 40,000
	// requests/s, more than the whole fleet's peak. It takes about 1 MB.
	eventQueueLength = 8192
	// baselineInterval is the time between two looks at the peers' summaries.
	baselineInterval = 500 * time.Millisecond
	// pauseThreshold is the gap between ticks after which this process counts
	// as paused, and the ages of its running requests as unknown.
	pauseThreshold = 3 * blackboard.TickInterval
)

// Subject says what a transition is about.
type Subject string

// The subjects.
const (
	SubjectServer Subject = "server"
	SubjectPath   Subject = "path"
)

// DetectionOptions configure a Detection.
type DetectionOptions struct {
	// Rand spreads hold times; nil leaves them exact.
	Rand *rand.Rand
	// OnTransition is called on the control goroutine for each change of
	// state; it must not block. Nil ignores them.
	OnTransition func(Subject, detect.Transition)
}

// Detection judges the attached servers by the requests this node dispatched
// to them, and the paths to host nodes by those it sent as an entry. It writes
// Health, HealthSince, EjectionAskedAt and Observed of the attached servers and
// the flag of broken paths.
type Detection struct {
	options DetectionOptions
	servers *detect.Detector
	paths   *detect.Detector
	events  chan detect.Event
	dropped atomic.Uint64
	// seenDropped is the value of dropped at the last step.
	seenDropped uint64
	baselineAt  time.Time
	peers       []fleet.Observed
}

// NewDetection returns the controller.
func NewDetection(options DetectionOptions) *Detection {
	return &Detection{
		options: options,
		servers: detect.New(detect.ServerParams(), options.Rand),
		paths:   detect.New(detect.PathParams(), options.Rand),
		events:  make(chan detect.Event, eventQueueLength),
	}
}

// Name implements blackboard.Controller.
func (d *Detection) Name() string { return "detection" }

// Emit implements detect.Sink. An event whose target is an attached server is
// about that server; one whose target is another node is about the path there.
func (d *Detection) Emit(e detect.Event) {
	select {
	case d.events <- e:
	default:
		d.dropped.Add(1)
	}
}

// Dropped returns the number of events that did not fit.
func (d *Detection) Dropped() uint64 { return d.dropped.Load() }

// Step implements blackboard.Controller.
func (d *Detection) Step(now time.Time, e *blackboard.Entries) {
	if e.TickGap > pauseThreshold {
		d.servers.MarkResumed(now)
		d.paths.MarkResumed(now)
	}
	d.setServers(e)
	if !now.Before(d.baselineAt) {
		d.baselineAt = now.Add(baselineInterval)
		d.setBaselines(e)
		d.forgetPaths(e)
	}
	d.drain(e)
	d.forgetAfterLoss()
	d.apply(e, d.servers.Tick(now))
	d.applyPaths(e, d.paths.Tick(now))
}

// drain takes the events that were queued when it began; those that arrive
// meanwhile wait for the next step.
func (d *Detection) drain(e *blackboard.Entries) {
	for range len(d.events) {
		event := <-d.events
		if _, attached := e.Self().Server(event.Target); attached {
			d.servers.Observe(event)
			continue
		}
		d.observePath(event, e)
	}
}

func (d *Detection) observePath(event detect.Event, e *blackboard.Entries) {
	if _, known := e.Node(event.Target); !known || event.Target == e.Self().ID {
		return
	}
	d.servers.ObservePeer(event)
	event.Service = ""
	d.paths.SetTarget(detect.Target{ID: event.Target, Costs: detect.PresetCosts(detect.PresetTrust)})
	d.paths.ObservePeer(event)
	d.paths.Observe(event)
}

// forgetAfterLoss drops running requests after events were lost.
func (d *Detection) forgetAfterLoss() {
	if dropped := d.dropped.Load(); dropped != d.seenDropped {
		d.seenDropped = dropped
		d.servers.ForgetRunning()
		d.paths.ForgetRunning()
	}
}

// setServers follows the attached servers. Leaving servers are not judged.
func (d *Detection) setServers(e *blackboard.Entries) {
	self := e.Self()
	for i := range self.Servers {
		server := &self.Servers[i]
		if server.Leaving {
			continue
		}
		d.servers.SetTarget(detect.Target{
			ID:          server.ID,
			Service:     server.Service,
			Costs:       costs(e.Config().Services[server.Service]),
			Incarnation: server.Incarnation,
			WarmUntil:   server.WarmUntil,
		})
	}
	d.servers.EachTarget(func(id string) {
		if server, ok := self.Server(id); !ok || server.Leaving {
			d.servers.Remove(id)
		}
	})
}

// costs returns the detection costs of a service.
func costs(service fleet.Service) detect.Costs {
	if service.LateDetectionCost > 0 && service.FalseEjectionCost > 0 {
		return detect.Costs{LateDetection: service.LateDetectionCost, FalseEjection: service.FalseEjectionCost}
	}
	return detect.PresetCosts(service.Preset)
}

// setBaselines takes over what the peers of each attached server publish.
func (d *Detection) setBaselines(e *blackboard.Entries) {
	for i := range e.Self().Servers {
		server := &e.Self().Servers[i]
		if view, ok := e.Service(server.Service); ok {
			d.servers.SetBaseline(server.ID, d.peerBaseline(e, view, server.ID))
		}
	}
}

func (d *Detection) peerBaseline(e *blackboard.Entries, view *fleet.ServiceView, id string) detect.Baseline {
	d.peers = d.peers[:0]
	for i := range view.Candidates {
		candidate := &view.Candidates[i]
		if candidate.Server.ID != id && isStandard(candidate) && !e.IsDown(candidate.Host.ID) {
			d.peers = append(d.peers, candidate.Server.Observed)
		}
	}
	return detect.PeerBaseline(d.peers)
}

// isStandard tells whether a server is a standard for its peers: it works, is
// warm, and has published a summary.
func isStandard(candidate *fleet.Candidate) bool {
	health := candidate.Server.Health
	working := health == fleet.Healthy || health == fleet.Suspect || health == ""
	return working && candidate.Warmth >= 1 && candidate.Server.Observed.Median > 0
}

// forgetPaths removes nodes that are no longer known, and compares each path
// with the others of this node.
func (d *Detection) forgetPaths(e *blackboard.Entries) {
	d.paths.EachTarget(func(id string) {
		if node, ok := e.Node(id); !ok || node.Left {
			d.paths.Remove(id)
			e.SetPathDown(id, blackboard.PathByTraffic, false)
		}
	})
	d.peers = d.peers[:0]
	d.paths.EachTarget(func(id string) {
		if observed := d.paths.Summary(id); observed.Median > 0 {
			d.peers = append(d.peers, observed)
		}
	})
	baseline := detect.PeerBaseline(d.peers)
	d.paths.EachTarget(func(id string) { d.paths.SetBaseline(id, baseline) })
}

// apply reports changes of state and brings this node's record in line with
// the detector. It compares whole states, so that a record that another
// controller replaced in between is put right.
func (d *Detection) apply(e *blackboard.Entries, transitions []detect.Transition) {
	for _, t := range transitions {
		d.report(SubjectServer, t)
	}
	if !d.differs(e.Self()) {
		return
	}
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		for i := range r.Servers {
			d.write(&r.Servers[i])
		}
		return true
	})
}

// differs tells whether a record of an attached server is out of date.
func (d *Detection) differs(self *fleet.NodeRecord) bool {
	for i := range self.Servers {
		server := self.Servers[i]
		d.write(&server)
		if server != self.Servers[i] {
			return true
		}
	}
	return false
}

// write sets the fields that this controller owns. A server that is ejected
// again before it gave its place back keeps the place and its age.
func (d *Detection) write(server *fleet.ServerRecord) {
	health, since, known := d.servers.Health(server.ID)
	if !known {
		return
	}
	server.Observed = d.servers.Summary(server.ID)
	if server.Health != health {
		server.Health, server.HealthSince = health, since
	}
	if health == fleet.Ejected && server.EjectionRequestedAt.IsZero() {
		server.EjectionRequestedAt = since
	}
}

func (d *Detection) applyPaths(e *blackboard.Entries, transitions []detect.Transition) {
	for _, t := range transitions {
		d.report(SubjectPath, t)
		e.SetPathDown(t.Target, blackboard.PathByTraffic, t.To == fleet.Ejected)
	}
}

func (d *Detection) report(subject Subject, t detect.Transition) {
	if d.options.OnTransition != nil {
		d.options.OnTransition(subject, t)
	}
}
