package detect

import "time"

const (
	// peerWindow is the number of requests to peers that are kept for a service.
	peerWindow = 64
	// latencyConfirmShare is the evidence for healthy peers that a verdict on latency needs, as
	// a share of the threshold: one or two usual responses for preset trust, two or three for
	// paramo.
	latencyConfirmShare = 0.28
	// baselineRiseFactor and baselineRiseDelay postpone verdicts while the baseline itself
	// rises: halfway through a slowdown of the whole service the peers look normal and the
	// server looks slow.
	baselineRiseFactor = 1.5
	baselineRiseDelay  = 3 * time.Second
	// stallConfirmEvidence is the evidence for healthy peers that a verdict on a stall needs, in
	// nats. One usual response is enough, because a service that stalls as a whole gives none.
	stallConfirmEvidence = 0.9
)

// peerSample is one request of another server of the service.
type peerSample struct {
	at      time.Time
	latency time.Duration
	failed  bool
}

// peerHistory keeps the latest requests that this node, as an entry, sent to servers of a
// service on other hosts. It has fewer samples than the published summaries but is current: a
// summary takes seconds to arrive.
type peerHistory struct {
	samples [peerWindow]peerSample
	next    int
	count   int
}

func (l *peerHistory) add(sample peerSample) {
	l.samples[l.next] = sample
	l.next = (l.next + 1) % peerWindow
	l.count = min(l.count+1, peerWindow)
}

// healthyEvidence returns the evidence, from requests that ended after since, that peers were as
// fast as the baseline says. It is negative when they were slow. For a path, each response
// through another path counts one nat.
func (l *peerHistory) healthyEvidence(s *targetState, since time.Time) float64 {
	evidence := 0.0
	after := since.Add(s.baseline.Median)
	for i := 1; i <= l.count; i++ {
		sample := l.samples[(l.next-i+peerWindow)%peerWindow]
		if !sample.at.After(after) {
			break
		}
		switch {
		case sample.failed:
		case s.Service == "":
			evidence++
		default:
			evidence += s.model.peerLLR[gridIndex(sample.latency, s.referenceLatency)]
		}
	}
	return evidence
}
