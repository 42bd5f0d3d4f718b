package settings

import (
	"fmt"
	"strings"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// checkRequired reports missing required keys at the position of their section.
func (l *loader) checkRequired() {
	for _, k := range schema {
		if _, given := l.positions[k.path]; k.required && !given {
			l.report(l.sectionOf(k.path), k.path, codes.SettingsMissingKey, "the key is required (%s)", k.kind)
		}
	}
	_, secret := l.positions["secret"]
	_, file := l.positions["secret_file"]
	if !secret && !file {
		l.report(l.positions[""], "secret", codes.SettingsMissingKey, "secret or secret_file is required")
	}
}

// sectionOf returns the position of the section that contains a key, or the
// start of the file.
func (l *loader) sectionOf(path string) position {
	if dot := strings.LastIndexByte(path, '.'); dot >= 0 {
		if at, given := l.positions[path[:dot]]; given {
			return at
		}
	}
	return l.positions[""]
}

// checkAddresses reports addresses that two keys share, and seeds that are the
// address of a listener of this node other than control.
func (l *loader) checkAddresses() {
	owner := map[string]string{}
	for _, k := range schema {
		address, isText := k.field(&l.node).(*string)
		if k.kind != kindAddress || !isText || *address == "" || l.invalid[k.path] {
			continue
		}
		if other, taken := owner[*address]; taken {
			l.report(l.positions[k.path], k.path, codes.SettingsAddressClash, "%s is also the address of %s", *address, other)
			continue
		}
		owner[*address] = k.path
	}
	for i, seed := range l.node.Seeds {
		if other, taken := owner[seed]; taken && !isControl(other) {
			path := l.seedPath(i)
			l.report(l.positions[path], path, codes.SettingsAddressClash, "%s is the address of %s; seeds are control addresses", seed, other)
		}
	}
}

// isControl reports whether a key is a control address of this node.
func isControl(path string) bool {
	return path == "listen.control" || path == "advertise.control"
}

// seedPath returns the key path of l.node.Seeds[i]. The index in the file may be
// higher, because invalid seeds are not stored.
func (l *loader) seedPath(i int) string {
	skipped := 0
	for n := 0; ; n++ {
		path := fmt.Sprintf("seeds[%d]", n)
		if l.invalid[path] {
			skipped++
			continue
		}
		if n-skipped == i {
			return path
		}
	}
}

// constraint is a rule that relates two keys.
type constraint struct {
	key, other string
	satisfied  func(*Node) bool
	detail     string
}

var constraints = []constraint{
	{"limits.buffered_answer", "limits.ledger_bytes",
		func(n *Node) bool { return n.Limits.BufferedAnswer <= n.Limits.LedgerBytes },
		"the value exceeds limits.ledger_bytes, so the ledger could not store the largest response"},
	{"limits.body_memory", "limits.request_body",
		func(n *Node) bool { return n.Limits.BodyMemory >= n.Limits.RequestBody },
		"the value is below limits.request_body, so the largest request would never be accepted"},
	{"timing.key_lifetime", "timing.fence_retention",
		func(n *Node) bool { return n.Timing.KeyLifetime <= n.Timing.FenceRetention },
		"the value exceeds timing.fence_retention, so an idempotency key would outlive the ledger record of its request"},
	{"timing.fence_retention", "limits.max_deadline",
		func(n *Node) bool { return n.Timing.FenceRetention > n.Limits.MaxDeadline },
		"the value does not exceed limits.max_deadline, so the ledger would drop the record of a request that may still be running"},
	{"timing.forget_after", "timing.gossip_interval",
		func(n *Node) bool { return n.Timing.ForgetAfter >= 4*n.Timing.GossipInterval },
		"the value is less than four times timing.gossip_interval, so node records would expire between two gossip exchanges"},
	{"telemetry.sample_ratio", "telemetry.otlp_endpoint",
		func(n *Node) bool { return n.Telemetry.SampleRatio == 0 || n.Telemetry.OTLPEndpoint != "" },
		"the value is above 0 but telemetry.otlp_endpoint is not set, so no span would be exported"},
}

// checkConstraints reports violated constraints at the position of their first
// key, or of the other one if only that is set.
func (l *loader) checkConstraints() {
	for _, r := range constraints {
		if l.invalid[r.key] || l.invalid[r.other] || r.satisfied(&l.node) {
			continue
		}
		at, given := l.positions[r.key]
		if !given {
			at = l.positions[r.other]
		}
		l.report(at, r.key, codes.SettingsInconsistent, "%s", r.detail)
	}
}

// maxEditDistance is the largest edit distance between an unknown key and the
// key suggested instead.
const maxEditDistance = 3

// suggestion returns a hint that names the known key closest to path, or an
// empty string if none is close enough.
func suggestion(path string) string {
	best, distance := "", maxEditDistance+1
	for _, k := range schema {
		if d := editDistance(path, k.path); d < distance {
			best, distance = k.path, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

// editDistance returns the Levenshtein distance in bytes, or maxEditDistance+1
// if the lengths differ by more than maxEditDistance.
func editDistance(a, b string) int {
	if len(a)-len(b) > maxEditDistance || len(b)-len(a) > maxEditDistance {
		return maxEditDistance + 1
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
