package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var usual = Limit{Rate: 10, Burst: 10, Window: 5 * time.Second, Over: 0.1, Extra: 20}

// Guards against a process that was suspended and then acts on credit that others have replaced.
func TestCreditEndsWhileTheInstanceIsSuspended(t *testing.T) {
	g := NewWithT(t)
	var p Purse
	p.SetHomes([]Node{1})
	p.NextAsk(0, 1)
	p.Granted(time.Millisecond, 0, 1, Reply{Home: true, Granted: 3, Slot: 7})
	_, ok := p.Take(CreditLife - 1)
	g.Expect(ok).To(BeTrue())
	_, ok = p.Take(4 * time.Second)
	g.Expect(ok).To(BeFalse())
	var returned []Return
	p.Ended(4*time.Second, func(_ Node, r Return) { returned = append(returned, r) })
	g.Expect(returned).To(ConsistOf(Return{Credits: 2, Slot: 7}))
	g.Expect(p.Holds()).To(BeFalse())
}

// Guards against a late reply whose credit is used although the home no longer counts it.
func TestALateReplyBringsNoCredit(t *testing.T) {
	var p Purse
	p.SetHomes([]Node{1})
	p.NextAsk(0, 1)
	p.Granted(time.Second, 0, 1, Reply{Home: true, Granted: 1})
	if _, ok := p.Take(time.Second); ok {
		t.Fatal("a credit was used a second after its call")
	}
}

// Guards against returned credits that let a home grant more than a window allows, whatever slots
// the returns name.
func TestReturnsDoNotRaiseTheSumOfAWindow(t *testing.T) {
	h := NewHome(0, 0xfffffff0)
	now, granted := time.Minute, 0
	for range 5 * 100 {
		now += 10 * time.Millisecond
		r := h.Ask(now, "a", usual, 1, false, Ask{Waiting: 5})
		granted += r.Granted
		// Twice, and for the slot of another process.
		for _, slot := range []uint32{r.Slot, r.Slot, r.Slot + 1<<30} {
			h.Return(now+time.Second, "a", Return{Credits: r.Granted, Slot: slot})
		}
		granted -= 2 * r.Granted
	}
	if most := usual.perWindow(1); float64(granted) > most {
		t.Fatalf("%d credits in a window, allowed %g", granted, most)
	}
}

// Guards against a lowered limit under which an account gets nothing until its earlier requests have
// left the window.
func TestALoweredLimitStartsAtOnce(t *testing.T) {
	g := NewWithT(t)
	h := NewHome(0, 0)
	now := time.Minute
	g.Expect(h.Ask(now, "a", usual, 1, false, Ask{Waiting: 100}).Granted).To(BeNumerically(">=", 10))
	lower := Limit{Rate: 2, Burst: 2, Window: 5 * time.Second, Over: 0.1, Extra: 20}
	granted := 0
	for range 20 {
		now += 100 * time.Millisecond
		granted += h.Ask(now, "a", lower, 1, false, Ask{Waiting: 1}).Granted
	}
	// The rate and the burst of a window, for 2 s, and what was left of the higher limit.
	g.Expect(granted).To(And(BeNumerically(">=", 4), BeNumerically("<=", 7)))
}

// Guards against a node that grants the burst of an account right after it became its home, while the
// earlier home is still asked.
func TestANewHomeStartsNearlyEmpty(t *testing.T) {
	g := NewWithT(t)
	h := NewHome(0, 0)
	g.Expect(h.Ask(0, "a", usual, 3, false, Ask{Waiting: 10}).Granted).To(BeNumerically("<=", 1))
	h.Retain(time.Minute, func(string, Limit) bool { return false })
	g.Expect(h.Ask(time.Minute+settleTime, "a", usual, 3, false, Ask{Waiting: 10}).Granted).To(BeNumerically("<=", 1))
	h.Retain(2*time.Minute, func(string, Limit) bool { return true })
	g.Expect(h.Ask(2*time.Minute, "a", usual, 3, false, Ask{Waiting: 10}).Granted).To(BeNumerically(">", 1))
}

// Guards against own parts that sum up to more than their share of the slack.
func TestOwnPartsStayWithinTheirShare(t *testing.T) {
	g := NewWithT(t)
	members := []Node{5, 6, 7, 8, 9, 10, 11, 12, 13, 14}
	admitted := 0
	for _, self := range members {
		var p Part
		g.Expect(p.Admit(4*time.Second, 0, "a", usual, members, self)).To(BeFalse(), "an earlier process may have used the part")
		for range 20 {
			if p.Admit(time.Minute, 0, "a", usual, members, self) {
				admitted++
			}
		}
	}
	g.Expect(admitted).To(Equal(int(usual.slack() / 4)))
}

// Guards against a home that dies in the worst moment and together with the process that replaces it
// grants more than a window and its part of the slack allow.
func TestADeathDoesNotRaiseTheSumOfAWindow(t *testing.T) {
	for _, limit := range []Limit{
		usual,
		{Rate: 100, Burst: 100, Window: 5 * time.Second, Over: 0.1, Extra: 20},
		{Rate: 100, Burst: 500, Window: 5 * time.Second, Over: 0.1},
		{Rate: 30, Burst: 30, Window: 5 * time.Second},
		{Rate: 0.25, Window: 5 * time.Second},
		{Rate: 0.7, Burst: 0.4, Window: 5 * time.Second, Extra: 1},
	} {
		most := limit.perWindow(1) + 2*slackShare*limit.slack()
		for death := time.Duration(0); death <= limit.Window; death += 100 * time.Millisecond {
			h, granted := NewHome(0, 0), 0
			h.Ask(time.Minute, "a", limit, 1, false, Ask{})
			for at := time.Duration(0); at <= limit.Window; at += 10 * time.Millisecond {
				if at == death {
					h = NewHome(2*time.Minute+at, 0)
				}
				granted += h.Ask(2*time.Minute+at, "a", limit, 1, false, Ask{Waiting: 100}).Granted
			}
			if float64(granted) > most {
				t.Errorf("%+v, death after %v: %d credits in a window, allowed %g", limit, death, granted, most)
			}
		}
	}
}
