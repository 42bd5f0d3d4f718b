package registration

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func report(id string, startedMs int64, sequence uint64) Report {
	return Report{ID: id, StartedMs: startedMs, Sequence: sequence, Service: "measures", Addr: "10.0.0.1:80", Slots: 6}
}

func leaving(r Report) Report {
	r.Leaving = true
	return r
}

func TestNoReportCancelsADeparture(t *testing.T) {
	g := NewWithT(t)
	r := New("measures")
	r.Heartbeat(start, leaving(report("a", 100, 5)))
	r.Heartbeat(start, report("a", 100, 4))
	r.Heartbeat(start, report("a", 100, 6))
	server, _ := r.Current()
	g.Expect(server.Leaving).To(BeTrue())
}

func TestADeregisteredServerStaysDeparted(t *testing.T) {
	g := NewWithT(t)
	r := New("measures")
	r.Heartbeat(start, report("a", 100, 5))
	r.Deregister(start, "a", 0)
	r.Heartbeat(start, report("a", 100, 6))
	server, _ := r.Current()
	g.Expect(server.Leaving).To(BeTrue())
}

// Guards against a heartbeat that a partition delayed until its sender had crashed and another
// server had taken the address.
func TestAReportOfADeadIncarnationIsIgnored(t *testing.T) {
	g := NewWithT(t)
	r := New("measures")
	r.Heartbeat(start, report("new", 200, 1))
	g.Expect(r.Heartbeat(start, report("old", 100, 9))).To(BeTrue(), "acknowledged, so that it is not sent again")
	server, _ := r.Current()
	g.Expect(server.ID).To(Equal("new"))
}

func TestAServerMayStartAgainUnderItsID(t *testing.T) {
	g := NewWithT(t)
	r := New("measures")
	r.Heartbeat(start, leaving(report("a", 100, 50)))
	r.Heartbeat(start, report("a", 200, 1))
	server, _ := r.Current()
	g.Expect(server.Leaving).To(BeFalse())
	g.Expect(server.StartedMs).To(Equal(int64(200)))
}

// A restarted node learns from its store which servers left before.
func TestARestoredDepartureIsFinal(t *testing.T) {
	g := NewWithT(t)
	for _, restoreFirst := range []bool{true, false} {
		r := New("measures")
		if restoreFirst {
			r.RestoreDeparture(Incarnation{ID: "a", StartedMs: 100})
		}
		r.Heartbeat(start, report("a", 100, 4))
		if !restoreFirst {
			r.RestoreDeparture(Incarnation{ID: "a", StartedMs: 100})
		}
		server, _ := r.Current()
		g.Expect(server.Leaving).To(BeTrue())
	}
}

func TestInvalidReportsAreRefused(t *testing.T) {
	g := NewWithT(t)
	r := New("measures")
	other := report("a", 100, 1)
	other.Service = "bookings"
	noSlots := report("a", 100, 1)
	noSlots.Slots = 0
	noAddr := report("a", 100, 1)
	noAddr.Addr = ""
	for _, bad := range []Report{other, noSlots, noAddr} {
		g.Expect(r.Heartbeat(start, bad)).To(BeFalse())
	}
	_, known := r.Current()
	g.Expect(known).To(BeFalse())
}

