package gossip

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// Guards against an old copy that replaces a newer one, against a header that is combined
// with the body of another version, and against hashes that do not distinguish different
// stores. Headers and records of any age arrive in any order and any number of times, and
// their origins restart.
func TestNewestRecordWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1_000_000, 0)
		ids := []string{"a", "b", "c"}
		published := map[string]*fleet.NodeRecord{}
		stores := map[string]*store{}
		var headerBatches [][]recordHeader
		var recordBatches [][]fullRecord
		publish := func(id string, change func(*fleet.NodeRecord)) {
			next := stores[id].entries[id].record.Clone()
			change(next)
			published[fmt.Sprint(id, next.Version)] = next
			stores[id].setSelf(next, now)
		}
		for i, id := range ids {
			stores[id] = newStore(id)
			first := &fleet.NodeRecord{ID: id, Version: fleet.Version{Incarnation: uint64(i + 1)}}
			stores[id].setSelf(first, now)
			published[fmt.Sprint(id, first.Version)] = first
		}
		last := map[string]fleet.Version{}
		for range 150 {
			now = now.Add(time.Second)
			id := rapid.SampledFrom(ids).Draw(rt, "node")
			s := stores[id]
			switch rapid.IntRange(0, 7).Draw(rt, "step") {
			case 0:
				publish(id, func(r *fleet.NodeRecord) { r.Version.Sequence++; r.ConfigVersion++ })
			case 1:
				publish(id, func(r *fleet.NodeRecord) {
					r.Version.Sequence++
					r.Servers = append(r.Servers, fleet.ServerRecord{ID: fmt.Sprint(r.Version)})
				})
			case 2:
				publish(id, func(r *fleet.NodeRecord) { r.Version.Incarnation += 10; r.Version.Sequence = 0; r.Servers = nil })
			case 3:
				headerBatches = append(headerBatches, s.headers(ids))
				recordBatches = append(recordBatches, s.records(ids))
			default:
				if len(headerBatches) > 0 {
					i := rapid.IntRange(0, len(headerBatches)-1).Draw(rt, "which")
					s.applyHeaders(headerBatches[i], "peer", now)
					j := rapid.IntRange(0, len(recordBatches)-1).Draw(rt, "which")
					s.applyRecords(recordBatches[j], "peer", now)
				}
			}
			for id, known := range s.entries {
				key := s.selfID + id
				if last[key].Newer(known.record.Version) {
					rt.Fatalf("%s: the record of %s went back from version %v to %v", s.selfID, id, last[key], known.record.Version)
				}
				last[key] = known.record.Version
				want := published[fmt.Sprint(id, known.record.Version)]
				if !sameBody(known.record, want) || known.record.ConfigVersion != want.ConfigVersion {
					rt.Fatalf("%s: the record of %s at version %v differs from the published one", s.selfID, id, known.record.Version)
				}
			}
			a, b := stores["a"], stores["b"]
			if differ, _ := a.differingBuckets(b.bucketHashes()); (a.hash == b.hash) != (len(differ) == 0) {
				rt.Fatal("the hashes of the stores and their bucket hashes disagree")
			}
		}
	})
}
