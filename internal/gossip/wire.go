package gossip

import (
	"fmt"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Methods of membership.
const (
	methodExchange = "gossip.exchange"
	methodPush     = "gossip.push"
	methodProbe    = "gossip.probe"
	methodProbeVia = "gossip.probeVia"
)

const (
	// maxRecordsPerMessage is the page size of full records. A record of 11
	// servers takes about 2.5 KB.
	maxRecordsPerMessage = 40
	// maxHeadsPerMessage bounds a digest: 6,000 heads of 70 bytes are 420 KB.
	maxHeadsPerMessage = 6_000
	// maxNodes bounds the known records, at about the 5,300 nodes for which
	// figures are given.
	maxNodes = 6_000
	// maxServersPerNode bounds the servers of one record.
	maxServersPerNode = 512
	// MaxUnreachable bounds NodeRecord.Unreachable. A node that lists more has
	// lost its own path; its list has no weight alone, see the rule in doc.go.
	MaxUnreachable = 64
	// maxIDBytes bounds the IDs of nodes.
	maxIDBytes = 128
	// maxClockLead is how far the incarnation of a record may lie ahead of the
	// local clock. Without it a damaged record could not be outranked.
	maxClockLead = 365 * 24 * time.Hour
)

// head is the digest entry of one record together with its small, often
// changing fields. A receiver that has the body of the same base needs no more.
type head struct {
	ID          string `json:"n"`
	Incarnation uint64 `json:"i"`
	Sequence    uint64 `json:"s"`
	// Base is the sequence at which the body, which is everything but the
	// fields of a head, last changed.
	Base        uint64   `json:"b"`
	Config      uint64   `json:"c,omitempty"`
	Unreachable []string `json:"u,omitempty"`
	Leaving     bool     `json:"l,omitempty"`
	Left        bool     `json:"x,omitempty"`
	// Down tells that the sender counts the node as down or cannot reach it. A receiver
	// that has forgotten the node does not take it back on such word.
	Down bool `json:"d,omitempty"`
}

func (h head) version() fleet.Version {
	return fleet.Version{Incarnation: h.Incarnation, Sequence: h.Sequence}
}

// full is a whole record.
type full struct {
	Record *fleet.NodeRecord `json:"r"`
	Base   uint64            `json:"b"`
	Down   bool              `json:"d,omitempty"`
}

// exchangeParams is a push-pull exchange. All parts but the summary are optional.
type exchangeParams struct {
	From string `json:"from"`
	summary
	// Heads are changes that the caller believes to be new to the peer.
	Heads packed[head] `json:"heads,omitempty"`
	// Buckets are the hashes of the caller's buckets; the answer then holds the
	// heads of every bucket that differs.
	Buckets []uint64 `json:"buckets,omitempty"`
	// Want asks for whole records.
	Want []string `json:"want,omitempty"`
}

// summary is the state of a node in short.
type summary struct {
	// Hash covers the versions of every known record.
	Hash uint64 `json:"hash"`
	// Config is the version of the configuration in force.
	Config uint64 `json:"cfg"`
	// QuietMS is the time since the last change of a record, in milliseconds.
	QuietMS int64 `json:"quiet"`
}

type exchangeResult struct {
	summary
	// Heads answer Buckets.
	Heads packed[head] `json:"heads,omitempty"`
	// Differ lists the buckets that Heads cover.
	Differ []int `json:"differ,omitempty"`
	// Records answer Want.
	Records packed[full] `json:"records,omitempty"`
	// Want names the records whose body the peer lacks.
	Want []string `json:"want,omitempty"`
}

type pushParams struct {
	From    string       `json:"from"`
	Records packed[full] `json:"records"`
}

// validate refuses records that no node of the fleet writes.
func (f full) validate(now time.Time) error {
	r := f.Record
	switch {
	case r == nil:
		return fmt.Errorf("record missing")
	case len(r.ID) == 0 || len(r.ID) > maxIDBytes:
		return fmt.Errorf("node ID of %d bytes", len(r.ID))
	case len(r.Servers) > maxServersPerNode:
		return fmt.Errorf("record of %s with %d servers", r.ID, len(r.Servers))
	case len(r.Unreachable) > MaxUnreachable:
		return fmt.Errorf("record of %s with %d unreachable nodes", r.ID, len(r.Unreachable))
	case !plausible(r.Version.Incarnation, now):
		return fmt.Errorf("record of %s from the future", r.ID)
	}
	return nil
}

func (h head) valid(now time.Time) bool {
	return len(h.ID) > 0 && len(h.ID) <= maxIDBytes &&
		len(h.Unreachable) <= MaxUnreachable && plausible(h.Incarnation, now)
}

func plausible(incarnation uint64, now time.Time) bool {
	return incarnation <= uint64(now.Add(maxClockLead).UnixNano())
}

// withHead returns a copy of r with the fields of a newer head. The copy shares
// the servers, which are immutable.
func withHead(r *fleet.NodeRecord, h head) *fleet.NodeRecord {
	next := *r
	next.Version = h.version()
	next.ConfigVersion = h.Config
	next.Unreachable = h.Unreachable
	next.Leaving = h.Leaving
	next.Left = h.Left
	return &next
}
