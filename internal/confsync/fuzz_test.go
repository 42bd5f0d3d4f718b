package confsync

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/tarragonford/tarragonford/internal/fleet"
)

// FuzzAnswerSince guards against parameters of config.since that crash the node,
// and against a page with rows that the peer already has.
func FuzzAnswerSince(f *testing.F) {
	f.Add([]byte(`{"from":"p","v":1,"after":{"v":1,"k":"route/a"}}`))
	f.Add([]byte(`{"from":"p","v":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := &Syncer{mirror: newMirror()}
		s.mirror.apply(update{version: 2, full: true, rows: []fleet.Row{
			{Key: "route/a", Version: 1}, {Key: "route/b", Version: 2}}})
		result, err := s.AnswerSince(context.Background(), json.RawMessage(raw))
		if err != nil {
			return
		}
		var params sinceParams
		if json.Unmarshal(raw, &params) != nil {
			t.Fatalf("malformed parameters %q were accepted", raw)
		}
		for _, row := range result.(sinceResult).Rows {
			if params.Version != 0 && row.Version <= params.Version {
				t.Fatalf("a peer at version %d was sent row %+v", params.Version, row)
			}
		}
	})
}
