package experiment

import "time"

// serverFault is what is wrong with one server at one time.
type serverFault struct {
	// failShare is the share of requests that fail at once.
	failShare float64
	// slowdown multiplies the latency of a slowShare of the requests.
	slowdown, slowShare float64
	// stalled servers finish nothing.
	stalled bool
}

func (f serverFault) any() bool { return f != serverFault{} }

// detectionCase is one situation of the detection experiment.
type detectionCase struct {
	name string
	// fault is the fault of server 0 while it is on; zero for cases with well
	// servers only.
	fault serverFault
	// period is the length of the on and off phases of a flapping server; 0
	// for a fault that stays.
	period time.Duration
	// length is the virtual time of one trial; the fault starts at warmUp.
	length time.Duration
	// wholeService applies the slowdown of fault to every server, which is no
	// fault of any of them.
	wholeService bool
	// probes are sent to the faulty server and succeed.
	probes bool
	// path judges the path to a host instead of a server.
	path bool
	// surge raises the load of every server to surgeLoad after warmUp.
	surge bool
	// restarts makes each server restart cold every restartInterval.
	restarts bool
	// pauses stop each server for pauseLength every few seconds.
	pauses bool
	// wellSeconds is the number of server-seconds to simulate in cases with
	// well servers; 0 for cases that count trials.
	wellSeconds float64
}

const (
	// warmUp lets the summaries of the peers settle before the fault.
	warmUp = 15 * time.Second
	// faultLength is the time for which a fault is observed.
	faultLength = 30 * time.Second
	// wellLength is the length of one run with well servers only.
	wellLength = 600 * time.Second
	// steadyAfter is the time after which summaries should hardly change.
	steadyAfter = 2 * time.Minute
	// wellShare of server-seconds goes to each of the four cases that add up
	// to a million for one preset.
	wellShare = 250_000
)

func faultyCase(name string, fault serverFault) detectionCase {
	return detectionCase{name: name, fault: fault, length: warmUp + faultLength}
}

// detectionCases returns the cases in the order of the table.
func detectionCases() []detectionCase {
	total := serverFault{failShare: 1}
	few := faultyCase("fail-5%", serverFault{failShare: 0.05})
	few.length = warmUp + 2*faultLength
	probes := faultyCase("probes-pass", total)
	probes.probes = true
	fast := faultyCase("flap-5s", total)
	fast.period, fast.length = 5*time.Second, warmUp+60*time.Second
	slow := faultyCase("flap-60s", total)
	slow.period, slow.length = time.Minute, warmUp+3*time.Minute
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
		{name: "surge", length: wellLength, surge: true, wellSeconds: wellShare},
		{name: "cold-start", length: wellLength, restarts: true, wellSeconds: wellShare},
		{name: "pauses", length: wellLength, pauses: true, wellSeconds: wellShare},
		{name: "noise", length: wellLength, wellSeconds: wellShare},
	}
}

// well tells whether the case has no faulty server.
func (c *detectionCase) well() bool { return c.wholeService || !c.fault.any() }

// faultAt returns the fault of a server at a time since the start.
func (c *detectionCase) faultAt(server int, at, start time.Duration) serverFault {
	if at < start || (server != 0 && !c.wholeService) {
		return serverFault{}
	}
	if c.period > 0 && (at-start)/c.period%2 == 1 {
		return serverFault{}
	}
	return c.fault
}

// deployment is the size of the service and the fleet in the model.
type deployment struct {
	preset  string
	servers int
	nodes   int
	slots   int
	floor   int
}

// deployments follow docs/design.md section 1.3: the services measures of
// trust and vitrina of paramo. The floor lets a quarter of the slots be
// ejected, rounded up to a server.
func deployments() []deployment {
	return []deployment{
		{preset: "trust", servers: 6, nodes: 21, slots: 6, floor: 24},
		{preset: "paramo", servers: 8, nodes: 27, slots: 7, floor: 42},
	}
}
