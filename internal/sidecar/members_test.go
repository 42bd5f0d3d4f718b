package sidecar

import (
	"fmt"
	"maps"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func rowOf(id string, version uint64) memberRow {
	return memberRow{Member: Member{ID: id, Addr: fmt.Sprintf("addr-%d", version)}, Version: version}
}

// A few nodes of each data centre watch the members table of the store. The others receive its
// changes from them in any order, late, repeatedly, and partly from the store itself. Whatever
// path the changes take, a node that has received all of them has the same list as the store.
func TestMembersConvergeWhateverPathChangesTake(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, version := newMemberTable(), uint64(1)
		store.merge(memberChanges{Version: 1, Complete: true})
		nodes := []*memberTable{newMemberTable(), newMemberTable(), newMemberTable()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				version++
				row := rowOf(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "member")), version)
				row.Removed = rapid.Bool().Draw(t, "removed")
				store.merge(memberChanges{Version: version, Rows: []memberRow{row}})
			case 1:
				node.merge(store.since(node.version))
			case 2:
				node.merge(memberChanges{Version: store.version, Complete: true, Rows: store.since(0).Rows})
			case 3:
				other := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "other")]
				if other.version > 0 {
					// A response to an outdated request is valid, too.
					node.merge(other.since(uint64(rapid.IntRange(0, int(node.version)).Draw(t, "since"))))
				}
			}
			if node.version == store.version && !maps.Equal(node.members(), store.members()) {
				t.Fatalf("at version %d: %v, the store has %v", node.version, node.members(), store.members())
			}
		}
		for i, node := range nodes {
			node.merge(store.since(node.version))
			if !maps.Equal(node.members(), store.members()) {
				t.Fatalf("node %d: %v, the store has %v", i, node.members(), store.members())
			}
		}
	})
}

func TestOldestRemovalsAreDropped(t *testing.T) {
	g := NewWithT(t)
	table := newMemberTable()
	table.merge(memberChanges{Version: 1, Complete: true, Rows: []memberRow{rowOf("stays", 1)}})
	for i := range 3 * maxRemoved {
		row := rowOf(fmt.Sprint(i), uint64(i+2))
		row.Removed = true
		table.merge(memberChanges{Version: row.Version, Rows: []memberRow{row}})
	}
	g.Expect(table.rows).To(HaveLen(maxRemoved + 1))
	g.Expect(table.since(table.version).Rows).To(BeEmpty())
	g.Expect(table.since(2).Complete).To(BeTrue(), "a node that may lack dropped removals gets the whole list")
	g.Expect(table.since(2).Rows).To(HaveLen(1))
}

func TestStateRequestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	want := stateRequest{configuration: true, members: true, since: 1 << 40, anySize: true}
	g.Expect(decodeStateRequest(want.encode())).To(Equal(want))
	g.Expect(decodeStateRequest("all")).To(Equal(stateRequest{}))
}

// Guards against overloading narrow links: with a configuration of thousands of routes, all nodes
// of a data centre would fetch it from the few nodes that have it, over links of 10 Mbit/s.
func TestLargeConfigurationsComeFromTheStore(t *testing.T) {
	g := NewWithT(t)
	control := NewControlLoop(Member{ID: "a"}, func(_, _ *View) {})
	control.apply(func(s *state) { s.document = make([]byte, maxPeerDocument+1) })
	reply, err := control.stateFor(t.Context(), stateRequest{configuration: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Document).To(BeEmpty())
	g.Expect(reply.Large).To(BeTrue())
	reply, err = control.stateFor(t.Context(), stateRequest{configuration: true, anySize: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Document).To(HaveLen(maxPeerDocument + 1))
}
