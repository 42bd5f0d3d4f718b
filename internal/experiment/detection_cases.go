package experiment

import "time"

// serverFault describes the fault of one server at one time; the zero value is none.
type serverFault struct {
	// failShare is the fraction of requests that fail immediately.
	failShare float64
	// slowdown multiplies the latency of a fraction slowShare of the requests.
	slowdown, slowShare float64
	// stalled means that no request completes.
	stalled bool
}

func (f serverFault) active() bool { return f != serverFault{} }

// detectionCase is one scenario of the detection experiment.
type detectionCase struct {
	name string
	// fault is the fault of server 0 while it is active; zero for cases with only healthy
	// servers.
	fault serverFault
	// period is the duration of the on and off phases of a flapping server; 0 for a
	// permanent fault.
	period time.Duration
	// duration is the virtual time of one trial; the fault starts within a second after
	// warmUp.
	duration time.Duration
	// wholeService applies fault to every server, so that no single server is at fault.
	wholeService bool
	// probes are sent to the faulty server and succeed.
	probes bool
	// path tests the detection of a faulty path to a host instead of a faulty server.
	path bool
	// surge raises the load of every server to surgeLoad after warmUp.
	surge bool
	// restarts makes each server restart every restartInterval and warm up again.
	restarts bool
	// pauses makes each server pause for pauseDuration every few seconds.
	pauses bool
	// healthyServerSeconds is the number of server-seconds to simulate in cases with only
	// healthy servers; 0 for cases that have a number of trials.
	healthyServerSeconds float64
}

const (
	// warmUp lets the summaries of the peers settle before the fault starts.
	warmUp = 15 * time.Second
	// faultDuration is the time for which a fault is observed.
	faultDuration = 30 * time.Second
	// healthyRunDuration is the virtual time of one run with only healthy servers.
	healthyRunDuration = 600 * time.Second
	// steadyAfter is the time after which summaries should rarely change.
	steadyAfter = 2 * time.Minute
	// healthyCaseServerSeconds is simulated for each of the four cases with only healthy
	// servers, which add up to a million server-seconds per preset.
	healthyCaseServerSeconds = 250_000
)

func faultyCase(name string, fault serverFault) detectionCase {
	return detectionCase{name: name, fault: fault, duration: warmUp + faultDuration}
}

// detectionCases returns the cases in the order of the table.
func detectionCases() []detectionCase {
	total := serverFault{failShare: 1}
	few := faultyCase("fail-5%", serverFault{failShare: 0.05})
	few.duration = warmUp + 2*faultDuration
	probes := faultyCase("probes-pass", total)
	probes.probes = true
	fast := faultyCase("flap-5s", total)
	fast.period, fast.duration = 5*time.Second, warmUp+60*time.Second
	slow := faultyCase("flap-60s", total)
	slow.period, slow.duration = time.Minute, warmUp+3*time.Minute
	cut := faultyCase("one-way-cut", serverFault{stalled: true})
	cut.path = true
	whole := faultyCase("service-slow", serverFault{slowdown: 4, slowShare: 1})
	whole.wholeService = true
	return []detectionCase{
		faultyCase("fail-all", total),
		faultyCase("fail-30%", serverFault{failShare: 0.3}),
		few,
		faultyCase("slow-4x", serverFault{slowdown: 4, slowShare: 1}),
		faultyCase("slow-10x-1in5", serverFault{slowdown: 10, slowShare: 0.2}),
		faultyCase("stall", serverFault{stalled: true}),
		probes, fast, slow, cut, whole,
		{name: "surge", duration: healthyRunDuration, surge: true, healthyServerSeconds: healthyCaseServerSeconds},
		{name: "cold-start", duration: healthyRunDuration, restarts: true, healthyServerSeconds: healthyCaseServerSeconds},
		{name: "pauses", duration: healthyRunDuration, pauses: true, healthyServerSeconds: healthyCaseServerSeconds},
		{name: "noise", duration: healthyRunDuration, healthyServerSeconds: healthyCaseServerSeconds},
	}
}

// allHealthy reports whether the case has no faulty server.
func (c *detectionCase) allHealthy() bool { return c.wholeService || !c.fault.active() }

// faultAt returns the fault of a server at time at, for a fault that begins at start.
func (c *detectionCase) faultAt(server int, at, start time.Duration) serverFault {
	if at < start || (server != 0 && !c.wholeService) {
		return serverFault{}
	}
	if c.period > 0 && (at-start)/c.period%2 == 1 {
		return serverFault{}
	}
	return c.fault
}

// deployment is the size of the modelled service and fleet.
type deployment struct {
	preset  string
	servers int
	nodes   int
	slots   int
	floor   int
}

// deployments follow docs/design.md section 1.3: the service "measures" of preset trust
// and "vitrina" of preset paramo. The floor allows a quarter of the slots to be ejected,
// rounded up to a whole server.
func deployments() []deployment {
	return []deployment{
		{preset: "trust", servers: 6, nodes: 21, slots: 6, floor: 24},
		{preset: "paramo", servers: 8, nodes: 27, slots: 7, floor: 42},
	}
}
