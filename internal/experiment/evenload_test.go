package experiment

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// evenRun returns the result of a policy for 70 choosers and reports each 100 ms.
func evenRun(policy evenPolicy, fleet evenFleet) evenResult {
	return runEvenCase(evenCase{policy: policy, fleet: fleet, choosers: 70, interval: 100 * time.Millisecond, duration: 8 * time.Second})
}

// Guards against herds on the servers that looked idle: by the least cost, more than one hop in two
// is refused by a full server while the service has room.
func TestWaterFillingAvoidsHerds(t *testing.T) {
	g := NewWithT(t)
	for _, fleet := range evenFleets[:2] {
		least, filled := evenRun(evenPolicies[1], fleet), evenRun(evenPolicies[3], fleet)
		t.Logf("%s: refused hops a request %.3f and %.3f, largest over mean %.2f and %.2f", fleet.name,
			least.perRequest(least.refusedHops), filled.perRequest(filled.refusedHops), least.largestOverMean(), filled.largestOverMean())
		g.Expect(filled.refusedHops).To(BeNumerically("<", least.refusedHops/3), fleet.name)
		g.Expect(filled.largestOverMean()).To(BeNumerically("<", least.largestOverMean()), fleet.name)
	}
}

// Guards against even load at the price of other things: more failed requests because doubtful servers
// get some of them, or more transfers between data centres.
func TestWaterFillingKeepsAwayFromFailingAndDistantServers(t *testing.T) {
	g := NewWithT(t)
	fleet := evenFleets[3]
	least, filled, two := evenRun(evenPolicies[1], fleet), evenRun(evenPolicies[3], fleet), evenRun(evenPolicies[2], fleet)
	t.Logf("failed %.4f and %.4f, by two choices %.4f; in another data centre %.3f and %.3f",
		least.perRequest(least.failed), filled.perRequest(filled.failed), two.perRequest(two.failed),
		least.perRequest(least.otherDataCentre), filled.perRequest(filled.otherDataCentre))
	g.Expect(filled.perRequest(filled.failed)).To(BeNumerically("<", least.perRequest(least.failed)+0.003))
	g.Expect(filled.otherDataCentre).To(BeNumerically("<", least.otherDataCentre))
	g.Expect(filled.failed).To(BeNumerically("<", two.failed))
}