// The clock of an instance may step, so start times do not order the incarnations. In any order of
// reports: a server that left gets no requests; after a departure, its ID gets none before an
// incarnation that did not leave reports; and a server is in use after two reports in a row.
func TestAnyOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New("measures")
		departed := map[Incarnation]bool{}
		lastSequence := map[Incarnation]uint64{}
		var previous Incarnation
		// contested is the ID whose last news is a departure.
		contested := ""
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
			incarnation := Incarnation{ID: id, StartedMs: int64(rapid.IntRange(1, 3).Draw(t, "born"))}
			sequence := uint64(rapid.IntRange(1, 20).Draw(t, "sequence"))
			next := report(id, incarnation.StartedMs, sequence)
			before, sequenceBefore := r.current.Incarnation, r.sequence
			switch rapid.IntRange(0, 9).Draw(t, "leave") {
			case 0:
				next = leaving(next)
				r.Heartbeat(start, next)
				server, _ := r.Current()
				if server.Incarnation != incarnation || before != incarnation || sequence > sequenceBefore {
					departed[incarnation] = true
					contested = id
				}
			case 1:
				r.Deregister(start, id, incarnation.StartedMs)
				departed[incarnation] = true
				contested = id
			default:
				r.Heartbeat(start, next)
				server, _ := r.Current()
				inOrder := sequence > lastSequence[incarnation]
				if inOrder && previous == incarnation && !departed[incarnation] &&
					(server.Incarnation != incarnation || server.Leaving || server.Unconfirmed) {
					t.Fatalf("%v reports and is not in use: %+v", incarnation, server)
				}
				taken := server.Incarnation == incarnation && (before != incarnation || sequence > sequenceBefore)
				if taken && id == contested && !departed[incarnation] {
					contested = ""
				}
			}
			if sequence > lastSequence[incarnation] {
				lastSequence[incarnation], previous = sequence, incarnation
			} else {
				previous = Incarnation{}
			}
			server, known := r.Current()
			if known && !server.Leaving && !server.Unconfirmed && (departed[server.Incarnation] || server.ID == contested) {
				t.Fatalf("%+v is in use; departed: %v, last departure of ID %q", server, departed, contested)
			}
		}
	})
}

// Guards against a server whose clock stepped back before its restart: its reports were taken for
// those of a dead incarnation, and its departure was acknowledged without effect (review, case 4).
func TestAServerWithAnEarlierStartTimeThanTheLastOne(t *testing.T) {
	for _, id := range []string{"a", "b"} {
		g := NewWithT(t)
		r := New("measures")
		r.Heartbeat(start, report("a", 3000, 7))
		r.Heartbeat(start, report(id, 1000, 1))
		r.Heartbeat(start, report(id, 1000, 2))
		server, _ := r.Current()
		g.Expect(server.Incarnation).To(Equal(Incarnation{ID: id, StartedMs: 1000}))
		g.Expect(server.Unconfirmed || server.Leaving).To(BeFalse())
		r.Heartbeat(start, leaving(report(id, 1000, 3)))
		server, _ = r.Current()
		g.Expect(server.Leaving).To(BeTrue())
	}
}

// The same, but the departure is the first or second that the node hears of that server.
func TestADepartureWithAnEarlierStartTimeTakesEffect(t *testing.T) {
	for _, leave := range []func(r *Registry){
		func(r *Registry) { r.Heartbeat(start, leaving(report("a", 1000, 2))) },
		func(r *Registry) { r.Deregister(start, "a", 1000) },
	} {
		g := NewWithT(t)
		r := New("measures")
		r.Heartbeat(start, report("a", 3000, 7))
		leave(r)
		server, _ := r.Current()
		g.Expect(server.Unconfirmed || server.Leaving).To(BeTrue())
		r.Heartbeat(start, report("a", 1000, 3))
		r.Heartbeat(start, report("a", 1000, 4))
		server, _ = r.Current()
		g.Expect(server.Unconfirmed || server.Leaving).To(BeTrue())
	}
}

// Guards against a live server that is kept out of use by the late departure of a dead one with its
// ID.
func TestALateDepartureDoesNotKeepALiveServerOut(t *testing.T) {
	g := NewWithT(t)
	r := New("measures")
	r.Heartbeat(start, report("a", 2000, 1))
	r.Heartbeat(start, leaving(report("a", 1000, 40)))
	r.Heartbeat(start, report("a", 2000, 2))
	server, _ := r.Current()
	g.Expect(server.Incarnation).To(Equal(Incarnation{ID: "a", StartedMs: 2000}))
	g.Expect(server.Unconfirmed || server.Leaving).To(BeFalse())
}

