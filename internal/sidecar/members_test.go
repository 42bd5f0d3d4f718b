package sidecar

import (
	"fmt"
	"maps"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func memberOf(id string, version uint64) memberRow {
	return memberRow{Member: Member{ID: id, Addr: fmt.Sprintf("addr-%d", version)}, Version: version}
}

// The pattern: a few nodes of each data centre follow the table of members at the
// store, all others learn its changes from them, in any order, late, twice, and in
// part from the store. However the news come, a node that has heard of everything
// has the list of the store.
func TestMembersAgreeHoweverTheNewsCome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, version := newMemberTable(), uint64(1)
		store.take(memberChanges{Version: 1, Complete: true})
		nodes := []*memberTable{newMemberTable(), newMemberTable(), newMemberTable()}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				version++
				row := memberOf(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "member")), version)
				row.Removed = rapid.Bool().Draw(t, "removed")
				store.take(memberChanges{Version: version, Rows: []memberRow{row}})
			case 1:
				node.take(store.since(node.version))
			case 2:
				node.take(memberChanges{Version: store.version, Complete: true, Rows: store.since(0).Rows})
			case 3:
				other := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "other")]
				if other.version > 0 {
					// An answer to an older question is as good.
					node.take(other.since(uint64(rapid.IntRange(0, int(node.version)).Draw(t, "since"))))
				}
			}
			if node.version == store.version && !maps.Equal(node.members(), store.members()) {
				t.Fatalf("at version %d: %v, the store has %v", node.version, node.members(), store.members())
			}
		}
		for i, node := range nodes {
			node.take(store.since(node.version))
			if !maps.Equal(node.members(), store.members()) {
				t.Fatalf("node %d: %v, the store has %v", i, node.members(), store.members())
			}
		}
	})
}

func TestRemovalsAreForgottenInTheEnd(t *testing.T) {
	g := NewWithT(t)
	table := newMemberTable()
	table.take(memberChanges{Version: 1, Complete: true, Rows: []memberRow{memberOf("stays", 1)}})
	for i := range 3 * maxRemoved {
		row := memberOf(fmt.Sprint(i), uint64(i+2))
		row.Removed = true
		table.take(memberChanges{Version: row.Version, Rows: []memberRow{row}})
	}
	g.Expect(table.rows).To(HaveLen(maxRemoved + 1))
	g.Expect(table.since(table.version).Rows).To(BeEmpty())
	g.Expect(table.since(2).Complete).To(BeTrue(), "a node that may lack forgotten removals gets the whole list")
	g.Expect(table.since(2).Rows).To(HaveLen(1))
}

func TestWhatANodeWantsSurvivesAHop(t *testing.T) {
	g := NewWithT(t)
	want := stateWanted{configuration: true, members: true, since: 1 << 40, large: true}
	g.Expect(decodeStateWanted(want.encode())).To(Equal(want))
	g.Expect(decodeStateWanted("all")).To(Equal(stateWanted{}))
}

// The pattern: a configuration of thousands of routes, and a data centre whose nodes
// all ask the few that have it, over links of 10 Mbit/s.
func TestLargeConfigurationsComeFromTheStore(t *testing.T) {
	g := NewWithT(t)
	b := NewBoard(Member{ID: "a"}, func(_, _ *View) {})
	b.apply(func(s *state) { s.document = make([]byte, maxPeerDocument+1) })
	told, err := b.stateFor(t.Context(), stateWanted{configuration: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(told.Document).To(BeEmpty())
	g.Expect(told.Large).To(BeTrue())
	told, err = b.stateFor(t.Context(), stateWanted{configuration: true, large: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(told.Document).To(HaveLen(maxPeerDocument + 1))
}
