package confsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/controller"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// historyStore is a platform store that records the state after each change. Its
// hook can commit changes before any read, and reads can fail.
type historyStore struct {
	*platform.Memory
	states     []map[string]string // states[n] is the state after change n, by key
	beforeRead func()              // called before each read
	down       atomic.Bool
	reads      atomic.Int64
}

func newHistoryStore() *historyStore {
	return &historyStore{Memory: platform.NewMemory(), states: []map[string]string{{}}}
}

func (h *historyStore) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if err := h.prepareRead(); err != nil {
		return platform.Row{}, err
	}
	return h.Memory.Get(ctx, table, key)
}

func (h *historyStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	if err := h.prepareRead(); err != nil {
		return nil, err
	}
	return h.Memory.Scan(ctx, table, prefix, after, limit)
}

func (h *historyStore) prepareRead() error {
	h.reads.Add(1)
	if h.beforeRead != nil {
		h.beforeRead()
	}
	if h.down.Load() {
		return platform.ErrUnavailable
	}
	return nil
}

// writeChange commits one change; an empty value deletes the row.
func (h *historyStore) writeChange(values map[string]string) {
	version := uint64(len(h.states))
	state := maps.Clone(h.states[version-1])
	change := fleet.Change{Version: version}
	var writes []platform.Write
	for key, value := range values {
		write := platform.Write{Key: key}
		if value == "" {
			delete(state, key)
		} else {
			state[key] = value
			write.Value, _ = json.Marshal(fleet.Service{Name: value})
		}
		change.Keys = append(change.Keys, key)
		writes = append(writes, write)
	}
	h.states = append(h.states, state)
	row, _ := json.Marshal(change)
	counter, _ := json.Marshal(version)
	writes = append(writes, platform.Write{Key: fleet.KeyCounter, Value: counter},
		platform.Write{Key: fleet.ChangeKey(version), Value: row})
	if err := h.Transact(context.Background(), fleet.Table, nil, writes); err != nil {
		panic(err)
	}
}

// directPeers calls the handlers of other Syncers directly. Responses can be lost.
type directPeers struct {
	syncers      map[string]*Syncer
	loseAnswer   func() bool
	beforeAnswer func(id string) // called before each call
}

func (d *directPeers) Call(ctx context.Context, id, _ string, params, result any) error {
	if d.beforeAnswer != nil {
		d.beforeAnswer(id)
	}
	raw, _ := json.Marshal(params)
	answer, err := d.syncers[id].AnswerSince(ctx, raw)
	if err == nil && d.loseAnswer != nil && d.loseAnswer() {
		return errors.New("response lost")
	}
	raw, _ = json.Marshal(answer)
	return errors.Join(err, json.Unmarshal(raw, result))
}

// checkMirror returns an error unless each key has a value that it had at the
// version in force or later, which is the guarantee of "version N in force", and
// unless the version is at least last, the version seen before.
func checkMirror(m *mirror, h *historyStore, last uint64) error {
	version, _ := m.state()
	if version < last {
		return fmt.Errorf("the version went back from %d to %d", last, version)
	}
	if version >= uint64(len(h.states)) {
		return fmt.Errorf("version %d does not exist", version)
	}
	keys := map[string]bool{}
	for _, state := range h.states {
		for key := range state {
			keys[key] = true
		}
	}
	for key := range keys {
		var service fleet.Service
		if row, ok := m.rows[key]; ok && row.Value != nil {
			if err := json.Unmarshal(row.Value, &service); err != nil {
				return err
			}
		}
		known := false
		for _, state := range h.states[version:] {
			known = known || state[key] == service.Name
		}
		if !known {
			return fmt.Errorf("version %d in force, but %s is %q, an earlier value", version, key, service.Name)
		}
	}
	return nil
}

// TestVersionInForceIsComplete guards against a version that goes back, a version
// in force that lacks a change up to it, and rows that are replaced by older ones:
// changes are committed between reads, reads fail, responses of peers are lost,
// peers advance between two pages, change rows are pruned, and rows come from
// peers that are themselves behind.
func TestVersionInForceIsComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistoryStore()
		counter := 0
		change := func() {
			values := map[string]string{}
			for range rapid.IntRange(1, 3).Draw(rt, "keys") {
				key := fleet.PrefixService + rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "key")
				counter++
				values[key] = fmt.Sprint(counter)
				if rapid.Bool().Draw(rt, "delete") {
					values[key] = ""
				}
			}
			h.writeChange(values)
		}
		h.beforeRead = func() {
			h.down.Store(rapid.IntRange(0, 19).Draw(rt, "down") == 0)
			if rapid.IntRange(0, 5).Draw(rt, "land") == 0 {
				change()
			}
		}
		peers := &directPeers{syncers: map[string]*Syncer{}, loseAnswer: func() bool { return rapid.IntRange(0, 4).Draw(rt, "lose") == 0 }}
		names := []string{"x", "y", "z"}
		last := map[string]uint64{}
		start := func(name string) {
			board := blackboard.New(fleet.NodeRecord{ID: name})
			peers.syncers[name] = New(Options{Self: name, Board: board, Store: h, Peers: peers})
			peers.syncers[name].mirror.pageBytes = 60
			last[name] = 0
		}
		for _, name := range names {
			start(name)
		}
		peers.beforeAnswer = func(id string) {
			if rapid.IntRange(0, 2).Draw(rt, "poll") == 0 {
				_ = peers.syncers[id].readPlatform(context.Background())
			}
		}
		for range 200 {
			name := rapid.SampledFrom(names).Draw(rt, "node")
			s := peers.syncers[name]
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				start(name)
			case 1, 2:
				change()
				change()
				pruneChangeRows(h, uint64(len(h.states)-rapid.IntRange(1, 2).Draw(rt, "prune")))
			case 3, 4, 5:
				other := rapid.SampledFrom(names).Draw(rt, "peer")
				if other != name {
					_, _, _ = s.fetch(context.Background(), other)
				}
			default:
				_ = s.readPlatform(context.Background())
			}
			for _, name := range names {
				m := peers.syncers[name].mirror
				if err := checkMirror(m, h, last[name]); err != nil {
					rt.Fatalf("%s: %v", name, err)
				}
				last[name], _ = m.state()
			}
		}
	})
}

