package detect

import "time"

const (
	// peerWindow bounds the peers' requests that are kept for a service.
	peerWindow = 64
	// confirmLatency is the evidence for healthy peers, as a share of the
	// threshold, that a verdict on latency needs: one or two usual answers for
	// preset trust, two or three for paramo.
	confirmLatency = 0.28
	// riseFactor and riseQuiet postpone verdicts while the baseline itself
	// rises: half of the way up, the peers look usual and the server slow.
	riseFactor = 1.5
	riseQuiet  = 3 * time.Second
	// confirmStall is the same for a verdict on a stall, in nats. One usual
	// answer is enough, because a service that stalls gives none.
	confirmStall = 0.9
)

// peerSample is one request of another server of the service.
type peerSample struct {
	at      time.Time
	latency time.Duration
	failed  bool
}

// peerLog keeps what this node, as an entry, saw of a service at other hosts.
// It is thinner than the published summaries but shows the present: a summary
// needs seconds to arrive.
type peerLog struct {
	samples [peerWindow]peerSample
	next    int
	count   int
}

func (l *peerLog) add(sample peerSample) {
	l.samples[l.next] = sample
	l.next = (l.next + 1) % peerWindow
	l.count = min(l.count+1, peerWindow)
}

// support returns the evidence that peers were as fast as the baseline says,
// from requests that ended after since. It is negative when they were slow. For
// a path, each answer through another path counts one nat.
func (l *peerLog) support(s *target, since time.Time) float64 {
	sum := 0.0
	after := since.Add(s.baseline.Median)
	for i := 1; i <= l.count; i++ {
		sample := l.samples[(l.next-i+peerWindow)%peerWindow]
		if !sample.at.After(after) {
			break
		}
		switch {
		case sample.failed:
		case s.Service == "":
			sum++
		default:
			sum += s.model.support[gridIndex(sample.latency, s.reference)]
		}
	}
	return sum
}
