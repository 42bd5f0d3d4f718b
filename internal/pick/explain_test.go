package pick

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against an explanation that differs from the choice, or that changes later choices: a
// candidate that is told to be unsuitable is never chosen, the shares add up to one, and nothing is
// counted as sent.
func TestAnExplanationIsTheChoiceWithoutItsEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New("a", "r")
		var candidates []Candidate
		for i := range rapid.IntRange(1, 20).Draw(t, "servers") {
			c := Candidate{ID: fmt.Sprint(i), DataCentre: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data centre"), Region: "r"}
			load := healthy(rapid.IntRange(0, 6).Draw(t, "running"))
			load.FailureProbability = rapid.SampledFrom([]float64{0.01, 0.2, 0.9}).Draw(t, "failing")
			p.UpdateLoad(start.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "age"))*time.Millisecond), c.ID, load, true)
			candidates = append(candidates, c)
		}
		q := Query{Objective: 2 * time.Second}
		e := p.Explain(start, candidates, q)
		if !reflect.DeepEqual(e, p.Explain(start, candidates, q)) {
			t.Fatalf("the second explanation differs from %+v", e)
		}
		total := 0.0
		for _, a := range e.Candidates {
			if total += a.Share; a.Share > 0 && (a.Objection != NoObjection || a.DataCentre != e.DataCentre) {
				t.Fatalf("%s has a share of %v", a.ID, a.Share)
			}
		}
		choice, ok := p.Choose(start, zero, candidates, q)
		if ok != (e.DataCentre != "") || ok && math.Abs(total-1) > 1e-6 {
			t.Fatalf("chosen: %v, explained: %q with shares of %v", ok, e.DataCentre, total)
		}
		if ok && e.Candidates[choice.Index].Share == 0 {
			t.Fatalf("%d is chosen and has no share in %+v", choice.Index, e)
		}
	})
}

// Guards against shares that are not the frequencies of the choices.
func TestSharesAreTheFrequenciesOfTheChoices(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewSource(1))
	candidates := []Candidate{{ID: "x", DataCentre: "a"}, {ID: "y", DataCentre: "a"}, {ID: "z", DataCentre: "a"}}
	picker := func() *Picker {
		p := New("a", "r")
		for i, running := range []int{1, 2, 3} {
			p.Report(start.Add(-400*time.Millisecond), candidates[i].ID, healthy(running))
		}
		return p
	}
	const trials = 4000
	counts := make([]float64, len(candidates))
	for range trials {
		choice, _ := picker().Choose(start, random.Float64, candidates, Query{Objective: 2 * time.Second})
		counts[choice.Index]++
	}
	for i, a := range picker().Explain(start, candidates, Query{Objective: 2 * time.Second}).Candidates {
		g.Expect(counts[i]/trials).To(BeNumerically("~", a.Share, 0.05), a.ID)
	}
}
