package gossip

import (
	"fmt"
	"time"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// RPC methods of the membership protocol.
const (
	methodExchange = "gossip.exchange"
	methodPush     = "gossip.push"
	methodProbe    = "gossip.probe"
	methodProbeVia = "gossip.probeVia"
)

const (
	// maxRecordsPerMessage is the page size for full records. A record with 11
	// servers takes about 2.5 KB.
	maxRecordsPerMessage = 40
	// maxHeadersPerMessage bounds a digest: 6,000 headers of 70 bytes are 420 KB.
	maxHeadersPerMessage = 6_000
	// maxNodes bounds the number of known records. It is slightly above 5,300, the
	// largest number of nodes for which figures are published.
	maxNodes = 6_000
	// maxServersPerNode bounds the number of servers in one record.
	maxServersPerNode = 512
	// MaxUnreachable bounds NodeRecord.Unreachable. A node that reports more nodes
	// has most likely lost its own network path, and its reports alone take no node
	// out of service (see doc.go).
	MaxUnreachable = 64
	// maxIDBytes bounds the length of a node ID.
	maxIDBytes = 128
	// maxClockSkew is how far the incarnation of a record may be ahead of the
	// local clock. Without this limit, a corrupt record with a huge incarnation
	// could never be superseded.
	maxClockSkew = 365 * 24 * time.Hour
)

// recordHeader is the digest entry of one record, with the small fields that
// change often. A receiver that already has the body with the same base needs
// nothing else.
type recordHeader struct {
	ID          string `json:"n"`
	Incarnation uint64 `json:"i"`
	Sequence    uint64 `json:"s"`
	// Base is the sequence at which the body last changed. The body consists of
	// all fields that are not in the header.
	Base          uint64   `json:"b"`
	ConfigVersion uint64   `json:"c,omitempty"`
	Unreachable   []string `json:"u,omitempty"`
	Leaving       bool     `json:"l,omitempty"`
	Left          bool     `json:"x,omitempty"`
	// Down reports that the sender considers the node down or cannot reach it. A
	// receiver that has forgotten the node does not restore the record from such a
	// header.
	Down bool `json:"d,omitempty"`
}

func (h recordHeader) version() fleet.Version {
	return fleet.Version{Incarnation: h.Incarnation, Sequence: h.Sequence}
}

// fullRecord is a record with header and body.
type fullRecord struct {
	Record *fleet.NodeRecord `json:"r"`
	Base   uint64            `json:"b"`
	Down   bool              `json:"d,omitempty"`
}

// exchangeParams is the request of a push-pull exchange. All fields except From
// and the summary are optional.
type exchangeParams struct {
	From string `json:"from"`
	summary
	// Headers are changes that are probably new to the peer.
	Headers compressedList[recordHeader] `json:"heads,omitempty"`
	// Buckets are the hashes of the caller's buckets. If present, the response
	// holds the headers of every bucket that differs.
	Buckets []uint64 `json:"buckets,omitempty"`
	// Want lists the IDs of the full records that the caller requests.
	Want []string `json:"want,omitempty"`
}

// summary describes the state of a node's store.
type summary struct {
	// Hash covers the version of every known record.
	Hash uint64 `json:"hash"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `json:"cfg"`
	// QuietMS is the time since a record last changed, in milliseconds.
	QuietMS int64 `json:"quiet"`
}

type exchangeResult struct {
	summary
	// Headers are the headers in the buckets that differ from the request.
	Headers compressedList[recordHeader] `json:"heads,omitempty"`
	// DifferentBuckets lists the buckets that Headers covers.
	DifferentBuckets []int `json:"differ,omitempty"`
	// Records are the records that the caller requested in Want.
	Records compressedList[fullRecord] `json:"records,omitempty"`
	// Want lists the IDs of the records whose body the responder needs.
	Want []string `json:"want,omitempty"`
}

type pushParams struct {
	From    string                     `json:"from"`
	Records compressedList[fullRecord] `json:"records"`
}

// validate returns an error for a record that a correct node never writes.
func (f fullRecord) validate(now time.Time) error {
	r := f.Record
	switch {
	case r == nil:
		return fmt.Errorf("record is missing")
	case len(r.ID) == 0 || len(r.ID) > maxIDBytes:
		return fmt.Errorf("node ID has %d bytes", len(r.ID))
	case len(r.Servers) > maxServersPerNode:
		return fmt.Errorf("record of %s has %d servers", r.ID, len(r.Servers))
	case len(r.Unreachable) > MaxUnreachable:
		return fmt.Errorf("record of %s lists %d unreachable nodes", r.ID, len(r.Unreachable))
	case !plausibleIncarnation(r.Version.Incarnation, now):
		return fmt.Errorf("record of %s has an incarnation too far in the future", r.ID)
	}
	return nil
}

func (h recordHeader) valid(now time.Time) bool {
	return len(h.ID) > 0 && len(h.ID) <= maxIDBytes &&
		len(h.Unreachable) <= MaxUnreachable && plausibleIncarnation(h.Incarnation, now)
}

func plausibleIncarnation(incarnation uint64, now time.Time) bool {
	return incarnation <= uint64(now.Add(maxClockSkew).UnixNano())
}

// withHeader returns a copy of r with the fields of a newer header. The copy
// shares the server list, which is immutable.
func withHeader(r *fleet.NodeRecord, h recordHeader) *fleet.NodeRecord {
	next := *r
	next.Version = h.version()
	next.ConfigVersion = h.ConfigVersion
	next.Unreachable = h.Unreachable
	next.Leaving = h.Leaving
	next.Left = h.Left
	return &next
}
