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
	// eventQueueLength bounds the events queued between two ticks. It covers 100 ms at
	// 40,000 requests/s, more than the peak of the whole fleet, and takes about 1 MB.
	eventQueueLength = 8192
	// baselineInterval is the time between two updates of the baselines from the summaries
	// that peers publish.
	baselineInterval = 500 * time.Millisecond
	// pauseThreshold is the gap between ticks above which this process counts as having been
	// paused. The ages of its running requests are then unknown.
	pauseThreshold = 3 * blackboard.TickInterval
)

// Subject is the kind of target that a transition concerns.
type Subject string

const (
	SubjectServer Subject = "server"
	SubjectPath   Subject = "path"
)

// DetectionOptions configure a Detection.
type DetectionOptions struct {
	// Rand adds jitter to hold times; nil means no jitter.
	Rand *rand.Rand
	// OnTransition, if not nil, is called on the control goroutine for each change of state.
	// It must not block.
	OnTransition func(Subject, detect.Transition)
}

// Detection detects failures of attached servers from the requests this node dispatched to
// them, and of the paths to host nodes from the requests it sent as an entry node. It writes
// Health, HealthSince, EjectionRequestedAt and Observed of the attached servers and marks failed
// paths as down.
type Detection struct {
	options DetectionOptions
	servers *detect.Detector
	paths   *detect.Detector
	events  chan detect.Event
	dropped atomic.Uint64
	// lastDropped is the value of dropped at the previous step.
	lastDropped    uint64
	nextBaselineAt time.Time
	summaries      []fleet.Observed
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

// Emit implements detect.Sink. An event whose target is an attached server concerns that server.
// One whose target is another node concerns the path to that node. Events are dropped while the
// queue is full.
func (d *Detection) Emit(e detect.Event) {
	select {
	case d.events <- e:
	default:
		d.dropped.Add(1)
	}
}

// Dropped returns the number of events dropped because the queue was full.
func (d *Detection) Dropped() uint64 { return d.dropped.Load() }

// Step implements blackboard.Controller.
func (d *Detection) Step(now time.Time, e *blackboard.Entries) {
	if e.TickGap > pauseThreshold {
		d.servers.MarkResumed(now)
		d.paths.MarkResumed(now)
	}
	d.syncServers(e)
	if !now.Before(d.nextBaselineAt) {
		d.nextBaselineAt = now.Add(baselineInterval)
		d.updateBaselines(e)
		d.updatePaths(e)
	}
	d.drainEvents(e)
	d.forgetRunningAfterDrops()
	d.applyServers(e, d.servers.Tick(now))
	d.applyPaths(e, d.paths.Tick(now))
}

// drainEvents processes the events that were queued when it began. Events that arrive meanwhile
// wait for the next step.
func (d *Detection) drainEvents(e *blackboard.Entries) {
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

// forgetRunningAfterDrops discards the running requests if events were dropped since the
// previous step: the end of such a request may never be seen.
func (d *Detection) forgetRunningAfterDrops() {
	if dropped := d.dropped.Load(); dropped != d.lastDropped {
		d.lastDropped = dropped
		d.servers.ForgetRunning()
		d.paths.ForgetRunning()
	}
}

// syncServers makes the detector track the attached servers, except leaving ones.
func (d *Detection) syncServers(e *blackboard.Entries) {
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

// updateBaselines sets the baseline of each attached server from the summaries that the other
// servers of its service publish.
func (d *Detection) updateBaselines(e *blackboard.Entries) {
	for i := range e.Self().Servers {
		server := &e.Self().Servers[i]
		if view, ok := e.Service(server.Service); ok {
			d.servers.SetBaseline(server.ID, d.peerBaseline(e, view, server.ID))
		}
	}
}

func (d *Detection) peerBaseline(e *blackboard.Entries, view *fleet.ServiceView, id string) detect.Baseline {
	d.summaries = d.summaries[:0]
	for i := range view.Candidates {
		candidate := &view.Candidates[i]
		if candidate.Server.ID != id && isReference(candidate) && !e.IsDown(candidate.Host.ID) {
			d.summaries = append(d.summaries, candidate.Server.Observed)
		}
	}
	return detect.PeerBaseline(d.summaries)
}

// isReference reports whether a server counts towards the baseline of its peers: it is healthy
// or suspect, is warm, and has published a summary.
func isReference(candidate *fleet.Candidate) bool {
	health := candidate.Server.Health
	working := health == fleet.Healthy || health == fleet.Suspect || health == ""
	return working && candidate.Warmth >= 1 && candidate.Server.Observed.Median > 0
}

// updatePaths removes the paths to nodes that left or are no longer known, and sets the baseline
// of each path from all paths of this node.
func (d *Detection) updatePaths(e *blackboard.Entries) {
	d.paths.EachTarget(func(id string) {
		if node, ok := e.Node(id); !ok || node.Left {
			d.paths.Remove(id)
			e.SetPathDown(id, blackboard.PathByTraffic, false)
		}
	})
	d.summaries = d.summaries[:0]
	d.paths.EachTarget(func(id string) {
		if observed := d.paths.Summary(id); observed.Median > 0 {
			d.summaries = append(d.summaries, observed)
		}
	})
	baseline := detect.PeerBaseline(d.summaries)
	d.paths.EachTarget(func(id string) { d.paths.SetBaseline(id, baseline) })
}

// applyServers reports changes of state and updates this node's record from the detector. It
// compares complete records instead of applying the transitions, so that it also corrects a
// record that another controller replaced in the meantime.
func (d *Detection) applyServers(e *blackboard.Entries, transitions []detect.Transition) {
	for _, t := range transitions {
		d.report(SubjectServer, t)
	}
	if !d.isOutdated(e.Self()) {
		return
	}
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		for i := range r.Servers {
			d.updateServer(&r.Servers[i])
		}
		return true
	})
}

// isOutdated reports whether the record of any attached server differs from the detector.
func (d *Detection) isOutdated(self *fleet.NodeRecord) bool {
	for i := range self.Servers {
		server := self.Servers[i]
		d.updateServer(&server)
		if server != self.Servers[i] {
			return true
		}
	}
	return false
}

// updateServer sets the fields that this controller owns. A server that is ejected again before
// its reservation in the ejection budget was released keeps the reservation and its age.
func (d *Detection) updateServer(server *fleet.ServerRecord) {
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