// A process restarts while the store is unavailable, so it does not know which servers left. A
// delayed report of a server that has left must not bring it into use; a server that goes on
// reporting has not left.
func TestOneReportIsNotEnoughWhileDeparturesAreUnknown(t *testing.T) {
	g := NewWithT(t)
	r := New("measures")
	r.AwaitDepartures()
	report := func(sequence uint64) Server {
		r.Heartbeat(start, Report{ID: "a", StartedMs: 1, Sequence: sequence, Service: "measures", Addr: "x", Slots: 6})
		server, _ := r.Current()
		return server
	}
	g.Expect(report(7).Unconfirmed).To(BeTrue())
	g.Expect(report(7).Unconfirmed).To(BeTrue(), "the same report again")
	g.Expect(report(6).Unconfirmed).To(BeTrue(), "an older one")
	g.Expect(report(8).Unconfirmed).To(BeFalse())

	r = New("measures")
	r.AwaitDepartures()
	g.Expect(report(7).Unconfirmed).To(BeTrue())
	r.RestoreDeparture(Incarnation{ID: "a", StartedMs: 1})
	r.DeparturesLoaded()
	server, _ := r.Current()
	g.Expect(server.Unconfirmed).To(BeFalse())
	g.Expect(server.Leaving).To(BeTrue())
}

// Guards against an adopted server whose first report or departure is taken for that of another one.
func TestAnAdoptedServerIsTheOneThatReportsNext(t *testing.T) {
	g := NewWithT(t)
	r := New("measures")
	g.Expect(r.Adopt(start, "a", "10.0.0.1:80", 6)).To(BeTrue())
	g.Expect(r.Adopt(start, "b", "10.0.0.1:80", 6)).To(BeFalse())
	adopted, _ := r.Current()
	r.Heartbeat(start, report("a", 100, 5))
	server, _ := r.Current()
	g.Expect(adopted.Matches(server.Incarnation)).To(BeTrue())

	for _, depart := range []func(r *Registry){
		func(r *Registry) { r.Deregister(start, "a", 100) },
		func(r *Registry) { r.RestoreDeparture(Incarnation{ID: "a", StartedMs: 100}) },
		func(r *Registry) { r.Heartbeat(start, leaving(report("a", 100, 5))) },
	} {
		r = New("measures")
		r.Adopt(start, "a", "10.0.0.1:80", 6)
		depart(r)
		server, _ = r.Current()
		g.Expect(server.Leaving).To(BeTrue())
		r = New("measures")
		depart(r)
		g.Expect(r.Adopt(start, "a", "10.0.0.1:80", 6)).To(BeFalse())
	}
}

// bornBefore and bornAfter are start times before and after the time at which the tests record departures.
var bornBefore, bornAfter = start.UnixMilli() - 5000, start.UnixMilli() + 1

// withoutStartTime are the ways in which a node records the departure of a server whose start time it does not know,
// with the reports that the server may have sent before.
var withoutStartTime = map[string]func(r *Registry){
	"no report yet": func(r *Registry) { r.Deregister(start, "a", 0) },
	"adopted": func(r *Registry) {
		r.Adopt(start, "a", "10.0.0.1:80", 6)
		r.Deregister(start, "a", 0)
	},
	"adopted, says in an answer that it leaves": func(r *Registry) {
		r.Adopt(start, "a", "10.0.0.1:80", 6)
		server, _ := r.Current()
		r.MarkDeparted(server.Incarnation)
	},
	"another server reports": func(r *Registry) {
		r.Heartbeat(start, report("b", bornBefore-1000, 3))
		r.Deregister(start, "a", 0)
	},
	"restored":     func(r *Registry) { r.RestoreDeparture(Incarnation{ID: "a", StartedByMs: start.UnixMilli()}) },
	"called twice": func(r *Registry) { r.Deregister(start.Add(-time.Second), "a", 0); r.Deregister(start, "a", 0) },
	"late restored": func(r *Registry) {
		r.Heartbeat(start, report("a", bornBefore, 1))
		r.RestoreDeparture(Incarnation{ID: "a", StartedByMs: start.UnixMilli()})
	},
}

