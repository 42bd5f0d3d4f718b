package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/api"
)

// convergenceCommand measures how soon an accepted change is in force at every
// node, and what control costs a node.
type convergenceCommand struct {
	Nodes   int           `long:"nodes" default:"21" description:"number of nodes"`
	Changes int           `long:"changes" default:"10" description:"accepted changes in each case"`
	Idle    time.Duration `long:"idle" default:"10s" description:"length of the idle measurement"`
}

const (
	// convergenceLimit is the time in which a change must be in force.
	convergenceLimit = 16 * time.Second
	// lookInterval is the time between two looks at a node.
	lookInterval = 20 * time.Millisecond
)

// convergenceCase is the result for one state of the platform and the links.
type convergenceCase struct {
	Case            string  `json:"case"`
	Nodes           int     `json:"nodes"`
	InForceP50MS    float64 `json:"in_force_p50_ms"`
	InForceP99MS    float64 `json:"in_force_p99_ms"`
	InForceMaxMS    float64 `json:"in_force_max_ms"`
	BytesPerSNode   float64 `json:"bytes_per_s_node"`
	CPUPercentNode  float64 `json:"cpu_percent_node"`
	RSSMBNode       float64 `json:"rss_mb_node"`
	NotInForceNodes int     `json:"not_in_force_nodes"`
}

const convergenceSeed = `services:
  - {name: bulk, floor_slots: 0, preset: paramo}
routes:
  - {id: bulk, prefix: /bulk/, service: bulk}
operators:
  - {id: operations, role: operator, token_hash: 0aee31aa0367b4d15782f38aa21f55f2af1afb7e914fbedad544ac492fc71872}
  - {id: compliance, role: approver, token_hash: 88da25de7c41c69251521306e437acea10e87f326a989f2c3c1c6a4b2c21df94}
`

// Execute implements flags.Commander.
func (c *convergenceCommand) Execute([]string) error {
	f, err := c.fleet()
	if err != nil {
		return err
	}
	defer f.stop()
	linked := []int{1 % c.Nodes, 2 % c.Nodes}
	if err := f.startLinked(linked); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	cases := []convergenceCase{c.idle(f)}
	for _, run := range []struct {
		name         string
		begin, after func()
	}{
		{"platform up", func() {}, func() {}},
		{"platform down after the acceptance", f.platformUp, f.platformDown},
		{"one-way cuts towards two nodes", func() { f.platformUp(); f.cutLinked(linked, "forward") }, func() {}},
	} {
		result, err := c.measure(f, run.name, run.begin, run.after)
		if err != nil {
			return err
		}
		cases = append(cases, result)
	}
	f.cutLinked(linked, "none")
	return printConvergence(cases)
}

func (c *convergenceCommand) fleet() (*fleet, error) {
	dir := "run/convergence"
	f, err := newFleet(deployment{
		name: "convergence", region: "local",
		dataCentres: []string{"one", "two", "three", "four", "five", "six", "seven"},
		services:    []service{{"bulk", c.Nodes, false}},
		slots:       6, conns: 350,
		operator: "example-operator-token-trust-not-for-production",
		approver: "example-approver-token-trust-not-for-production",
	}, dir)
	if err != nil {
		return nil, err
	}
	f.noRecord = true
	f.deployment.seedFile = filepath.Join(dir, "seed.yaml")
	return f, trace.ConvertSystemError(os.WriteFile(f.deployment.seedFile, []byte(convergenceSeed), 0o644))
}

func (f *fleet) platformUp()   { _ = post(f.platformURL+"/faults", "{}") }
func (f *fleet) platformDown() { _ = post(f.platformURL+"/faults", `{"down":true}`) }

func (f *fleet) cutLinked(linked []int, direction string) {
	for _, n := range linked {
		i := f.instances[n]
		_ = i.controlLink.cut(direction)
		_ = i.trafficLink.cut(direction)
	}
}

// idle measures the cost of control without changes.
func (c *convergenceCommand) idle(f *fleet) convergenceCase {
	before := f.readCost()
	time.Sleep(c.Idle)
	return f.cost("idle", before)
}

// measure accepts changes and waits for each until it is in force everywhere.
func (c *convergenceCommand) measure(f *fleet, name string, begin, after func()) (convergenceCase, error) {
	begin()
	before := f.readCost()
	var times []time.Duration
	late := 0
	for n := range c.Changes {
		f.platformUp()
		// The breakers of the nodes close again within their pause.
		if err := f.waitPlatform(); err != nil {
			return convergenceCase{}, err
		}
		taken, missing, err := f.changeFloor(n+1, after)
		if err != nil {
			return convergenceCase{}, err
		}
		times = append(times, taken...)
		late += missing
	}
	f.platformUp()
	result := f.cost(name, before)
	result.NotInForceNodes = late
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	if len(times) > 0 {
		result.InForceP50MS = milliseconds(times[len(times)/2])
		result.InForceP99MS = milliseconds(times[len(times)*99/100])
		result.InForceMaxMS = milliseconds(times[len(times)-1])
	}
	return result, nil
}

