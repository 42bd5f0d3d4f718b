package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonford/tarragonford/api"
)

// plannedStop is one graceful stop of a server or of a node.
type plannedStop struct {
	instance *instance
	node     bool
	from, to time.Time
	// clean is false if another fault hit the process meanwhile, or if the
	// process had to be killed in the end.
	clean bool
}

// stopList collects the planned stops of a run.
type stopList struct {
	mu    sync.Mutex
	stops []*plannedStop
}

func (l *stopList) add(s *plannedStop) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stops = append(l.stops, s)
}

// all returns the stops of servers or of nodes.
func (l *stopList) all(node bool) []*plannedStop {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []*plannedStop
	for _, s := range l.stops {
		if s.node == node {
			found = append(found, s)
		}
	}
	return found
}

// startLinked starts the fleet with relays in front of some instances, and of
// the platform for every second node.
func (f *fleet) startLinked(linked []int) error {
	if err := f.assignPorts(); err != nil {
		return err
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	var err error
	if f.platformLink, err = f.startLink("platform", f.platformURL[len("http://"):]); err != nil {
		return err
	}
	for _, n := range linked {
		if err := f.linkInstance(f.instances[n]); err != nil {
			return err
		}
	}
	return f.startInstances()
}

func (f *fleet) linkInstance(i *instance) error {
	var err error
	if i.controlLink, err = f.startLink(i.id+"-control", i.addr(listenControl)); err != nil {
		return err
	}
	if i.trafficLink, err = f.startLink(i.id+"-traffic", i.addr(listenTraffic)); err != nil {
		return err
	}
	i.serverLink, err = f.startLink(i.server, fmt.Sprintf("127.0.0.1:%d", i.serverPort))
	return err
}

// carryOut applies one fault, waits, and heals it. Errors of healing do not
// matter when another fault has hit the same process meanwhile.
func (f *fleet) carryOut(e event, stops *stopList) {
	i := f.instances[e.target]
	switch e.action {
	case killNode:
		f.replaceNode(i, e.length, func(p *process) bool { p.kill(); return true })
	case killServer:
		f.replaceServer(i, e.length, func(p *process) bool { p.kill(); return true })
	case freezeNode:
		f.freeze(i, true, e.length)
	case freezeServer:
		f.freeze(i, false, e.length)
	case cutNode:
		f.cutFor(e, i.controlLink, i.trafficLink)
	case cutServer:
		f.cutFor(e, i.serverLink)
	case cutPlatform:
		f.cutFor(e, f.platformLink)
	case platformFault:
		_ = post(f.platformURL+"/faults", e.detail)
		time.Sleep(e.length)
		_ = post(f.platformURL+"/faults", "{}")
	case grayServer:
		_ = f.setFaults(i, e.detail)
		time.Sleep(e.length)
		_ = f.setFaults(i, "{}")
	case stopServer, stopNode:
		f.plannedStop(i, e, stops)
	case raceOperators:
		f.race(i)
	case withdrawAndBack:
		f.withdrawFor(i, e.length)
	}
}

func (f *fleet) cutFor(e event, links ...*link) {
	for _, l := range links {
		_ = l.cut(e.detail)
	}
	time.Sleep(e.length)
	for _, l := range links {
		_ = l.cut("none")
	}
}

// replaceNode ends the node of an instance and starts a new one after a pause.
// One instance is replaced by one fault at a time.
func (f *fleet) replaceNode(i *instance, pause time.Duration, end func(*process) bool) bool {
	if !i.nodeBusy.TryLock() {
		return false
	}
	defer i.nodeBusy.Unlock()
	i.mu.Lock()
	p := i.node
	i.nodeHits++
	i.mu.Unlock()
	clean := end(p)
	time.Sleep(pause / 2)
	if err := f.startNode(i); err != nil {
		fmt.Println("restart of", i.id, "failed:", err)
	}
	return clean
}

func (f *fleet) replaceServer(i *instance, pause time.Duration, end func(*process) bool) bool {
	if !i.serverBusy.TryLock() {
		return false
	}
	defer i.serverBusy.Unlock()
	i.mu.Lock()
	p := i.backend
	i.serverHits++
	i.mu.Unlock()
	clean := end(p)
	time.Sleep(pause / 2)
	if err := f.startServer(i); err != nil {
		fmt.Println("restart of", i.server, "failed:", err)
	}
	return clean
}

// freeze stops a process and lets it go on after a while.
func (f *fleet) freeze(i *instance, node bool, length time.Duration) {
	i.mu.Lock()
	p := i.backend
	i.serverHits++
	if node {
		p = i.node
		i.nodeHits++
		i.serverHits--
	}
	i.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(length)
	p.signal(syscall.SIGCONT)
}

// plannedStop stops a server or a node gracefully and starts it anew.
func (f *fleet) plannedStop(i *instance, e event, stops *stopList) {
	stop := &plannedStop{instance: i, node: e.action == stopNode, from: time.Now()}
	before := i.hits(stop.node)
	end := func(p *process) bool {
		stop.from = time.Now()
		p.signal(syscall.SIGTERM)
		if p.wait(45 * time.Second) {
			return true
		}
		p.kill()
		return false
	}
	replace := f.replaceServer
	if stop.node {
		replace = f.replaceNode
	}
	if stopped := replace(i, e.length, func(p *process) bool {
		ended := end(p)
		stop.to = time.Now()
		stop.clean = ended && i.hits(stop.node) == before+1
		return ended
	}); !stopped && stop.to.IsZero() {
		return
	}
	stops.add(stop)
}

// race lets two operators withdraw two servers of one service at once. Which
// of them wins does not matter; both servers are returned in the end.
func (f *fleet) race(i *instance) {
	others := f.instancesOf(i.service)
	pair := []*instance{i, others[(i.index+1)%len(others)]}
	var wait sync.WaitGroup
	for _, one := range pair {
		wait.Go(func() {
			if in, err := f.planWithdrawal(one.server); err == nil {
				_ = f.accept(in)
			}
		})
	}
	wait.Wait()
	for _, one := range pair {
		f.giveBack(one.server)
	}
}

func (f *fleet) withdrawFor(i *instance, length time.Duration) {
	in, err := f.planWithdrawal(i.server)
	if err != nil || f.accept(in) != nil {
		return
	}
	time.Sleep(length)
	f.giveBack(i.server)
}

// giveBack returns a withdrawn server. It fails while the platform is down, so
// it is tried until the run ends; a server that was not withdrawn is refused.
func (f *fleet) giveBack(server string) {
	for range 10 {
		var in api.Intent
		if f.ctl(f.deployment.operator, &in, "intent", "return", "server", server, "--reason", "harness") == nil &&
			f.accept(in) == nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}