// Guards against late reports that bring a server back into use whose departure was acknowledged before the node knew
// its start time, as after a restart of the node (review, case 7).
func TestALateReportDoesNotUndoADepartureWithoutAStartTime(t *testing.T) {
	for name, depart := range withoutStartTime {
		g := NewWithT(t)
		r := New("measures")
		depart(r)
		for sequence := uint64(7); sequence < 10; sequence++ {
			g.Expect(r.Heartbeat(start.Add(3*time.Second), report("a", bornBefore, sequence))).To(BeTrue())
			server, _ := r.Current()
			g.Expect(server.ID == "a" && !server.Leaving).To(BeFalse(), "%s: %+v", name, server)
		}
	}
}

// Guards against a server that is kept out of use after a restart under its ID, because a departure of its previous life
// was recorded without a start time.
func TestANewLifeIsUsedAtOnceAfterADepartureWithoutAStartTime(t *testing.T) {
	for name, depart := range withoutStartTime {
		g := NewWithT(t)
		r := New("measures")
		depart(r)
		r.Heartbeat(start.Add(3*time.Second), report("a", bornAfter, 1))
		server, _ := r.Current()
		g.Expect(server.Incarnation).To(Equal(Incarnation{ID: "a", StartedMs: bornAfter}), name)
		g.Expect(server.Leaving || server.Unconfirmed).To(BeFalse(), name)
		r.Heartbeat(start.Add(3*time.Second), report("a", bornBefore, 9))
		server, _ = r.Current()
		g.Expect(server.StartedMs).To(Equal(bornAfter), "%s: a late report of the life before", name)
	}
}

// Guards against an answer that announces the departure of a server and has no effect, because a report has told the
// start time of the server since the request was sent.
func TestADepartureTakesEffectAfterTheStartTimeBecameKnown(t *testing.T) {
	g := NewWithT(t)
	r := New("measures")
	r.Adopt(start, "a", "10.0.0.1:80", 6)
	sentTo, _ := r.Current()
	r.Heartbeat(start, report("a", bornBefore, 5))
	r.MarkDeparted(sentTo.Incarnation)
	r.Heartbeat(start, report("a", bornBefore, 6))
	server, _ := r.Current()
	g.Expect(server.Leaving).To(BeTrue())
	r.Heartbeat(start, report("a", bornAfter, 1))
	r.MarkDeparted(sentTo.Incarnation)
	server, _ = r.Current()
	g.Expect(server.Leaving).To(BeFalse(), "the answer came from the life before")
}

// Guards against a departure named by another node that keeps a new life out of use: what is recorded must be the
// departure that was named, not the incarnation that it may stand for.
func TestADepartureOfAnEarlierLifeHoldsOnlyUntilTheNextReport(t *testing.T) {
	g := NewWithT(t)
	r := New("measures")
	r.Adopt(start, "a", "10.0.0.1:80", 6)
	r.MarkDeparted(Incarnation{ID: "a", StartedMs: bornBefore - 1000})
	server, _ := r.Current()
	g.Expect(server.Leaving).To(BeTrue(), "it may be the adopted one")
	g.Expect(server.LeftAs).To(Equal(Incarnation{ID: "a", StartedMs: bornBefore - 1000}))
	r.Heartbeat(start, report("a", bornBefore, 1))
	server, _ = r.Current()
	g.Expect(server.Leaving).To(BeFalse())
}

func TestRepeatedDeparturesTakeOnePlace(t *testing.T) {
	g := NewWithT(t)
	var list []Incarnation
	for _, departed := range []Incarnation{{ID: "b", StartedMs: 1}, {ID: "a", StartedByMs: 5}, {ID: "a", StartedMs: 3}, {ID: "a", StartedByMs: 6}, {ID: "b", StartedMs: 1}} {
		list = AddDeparture(list, departed)
	}
	g.Expect(list).To(Equal([]Incarnation{{ID: "b", StartedMs: 1}, {ID: "a", StartedMs: 3}, {ID: "a", StartedByMs: 6}}))
}
