package settings

import (
	"fmt"
	"strings"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// checkRequired reports required keys that are missing, at their section.
func (l *loader) checkRequired() {
	for _, k := range schema {
		if _, given := l.seen[k.path]; k.required && !given {
			l.fault(l.sectionOf(k.path), k.path, codes.SettingsMissingKey, "the key is required (%s)", k.kind)
		}
	}
	_, secret := l.seen["secret"]
	_, file := l.seen["secret_file"]
	if !secret && !file {
		l.fault(l.seen[""], "secret", codes.SettingsMissingKey, "secret or secret_file is required")
	}
}

// sectionOf returns the position of the section of a key, or the start of the file.
func (l *loader) sectionOf(path string) position {
	if dot := strings.LastIndexByte(path, '.'); dot >= 0 {
		if at, given := l.seen[path[:dot]]; given {
			return at
		}
	}
	return l.seen[""]
}

// checkAddresses reports listeners that share an address, and seeds that name a
// listener of this node other than control.
func (l *loader) checkAddresses() {
	owner := map[string]string{}
	for _, k := range schema {
		address, isText := k.field(&l.node).(*string)
		if k.kind != kindAddress || !isText || *address == "" || l.bad[k.path] {
			continue
		}
		if other, taken := owner[*address]; taken {
			l.fault(l.seen[k.path], k.path, codes.SettingsAddressClash, "%s is also the address of %s", *address, other)
			continue
		}
		owner[*address] = k.path
	}
	for i, seed := range l.node.Seeds {
		if other, taken := owner[seed]; taken && !isControl(other) {
			path := l.seedPath(i)
			l.fault(l.seen[path], path, codes.SettingsAddressClash, "%s is the address of %s; seeds are control addresses", seed, other)
		}
	}
}

// isControl reports whether a key holds a control address of this node.
func isControl(path string) bool {
	return path == "listen.control" || path == "advertise.control"
}

// seedPath returns the path in the file of stored seed i. Wrong seeds before
// it are not stored.
func (l *loader) seedPath(i int) string {
	skipped := 0
	for n := 0; ; n++ {
		path := fmt.Sprintf("seeds[%d]", n)
		if l.bad[path] {
			skipped++
			continue
		}
		if n-skipped == i {
			return path
		}
	}
}

// relation is a rule about two keys.
type relation struct {
	key, other string
	holds      func(*Node) bool
	detail     string
}

var relations = []relation{
	{"limits.buffered_answer", "limits.ledger_bytes",
		func(n *Node) bool { return n.Limits.BufferedAnswer <= n.Limits.LedgerBytes },
		"it exceeds limits.ledger_bytes, so that the ledger cannot keep the largest answer"},
	{"limits.body_memory", "limits.request_body",
		func(n *Node) bool { return n.Limits.BodyMemory >= n.Limits.RequestBody },
		"it is below limits.request_body, so that the largest request would never be taken"},
	{"timing.key_lifetime", "timing.fence_retention",
		func(n *Node) bool { return n.Timing.KeyLifetime <= n.Timing.FenceRetention },
		"it exceeds timing.fence_retention, so that a key would outlive the record of its request"},
	{"timing.fence_retention", "limits.max_deadline",
		func(n *Node) bool { return n.Timing.FenceRetention > n.Limits.MaxDeadline },
		"it does not exceed limits.max_deadline, so that the ledger would forget a request that may still run"},
	{"timing.forget_after", "timing.gossip_interval",
		func(n *Node) bool { return n.Timing.ForgetAfter >= 4*n.Timing.GossipInterval },
		"it is less than four times timing.gossip_interval, so that nodes would be forgotten between two exchanges"},
	{"telemetry.sample_ratio", "telemetry.otlp_endpoint",
		func(n *Node) bool { return n.Telemetry.SampleRatio == 0 || n.Telemetry.OTLPEndpoint != "" },
		"it is above 0 but telemetry.otlp_endpoint is not given, so that no span would be kept"},
}

// checkRelations reports rules about two keys that do not hold. The position is
// that of the first key, or of the other if only that is given.
func (l *loader) checkRelations() {
	for _, r := range relations {
		if l.bad[r.key] || l.bad[r.other] || r.holds(&l.node) {
			continue
		}
		at, given := l.seen[r.key]
		if !given {
			at = l.seen[r.other]
		}
		l.fault(at, r.key, codes.SettingsInconsistent, "%s", r.detail)
	}
}

// maxDistance is the largest number of edits between an unknown key and the one
// that is suggested.
const maxDistance = 3

// suggestion names the known key closest to path, or is empty.
func suggestion(path string) string {
	best, distance := "", maxDistance+1
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

// editDistance returns the Levenshtein distance in bytes, or a large number for
// strings whose lengths differ by more than maxDistance.
func editDistance(a, b string) int {
	if len(a)-len(b) > maxDistance || len(b)-len(a) > maxDistance {
		return maxDistance + 1
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