// TestSecondDeletionReachesPeers guards against a row that was deleted, written
// and deleted again but stays in force at a node that read the value in between
// and takes the whole configuration from a peer that saw only the first deletion
// (found by TestVersionInForceIsComplete with -rapid.seed=10732779384388490092).
func TestSecondDeletionReachesPeers(t *testing.T) {
	peer, node := newMirror(), newMirror()
	key := fleet.PrefixService + "a"
	peer.apply(update{version: 3, rows: []fleet.Row{{Key: key, Version: 3}}, full: true, horizon: 2})
	peer.apply(update{version: 6, full: true, horizon: 6})
	node.apply(update{version: 4, rows: []fleet.Row{{Key: key, Version: 4, Value: []byte("{}")}}, full: true, horizon: 2})
	rows, full, _ := peer.since(4, nil)
	version, horizon := peer.state()
	node.apply(update{version: version, rows: rows, full: full, horizon: horizon})
	if row := node.rows[key]; row.Value != nil {
		t.Fatalf("the deleted row %+v is in force", row)
	}
}

// pruneChangeRows deletes the change rows up to a version.
func pruneChangeRows(h *historyStore, upTo uint64) {
	for version := uint64(1); version <= upTo; version++ {
		writes := []platform.Write{{Key: fleet.ChangeKey(version)}}
		_ = h.Transact(context.Background(), fleet.Table, nil, writes)
	}
}

// TestReadinessDuringPlatformOutage guards against a node that is ready with an
// old configuration while the platform is down, at the start and after a freeze,
// against polls that add load to a failing platform, and against a node that
// stays not ready after the outage.
func TestReadinessDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		h := newHistoryStore()
		peers := &directPeers{syncers: map[string]*Syncer{}}
		start := func(name string, others ...string) *blackboard.Board {
			board := blackboard.New(fleet.NodeRecord{ID: name})
			s := New(Options{Self: name, Board: board, Store: h, Peers: peers})
			peers.syncers[name] = s
			board.Add(controller.NewConfiguration(s, 2*time.Second))
			go board.Run(ctx)
			go s.Run(ctx)
			board.Post(func(e *blackboard.Entries) {
				for _, other := range others {
					e.PutNode(&fleet.NodeRecord{ID: other})
				}
			})
			return board
		}
		h.writeChange(map[string]string{"service/a": "1"})
		for _, name := range []string{"x", "y", "z"} {
			board := start(name)
			time.Sleep(time.Second)
			if view := board.View(); !view.Ready || view.Config.Version != 1 {
				t.Fatalf("%s after a start with the platform up: ready %v, version %d", name, view.Ready, view.Config.Version)
			}
		}
		h.down.Store(true)
		h.reads.Store(0)
		isolated := start("isolated", "unready")
		start("unready", "isolated")
		lateStarter := start("late", "x", "y", "z", "isolated")
		time.Sleep(10 * time.Second)
		if isolated.View().Ready {
			t.Fatal("a node is ready although neither it nor its peer has a configuration")
		}
		if view := lateStarter.View(); !view.Ready || view.Config.Version != 1 {
			t.Fatalf("after a start with the platform down: ready %v, version %d", view.Ready, view.Config.Version)
		}
		time.Sleep(3 * time.Hour)
		if perMinute := float64(h.reads.Load()) / 6 / 180; perMinute > 1.5 {
			t.Fatalf("%.1f reads per minute and node during an outage", perMinute)
		}
		peers.syncers["late"].Refresh()
		time.Sleep(2 * time.Second)
		if !lateStarter.View().Ready {
			t.Fatal("not ready after a freeze although the peers answer")
		}
		h.down.Store(false)
		time.Sleep(2 * time.Minute)
		if !isolated.View().Ready {
			t.Fatal("not ready although the platform has recovered")
		}
	})
}

// TestAcceptedChangeNeedsNoPlatform guards against an accepted change that is in
// force at no node because the platform failed right after the transaction, and
// against one that comes into force before the changes that precede it.
func TestAcceptedChangeNeedsNoPlatform(t *testing.T) {
	s := New(Options{Self: "x", Board: blackboard.New(fleet.NodeRecord{ID: "x"})})
	key := fleet.PrefixService + "a"
	s.Accept(2, []fleet.Row{{Key: key, Version: 2, Value: []byte(`{"name":"second"}`)}})
	s.applyAccepted()
	if version, _ := s.mirror.state(); version != 0 {
		t.Fatalf("version %d is in force without the change before it", version)
	}
	s.Accept(1, []fleet.Row{{Key: key, Version: 1, Value: []byte(`{"name":"first"}`)}})
	s.applyAccepted()
	if version, _ := s.mirror.state(); version != 2 {
		t.Fatalf("version %d is in force after both changes", version)
	}
}
