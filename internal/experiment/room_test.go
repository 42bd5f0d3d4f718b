package experiment

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// roomGoodput returns the fraction of all requests that were answered while that was fully useful, and
// the one of the worst kind.
func roomGoodput(policy roomPolicy, load float64) (all, worst float64) {
	var sum roomResult
	worst = 1
	for _, r := range runRoom(1, 10*time.Second, policy, load) {
		sum.add(r)
		worst = min(worst, ratio(r.inTime, r.requests))
	}
	return ratio(sum.inTime, sum.requests), worst
}

// Load: calls of running work, uploads and changes ask a service for 0.7 to 3 times its capacity.
// Guards against a collapse under overload, against calls behind work that could wait, and against a
// kind that gets nothing, which entries that refuse by the expected wait brought about.
func TestAFullServiceKeepsItsGoodput(t *testing.T) {
	g := NewWithT(t)
	unranked, all := roomPolicies[0], roomPolicies[3]
	calm, _ := roomGoodput(all, 0.7)
	g.Expect(calm).To(BeNumerically(">", 0.98))
	full, _ := roomGoodput(all, 1)
	for _, load := range []float64{1.5, 2, 3} {
		ours, worst := roomGoodput(all, load)
		before, _ := roomGoodput(unranked, load)
		g.Expect(ours).To(BeNumerically(">", before), "load %v", load)
		g.Expect(ours*load).To(BeNumerically(">", full), "load %v", load)
		g.Expect(worst).To(BeNumerically(">", 0), "load %v", load)
	}
}
