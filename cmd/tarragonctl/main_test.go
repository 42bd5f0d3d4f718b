package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/admin"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intentstore"
	"github.com/tarragonford/tarragonford/internal/platform"
	"github.com/tarragonford/tarragonford/internal/seed"
)

const (
	operatorToken = "example-operator-token-trust-not-for-production"
	approverToken = "example-approver-token-trust-not-for-production"
	deadNode      = "http://127.0.0.1:1"
)

// fixture runs the administration API of a node with a platform reached over HTTP.
type fixture struct {
	*WithT
	t      *testing.T
	url    string
	memory *platform.Memory
	faults *platform.Faults
	view   atomic.Pointer[fleet.View]
}

// View implements admin.ViewSource.
func (f *fixture) View() *fleet.View { return f.view.Load() }

func newFixture(t *testing.T) *fixture {
	f := &fixture{WithT: NewWithT(t), t: t, memory: platform.NewMemory(), faults: platform.NewFaults()}
	file, err := seed.Load("../../deploy/trust/fleet.yaml")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(seed.Apply(context.Background(), f.memory, file)).To(Succeed())
	store := httptest.NewServer(platform.NewHandler(f.memory, f.memory, f.faults))
	t.Cleanup(store.Close)
	client := platform.NewClient(store.URL, platform.ClientOptions{Timeout: time.Second, Backoff: time.Millisecond, OpenInterval: time.Millisecond})
	f.view.Store(measuresView(1))
	node := httptest.NewServer(admin.NewHandler(admin.Dependencies{
		Engine: intentstore.New(client, intentstore.Options{}), Views: f, Store: client,
	}))
	t.Cleanup(node.Close)
	f.url = node.URL
	return f
}

// measuresView returns a view with 6 servers of the service measures, each on its
// own node, at the given configuration version.
func measuresView(version uint64) *fleet.View {
	view := &fleet.View{Config: fleet.EmptyConfig(), Nodes: map[string]*fleet.NodeRecord{}, Ready: true}
	sv := &fleet.ServiceView{Service: fleet.Service{Name: "measures", FloorSlots: 24}, AnnouncedSlots: 36, RoutableSlots: 36}
	for i := range 6 {
		node := &fleet.NodeRecord{ID: fmt.Sprintf("node-%d", i), DataCentre: "colombo", ConfigVersion: version}
		server := &fleet.ServerRecord{ID: fmt.Sprintf("measures-%d", i), Service: "measures", Slots: 6, Health: fleet.Healthy}
		view.Nodes[node.ID], view.Self = node, node
		sv.Candidates = append(sv.Candidates, fleet.Candidate{Server: server, Host: node, Warmth: 1})
	}
	view.Services = map[string]*fleet.ServiceView{"measures": sv}
	return view
}

// ctl runs one command with a token, first against a node that does not answer,
// and returns its exit code and output.
func (f *fixture) ctl(token string, args ...string) (int, string) {
	var stdout, stderr bytes.Buffer
	args = append([]string{"--node", deadNode, "--node", f.url}, args...)
	code := run(args, &stdout, &stderr, func(name string) string {
		return map[string]string{"TARRAGON_TOKEN": token}[name]
	})
	return code, stdout.String() + stderr.String()
}

var nextPattern = regexp.MustCompile(`tarragonctl confirm (\S+) --plan (\d+)`)

// withdraw creates and plans a withdrawal, and returns its ID and plan number.
func (f *fixture) withdraw(server string) (string, string) {
	code, text := f.ctl(operatorToken, "intent", "withdraw", "server", server, "--reason", "disk errors")
	f.Expect(code).To(Equal(exitOK), text)
	match := nextPattern.FindStringSubmatch(text)
	f.Expect(match).To(HaveLen(3), text)
	return match[1], match[2]
}

// TestWithdrawalOverHTTP guards against a life cycle that works in the engine but
// not through the command and the API: two confirmations, the wait for every
// node, and the audit.
func TestWithdrawalOverHTTP(t *testing.T) {
	f := newFixture(t)
	id, plan := f.withdraw("measures-3")
	code, text := f.ctl(approverToken, "approve", id, "--plan", plan)
	f.Expect(code).To(Equal(exitRefused), text)
	f.Expect(text).To(ContainSubstring("4009 wrong-state"))
	code, text = f.ctl(operatorToken, "confirm", id, "--plan", plan)
	f.Expect(code).To(Equal(exitOK), text)
	code, text = f.ctl(operatorToken, "approve", id, "--plan", plan)
	f.Expect(code).To(Equal(exitIdentity), text)

	code, text = f.ctl(approverToken, "approve", id, "--plan", plan, "--wait", "--wait-timeout", "100ms")
	f.Expect(code).To(Equal(exitWaitTimeout), text)
	f.Expect(text).To(ContainSubstring("version 2 is in force at 0 of 6 reachable nodes"))
	f.view.Store(measuresView(2))
	code, text = f.ctl(approverToken, "approve", id, "--plan", plan, "--wait")
	f.Expect(code).To(Equal(exitOK), text)

	code, text = f.ctl(operatorToken, "audit", id, "-o", "json")
	f.Expect(code).To(Equal(exitOK), text)
	var audit []api.Audit
	f.Expect(json.Unmarshal([]byte(text), &audit)).To(Succeed())
	f.Expect(audit).To(HaveLen(4))
	f.Expect(audit[3].Actor).To(Equal("compliance"))
	_, err := f.memory.Get(context.Background(), fleet.Table, fleet.PrefixWithdrawal+id)
	f.Expect(err).NotTo(HaveOccurred())
}

