package confsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/controller"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// history is a platform that remembers the state after each change. Changes
// may land between any two reads, and reads may fail.
type history struct {
	*platform.Memory
	states []map[string]string // states[n] is the state after change n
	before func()              // runs before each read
	down   bool
	reads  int
}

func newHistory() *history {
	return &history{Memory: platform.NewMemory(), states: []map[string]string{{}}}
}

func (h *history) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if err := h.beforeRead(); err != nil {
		return platform.Row{}, err
	}
	return h.Memory.Get(ctx, table, key)
}

func (h *history) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	if err := h.beforeRead(); err != nil {
		return nil, err
	}
	return h.Memory.Scan(ctx, table, prefix, after, limit)
}

func (h *history) beforeRead() error {
	h.reads++
	if h.before != nil {
		h.before()
	}
	if h.down {
		return platform.ErrUnavailable
	}
	return nil
}

// change writes one change; an empty value deletes the row.
func (h *history) change(values map[string]string) {
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

// directPeers calls the handlers of other Syncers. An answer may be lost.
type directPeers struct {
	syncers map[string]*Syncer
	lose    func() bool
	before  func(id string) // runs before each answer
}

func (d *directPeers) Call(ctx context.Context, id, _ string, params, result any) error {
	if d.before != nil {
		d.before(id)
	}
	raw, _ := json.Marshal(params)
	answer, err := d.syncers[id].AnswerSince(ctx, raw)
	if err == nil && d.lose != nil && d.lose() {
		return errors.New("answer lost")
	}
	raw, _ = json.Marshal(answer)
	return errors.Join(err, json.Unmarshal(raw, result))
}

// check demands that each key has a value that it had at the version in force
// or later, which is what "version N in force" promises, and returns an error
// otherwise. last is the version that was seen before.
func check(m *mirror, h *history, last uint64) error {
	version, _ := m.state()
	if version < last {
		return fmt.Errorf("the version fell from %d to %d", last, version)
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

// Guards against a version that falls, a version in force that lacks a change
// up to it, and rows that go back: changes land between reads, reads fail,
// answers of peers are lost, peers move on between two pages, change rows are
// pruned, and rows come from peers that are themselves behind.
func TestVersionHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory()
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
			h.change(values)
		}
		h.before = func() {
			h.down = rapid.IntRange(0, 19).Draw(rt, "down") == 0
			if rapid.IntRange(0, 5).Draw(rt, "land") == 0 {
				change()
			}
		}
		peers := &directPeers{syncers: map[string]*Syncer{}, lose: func() bool { return rapid.IntRange(0, 4).Draw(rt, "lose") == 0 }}
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
		peers.before = func(id string) {
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
				prune(h, uint64(len(h.states)-rapid.IntRange(1, 2).Draw(rt, "prune")))
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
				if err := check(m, h, last[name]); err != nil {
					rt.Fatalf("%s: %v", name, err)
				}
				last[name], _ = m.state()
			}
		}
	})
}

// Guards against a row that was deleted, written and deleted again staying in
// force at a node that saw it in between and takes the whole configuration from
// a peer that saw the first deletion only (TestVersionHolds,
// -rapid.seed=10732779384388490092).
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

// prune deletes the change rows up to a version.
func prune(h *history, upTo uint64) {
	for version := uint64(1); version <= upTo; version++ {
		writes := []platform.Write{{Key: fleet.ChangeKey(version)}}
		_ = h.Transact(context.Background(), fleet.Table, nil, writes)
	}
}

// Guards against a node that is ready with an old configuration while the
// platform is down, at the start and after a freeze, against polls that load a
// platform in trouble, and against a node that never recovers.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		h := newHistory()
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
		h.change(map[string]string{"service/a": "1"})
		for _, name := range []string{"x", "y", "z"} {
			board := start(name)
			time.Sleep(time.Second)
			if view := board.View(); !view.Ready || view.Config.Version != 1 {
				t.Fatalf("%s started with the platform up: ready %v, version %d", name, view.Ready, view.Config.Version)
			}
		}
		h.down = true
		h.reads = 0
		lonely := start("lonely", "lost")
		start("lost", "lonely")
		late := start("late", "x", "y", "z", "lonely")
		time.Sleep(10 * time.Second)
		if lonely.View().Ready {
			t.Fatal("a node is ready although no peer has a configuration")
		}
		if view := late.View(); !view.Ready || view.Config.Version != 1 {
			t.Fatalf("started with the platform down: ready %v, version %d", view.Ready, view.Config.Version)
		}
		time.Sleep(3 * time.Hour)
		if perMinute := float64(h.reads) / 6 / 180; perMinute > 1.5 {
			t.Fatalf("%.1f reads a minute for each node during an outage", perMinute)
		}
		peers.syncers["late"].Refresh()
		time.Sleep(2 * time.Second)
		if !late.View().Ready {
			t.Fatal("not ready again after a freeze while the peers answer")
		}
		h.down = false
		time.Sleep(2 * time.Minute)
		if !lonely.View().Ready {
			t.Fatal("not ready although the platform is back")
		}
	})
}

// Guards against an accepted change that nobody has in force because the
// platform failed right after the transaction, and against one that comes into
// force before the changes that precede it.
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
