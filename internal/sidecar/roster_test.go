package sidecar

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/beacon"
	"github.com/tarragonford/tarragonford/internal/registration"
)

// fleetOf returns a node and the list of all nodes, spread over five data centres.
func fleetOf(nodes int) (Member, map[string]Member) {
	members := map[string]Member{}
	for i := range nodes {
		m := Member{
			ID: fmt.Sprintf("node-%d", i), Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Beacon: fmt.Sprintf("10.0.%d.%d:90", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%5), Region: "r", Service: fmt.Sprintf("service-%d", i%3),
		}
		members[m.ID] = m
	}
	return members["node-0"], members
}

func controlLoopOf(self Member, members map[string]Member) *ControlLoop {
	control := NewControlLoop(self, func(_, _ *View) {})
	list := memberChanges{Revision: revisionOf(1), Complete: true}
	for _, member := range members {
		list.Rows = append(list.Rows, memberRow{Member: member, Revision: revisionOf(1)})
	}
	control.apply(func(s *state) { s.mergeMembers(list) })
	return control
}

func TestMemberIndexListsEachNodeOnce(t *testing.T) {
	g := NewWithT(t)
	self, members := fleetOf(233)
	odd := members["node-7"]
	odd.Beacon = "nowhere"
	members["node-7"] = odd
	r := newMemberIndex(self, members)
	g.Expect(r.Members).To(HaveLen(233))
	g.Expect(r.localPeers).To(HaveLen(46), "the other nodes of the data centre")
	g.Expect(r.localKeys).To(HaveLen(47))
	g.Expect(r.remotePeers).To(HaveLen(4))
	candidates := 0
	for _, pool := range r.Services {
		candidates += len(pool.Candidates)
	}
	g.Expect(candidates).To(Equal(233))
	g.Expect(r.invalidBeaconAddrs).To(ConsistOf("node-7"))
}

// With 233 nodes, a heartbeat of the local server every 1.5 s, and few membership changes, the
// cost of a heartbeat must not depend on the number of nodes.
func TestHeartbeatDoesNotRebuildMemberIndex(t *testing.T) {
	g := NewWithT(t)
	self, members := fleetOf(233)
	control := controlLoopOf(self, members)
	before := control.View().MemberIndex
	heartbeat := func(sequence uint64) {
		control.apply(func(s *state) {
			s.heartbeat(time.Now(), registration.Report{ID: "i-1", StartedMs: 1, Sequence: sequence, Service: self.Service, Addr: "a", Slots: 6})
		})
	}
	heartbeat(1)
	g.Expect(control.View().Server.ID).To(Equal("i-1"))
	g.Expect(control.View().MemberIndex).To(BeIdenticalTo(before))
	sequence := uint64(1)
	g.Expect(testing.AllocsPerRun(100, func() { sequence++; heartbeat(sequence) })).To(BeNumerically("<", 10))

	control.apply(func(s *state) {
		s.mergeMembers(memberChanges{Revision: revisionOf(2), Rows: []memberRow{
			{Member: Member{ID: "node-9"}, Revision: revisionOf(2), Removed: true}, {Member: self, Revision: revisionOf(2), Removed: true},
		}})
	})
	g.Expect(control.View().Members).To(HaveLen(232))
	g.Expect(control.View().Members).To(HaveKey(self.ID), "the local node stays")
	g.Expect(before.Members).To(HaveLen(233), "an earlier view does not change")
}

// In data centres of 3 to 100 nodes whose loads change all the time, the datagrams that a node
// sends for load changes must not grow with the data centre.
func TestLoadBeaconRateIsBounded(t *testing.T) {
	g := NewWithT(t)
	for _, peerCount := range []int{2, 6, 10, 22, 46, 99} {
		perSecond := float64(peerCount) / localInterval(peerCount).Seconds()
		g.Expect(perSecond).To(BeNumerically("<=", localRate+1), "%d other nodes", peerCount)
	}
	g.Expect(localInterval(6)).To(Equal(minInterval))
}

// Nodes whose servers have left keep sending the same report. If it became stale between two
// beacons, entry nodes would try these nodes for lack of information.
func TestReportsAreRefreshedBeforeTheyAreStale(t *testing.T) {
	g := NewWithT(t)
	last := time.Now()
	for _, peerCount := range []int{2, 6, 22, 46, 99, 499} {
		for _, changed := range []bool{false, true} {
			due := localDue(last, peerCount, changed).Add(minInterval)
			g.Expect(due.Sub(last)).To(BeNumerically("<", beacon.MaxAge), "%d other nodes", peerCount)
		}
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	for _, nodes := range []int{21, 98, 233, 500} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			self, members := fleetOf(nodes)
			control := controlLoopOf(self, members)
			for i := 0; b.Loop(); i++ {
				control.apply(func(s *state) {
					s.heartbeat(time.Now(), registration.Report{ID: "i-1", StartedMs: 1, Sequence: uint64(i + 1), Service: self.Service, Addr: "a", Slots: 6})
				})
			}
		})
	}
}