// TestRefusals guards against a rejected step without its result code, an action
// or the documented exit code.
func TestRefusals(t *testing.T) {
	f := newFixture(t)
	first, firstPlan := f.withdraw("measures-1")
	second, secondPlan := f.withdraw("measures-2")
	third, thirdPlan := f.withdraw("measures-3")
	for id, plan := range map[string]string{first: firstPlan, second: secondPlan} {
		code, text := f.ctl(operatorToken, "confirm", id, "--plan", plan)
		f.Expect(code).To(Equal(exitOK), text)
	}
	code, text := f.ctl(approverToken, "approve", first, "--plan", firstPlan)
	f.Expect(code).To(Equal(exitOK), text)
	for _, c := range []struct {
		code  int
		want  string
		token string
		args  []string
	}{
		{exitRefused, "4008 plan-stale", approverToken, []string{"approve", second, "--plan", secondPlan}},
		{exitRefused, "4008 plan-stale", operatorToken, []string{"confirm", third, "--plan", thirdPlan}},
		{exitRefused, "4006 unknown-target", operatorToken, []string{"intent", "withdraw", "server", "no-such"}},
		{exitRefused, "4011 nothing-withdrawn", operatorToken, []string{"intent", "return", "server", "measures-4"}},
		{exitRefused, "4005 unknown-intent", operatorToken, []string{"intent", "get", "no-such"}},
		{exitRefused, "4001 bad-intent", operatorToken, []string{"intent", "withdraw", "rack", "r1"}},
		{exitIdentity, "4002 unauthenticated", "guess", []string{"status"}},
		{exitIdentity, "4003 forbidden", approverToken, []string{"intent", "floor", "measures", "12"}},
		{exitUsage, "4014 bad-command", operatorToken, []string{"confirm", first}},
	} {
		code, text := f.ctl(c.token, c.args...)
		f.Expect(code).To(Equal(c.code), text)
		f.Expect(text).To(And(ContainSubstring(c.want), ContainSubstring("What to do: ")))
	}
	code, text = f.ctl(operatorToken, "intent", "floor", "measures", "31")
	f.Expect(code).To(Equal(exitOK), text)
	f.Expect(text).To(And(ContainSubstring("refused"), ContainSubstring("healthy capacity is 30 slots before and 30 during the change, and the floor is 31 slots")))
}

// TestReadsDuringOutage guards against reads of the fleet state that need the
// platform, and against steps that hang or report success while it is down.
func TestReadsDuringOutage(t *testing.T) {
	f := newFixture(t)
	id, plan := f.withdraw("measures-3")
	f.faults.Set(platform.FaultSettings{Down: true})
	for _, args := range [][]string{{"status"}, {"nodes"}, {"servers", "--service", "measures"}, {"services", "-o", "yaml"}} {
		code, text := f.ctl(operatorToken, args...)
		f.Expect(code).To(Equal(exitOK), text)
	}
	code, text := f.ctl(operatorToken, "confirm", id, "--plan", plan)
	f.Expect(code).To(Equal(exitUnavailable), text)
	f.Expect(text).To(ContainSubstring("6001 store-down"))
	f.faults.Set(platform.FaultSettings{DropAnswers: 1})
	f.Eventually(func() int {
		code, text = f.ctl(operatorToken, "confirm", id, "--plan", plan)
		return code
	}, 10*time.Second).Should(Equal(exitOK), text)
}

// TestTokenFileAndHelp guards against a token file whose trailing newline makes
// the token invalid, and against commands without an example in their help.
func TestTokenFileAndHelp(t *testing.T) {
	f := newFixture(t)
	path := filepath.Join(t.TempDir(), "token")
	f.Expect(os.WriteFile(path, []byte(operatorToken+"\n"), 0o600)).To(Succeed())
	code, text := f.ctl("", "--token-file", path, "status")
	f.Expect(code).To(Equal(exitOK), text)
	for _, args := range [][]string{{"--help"}, {"intent", "maintenance", "--help"}} {
		code, text = f.ctl("", args...)
		f.Expect(code).To(Equal(exitOK))
		f.Expect(text).To(ContainSubstring("Example"))
	}
}