// waitPlatform waits until intents can be planned.
func (f *fleet) waitPlatform() error {
	deadline := time.Now().Add(readyLimit)
	for {
		var in api.IntentList
		err := f.adminGet(f.instances[0], api.PathIntents, &in)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return trace.Wrap(err, "the platform does not come back")
		}
		time.Sleep(pollPause)
	}
}

// changeFloor accepts one change, calls after, and returns for each node the
// time from the approval until the change was in force there.
func (f *fleet) changeFloor(slots int, after func()) (times []time.Duration, missing int, err error) {
	var in api.Intent
	if err := f.ctl(f.deployment.operator, &in, "intent", "floor", "bulk", fmt.Sprint(slots), "--reason", "harness"); err != nil {
		return nil, 0, err
	}
	if err := f.accept(in); err != nil {
		return nil, 0, err
	}
	approved := time.Now()
	after()
	var status api.Status
	if err := f.adminGet(f.instances[0], api.PathStatus, &status); err != nil {
		return nil, 0, err
	}
	want := max(status.ConfigVersion, f.lastVersion+1)
	f.lastVersion = want
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, i := range f.instances {
		wait.Go(func() {
			took, ok := f.waitVersion(i, want, approved)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				missing++
				return
			}
			times = append(times, took)
		})
	}
	wait.Wait()
	return times, missing, nil
}

// waitVersion waits until a node itself has the version in force. The metrics
// page is read, because the administration API of a node may be slower.
func (f *fleet) waitVersion(i *instance, want uint64, approved time.Time) (time.Duration, bool) {
	for time.Since(approved) < 2*convergenceLimit {
		if uint64(i.metric("tarragon_config_version")) >= want {
			return time.Since(approved), true
		}
		time.Sleep(lookInterval)
	}
	return 0, false
}

// cost is what the control of all nodes has used so far.
type cost struct {
	at         time.Time
	bytes, cpu float64
}

func (f *fleet) readCost() cost {
	c := cost{at: time.Now()}
	for _, i := range f.instances {
		c.bytes += i.metric("tarragon_gossip_sent_bytes_total") + i.metric("tarragon_gossip_received_bytes_total")
		c.cpu += processCPU(i.node.cmd.Process.Pid)
	}
	return c
}

// cost returns the use per node since before. Bytes are those sent and received.
func (f *fleet) cost(name string, before cost) convergenceCase {
	now := f.readCost()
	seconds := now.at.Sub(before.at).Seconds()
	nodes := float64(len(f.instances))
	result := convergenceCase{
		Case:           name,
		Nodes:          len(f.instances),
		BytesPerSNode:  (now.bytes - before.bytes) / seconds / nodes,
		CPUPercentNode: 100 * (now.cpu - before.cpu) / seconds / nodes,
	}
	for _, i := range f.instances {
		result.RSSMBNode += residentMB(i.node.cmd.Process.Pid) / nodes
	}
	return result
}

func printConvergence(cases []convergenceCase) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "case\tnodes\tp50 ms\tp99 ms\tmax ms\tbytes/s a node\tcpu %\trss MB\tnot in force\t")
	for _, c := range cases {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.1f\t%d\t\n", c.Case, c.Nodes,
			c.InForceP50MS, c.InForceP99MS, c.InForceMaxMS, c.BytesPerSNode, c.CPUPercentNode, c.RSSMBNode, c.NotInForceNodes)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for _, c := range cases[1:] {
		if err := json.NewEncoder(os.Stdout).Encode(c); err != nil {
			return trace.Wrap(err)
		}
	}
	return lastLine(cases)
}

// lastLine prints the case with the platform up, with the worst times of all
// cases, and fails if a change was not in force in time.
func lastLine(cases []convergenceCase) error {
	worst := cases[1]
	worst.Case = "worst of all cases"
	for _, c := range cases[1:] {
		worst.InForceP50MS = max(worst.InForceP50MS, c.InForceP50MS)
		worst.InForceP99MS = max(worst.InForceP99MS, c.InForceP99MS)
		worst.InForceMaxMS = max(worst.InForceMaxMS, c.InForceMaxMS)
		worst.BytesPerSNode = max(worst.BytesPerSNode, c.BytesPerSNode)
		worst.CPUPercentNode = max(worst.CPUPercentNode, c.CPUPercentNode)
		worst.RSSMBNode = max(worst.RSSMBNode, c.RSSMBNode)
		worst.NotInForceNodes += c.NotInForceNodes
	}
	if err := json.NewEncoder(os.Stdout).Encode(worst); err != nil {
		return trace.Wrap(err)
	}
	if worst.NotInForceNodes > 0 {
		return trace.CompareFailed("a change was not in force at %d nodes", worst.NotInForceNodes)
	}
	return nil
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}
