package node

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/seed"
	"github.com/tarragonford/tarragonford/internal/settings"
	"github.com/tarragonford/tarragonford/internal/telemetry"
)

const (
	operatorToken = "token of the test's operator"
	// testTimeout bounds every wait in the tests. It is far above the limits that
	// the tests configure, so that tests do not fail on a busy machine.
	testTimeout = 30 * time.Second
)

// testFleet runs a platform stand-in and the nodes of one test.
type testFleet struct {
	t        *testing.T
	platform string
	seeds    []string
}

// testNode is a running node with the channels that stop it and signal its end.
type testNode struct {
	*Node
	stop  chan struct{}
	ended chan struct{}
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	store := platform.NewMemory()
	err := seed.Apply(context.Background(), store, seed.File{
		Services:  []fleet.Service{{Name: "s", Preset: "trust", DefaultDeadlineMS: 20_000}},
		Routes:    []fleet.Route{{ID: "r", Prefix: "/s/", Service: "s"}},
		Operators: []fleet.Operator{{ID: "o", Role: "operator", TokenHash: fleet.HashToken(operatorToken)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(platform.NewHandler(store, store, platform.NewFaults()))
	t.Cleanup(server.Close)
	return &testFleet{t: t, platform: server.URL}
}

// start starts a node and waits until it is ready.
func (f *testFleet) start(id string, change func(*settings.Node)) *testNode {
	f.t.Helper()
	config := settings.Defaults()
	config.ID, config.Region, config.DataCentre = id, "western", "colombo"
	config.Listen = settings.Listen{Caller: "127.0.0.1:0", Traffic: "127.0.0.1:0", Control: "127.0.0.1:0",
		Attach: "127.0.0.1:0", Admin: "127.0.0.1:0"}
	config.Seeds, config.Secret, config.Platform.URL = f.seeds, "secret of the tests of package node", f.platform
	config.Timing.GossipInterval = 50 * time.Millisecond
	config.Telemetry.LogLevel = "error"
	if change != nil {
		change(&config)
	}
	tele, err := telemetry.New(context.Background(), config, "test")
	if err != nil {
		f.t.Fatal(err)
	}
	built, err := New(config, tele)
	if err != nil {
		f.t.Fatal(err)
	}
	n := &testNode{Node: built, stop: make(chan struct{}), ended: make(chan struct{})}
	f.seeds = append(f.seeds, n.listeners.control.Addr().String())
	f.run(n)
	return n
}

func (f *testFleet) run(n *testNode) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(n.ended)
		if err := n.Run(ctx, n.stop); err != nil {
			f.t.Errorf("node %s: %v", n.config.ID, err)
		}
	}()
	f.t.Cleanup(func() {
		cancel()
		<-n.ended
	})
	// Also wait for the first configuration version, because the tests need the
	// seeded service and route.
	f.wait("node "+n.config.ID+" is ready", func() bool {
		view := n.board.View()
		return view.Ready && view.Config.Version > 0
	})
}

func (f *testFleet) wait(condition string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// attach starts a backend server, announces it to n and waits until entry can
// route to it.
func (f *testFleet) attach(n, entry *testNode, handler http.HandlerFunc) {
	f.t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
		handler(w, r)
	}))
	f.t.Cleanup(server.Close)
	body, err := json.Marshal(api.Announcement{ID: "b", Service: "s", Incarnation: 1, Slots: 8, ConnLimit: 100,
		Addr: strings.TrimPrefix(server.URL, "http://")})
	if err != nil {
		f.t.Fatal(err)
	}
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	url := "http://" + n.listeners.attach.Addr().String() + api.PathAnnounce
	go announce(url, body, done)
	f.wait("the server is a candidate", func() bool {
		service := entry.board.View().Services["s"]
		return service != nil && len(service.Candidates) == 1
	})
}

// announce repeats an announcement until done is closed. Errors are ignored,
// because the node may already have stopped.
func announce(url string, body []byte, done <-chan struct{}) {
	for {
		if response, err := http.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			response.Body.Close()
		}
		select {
		case <-done:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}
