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
	r.Deregister("a", 0)
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

// In any order of arrival, the newest incarnation is current once its first report has arrived, and
// one that left never gets requests again.
func TestAnyOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New("measures")
		departed := map[int64]bool{}
		newest := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			startedMs := int64(rapid.IntRange(1, 3).Draw(t, "born"))
			next := report("a", startedMs, uint64(rapid.IntRange(1, 9).Draw(t, "sequence")))
			server, known := r.Current()
			current := known && server.StartedMs == startedMs
			if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
				next = leaving(next)
				// A late report does not count, whatever it says.
				if !known || startedMs > server.StartedMs || current && next.Sequence > r.sequence {
					departed[startedMs] = true
				}
			}
			r.Heartbeat(start, next)
			newest = max(newest, startedMs)
			server, _ = r.Current()
			if server.StartedMs != newest {
				t.Fatalf("incarnation %d is current, %d is the newest", server.StartedMs, newest)
			}
			if departed[server.StartedMs] && !server.Leaving {
				t.Fatalf("incarnation %d left and gets requests", server.StartedMs)
			}
		}
	})
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
