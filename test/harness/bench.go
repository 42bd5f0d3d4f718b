package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// benchCommand measures what the fleet adds to a request.
type benchCommand struct {
	Rate     float64       `long:"rate" default:"1000" description:"arrivals per second on each path while latency is measured"`
	Duration time.Duration `long:"duration" default:"10s" description:"length of the latency measurement"`
	Workers  int           `long:"workers" default:"32" description:"closed-loop workers of the throughput measurement"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
}

// benchPath is one way to the same kind of server.
type benchPath struct {
	name string
	url  string
	// nodes are the processes whose processor time counts.
	nodes     []*instance
	mu        sync.Mutex
	latencies []time.Duration
	failures  int
}

// benchResult is the last line of the output.
type benchResult struct {
	Path             string  `json:"path"`
	P50MS            float64 `json:"p50_ms"`
	P99MS            float64 `json:"p99_ms"`
	P999MS           float64 `json:"p999_ms"`
	AddedP50MS       float64 `json:"added_p50_ms"`
	AddedP99MS       float64 `json:"added_p99_ms"`
	AddedP999MS      float64 `json:"added_p999_ms"`
	RequestsPerS     float64 `json:"requests_per_s"`
	RequestsPerCoreS float64 `json:"requests_per_core_s"`
	// AllocationsPerRequest counts those of all nodes on the path.
	AllocationsPerRequest float64 `json:"allocations_per_request"`
	Failures              int     `json:"failures"`
}

const benchSeed = `services:
  - {name: near, floor_slots: 256, preset: paramo}
  - {name: far, floor_slots: 256, preset: paramo}
routes:
  - {id: near, prefix: /near/, service: near}
  - {id: far, prefix: /far/, service: far}
`

// Execute implements flags.Commander.
func (c *benchCommand) Execute([]string) error {
	f, err := c.fleet()
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return err
	}
	paths := benchPaths(f)
	if err := waitAnswers(paths); err != nil {
		return err
	}
	c.latency(paths)
	var results []benchResult
	for _, p := range paths {
		result := benchResult{Path: p.name, Failures: p.failures}
		result.P50MS, result.P99MS, result.P999MS = p.quantile(0.5), p.quantile(0.99), p.quantile(0.999)
		result.AddedP50MS = result.P50MS - paths[0].quantile(0.5)
		result.AddedP99MS = result.P99MS - paths[0].quantile(0.99)
		result.AddedP999MS = result.P999MS - paths[0].quantile(0.999)
		results = append(results, result)
	}
	for i, p := range paths {
		c.throughput(p, &results[i])
	}
	return printBench(results)
}

func (c *benchCommand) fleet() (*fleet, error) {
	dir := "run/bench"
	d := deployment{
		name: "bench", region: "local", dataCentres: []string{"one"},
		services: []service{{"near", 1, false}, {"far", 1, false}},
		slots:    256, conns: 1000,
	}
	f, err := newFleet(d, dir)
	if err != nil {
		return nil, err
	}
	f.serviceTime = "0s"
	f.noRecord = true
	f.deployment.seedFile = filepath.Join(dir, "seed.yaml")
	return f, trace.ConvertSystemError(os.WriteFile(f.deployment.seedFile, []byte(benchSeed), 0o644))
}

func benchPaths(f *fleet) []*benchPath {
	near, far := f.instances[0], f.instances[1]
	return []*benchPath{
		{name: "direct", url: fmt.Sprintf("http://127.0.0.1:%d/near/x", near.serverPort)},
		{name: "one hop", url: "http://" + near.addr(listenCaller) + "/near/x", nodes: []*instance{near}},
		{name: "two hops", url: "http://" + near.addr(listenCaller) + "/far/x", nodes: []*instance{near, far}},
	}
}

func waitAnswers(paths []*benchPath) error {
	deadline := time.Now().Add(readyLimit)
	for _, p := range paths {
		for p.call() != nil {
			if time.Now().After(deadline) {
				return trace.LimitExceeded("path %s gives no answers", p.name)
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

var benchClient = &http.Client{
	Timeout:   5 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 512},
}

func (p *benchPath) call() error {
	request, err := http.NewRequest(http.MethodGet, p.url, nil)
	if err != nil {
		return err
	}
	response, err := benchClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("status %s", response.Status)
	}
	return nil
}

// latency sends Poisson arrivals to the paths in turn, so that all of them see
// the same state of the machine.
func (c *benchCommand) latency(paths []*benchPath) {
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	var wait sync.WaitGroup
	next := time.Now()
	end := next.Add(c.Duration)
	for n := 0; next.Before(end); n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.Rate / float64(len(paths)) * float64(time.Second)))
		time.Sleep(time.Until(next))
		p := paths[n%len(paths)]
		wait.Go(func() { p.measure() })
	}
	wait.Wait()
}

func (p *benchPath) measure() {
	begin := time.Now()
	err := p.call()
	took := time.Since(begin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failures++
		return
	}
	p.latencies = append(p.latencies, took)
}

func (p *benchPath) quantile(q float64) float64 {
	if len(p.latencies) == 0 {
		return 0
	}
	sort.Slice(p.latencies, func(i, j int) bool { return p.latencies[i] < p.latencies[j] })
	index := min(int(q*float64(len(p.latencies))), len(p.latencies)-1)
	return p.latencies[index].Seconds() * 1000
}

// throughputTime is the length of one throughput measurement.
const throughputTime = 4 * time.Second

// throughput measures the requests per second of closed-loop workers, and per
// second of processor time and per allocation of the nodes.
func (c *benchCommand) throughput(p *benchPath, result *benchResult) {
	before, allocated := cpuSeconds(p.nodes), allocations(p.nodes)
	begin := time.Now()
	var wait sync.WaitGroup
	counts := make([]int, c.Workers)
	for w := range c.Workers {
		wait.Go(func() {
			for time.Since(begin) < throughputTime {
				if p.call() == nil {
					counts[w]++
				}
			}
		})
	}
	wait.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	result.RequestsPerS = float64(total) / time.Since(begin).Seconds()
	if len(p.nodes) > 0 && total > 0 {
		result.RequestsPerCoreS = float64(total) / (cpuSeconds(p.nodes) - before)
		result.AllocationsPerRequest = (allocations(p.nodes) - allocated) / float64(total)
	}
}

// allocations returns the heap objects that the nodes have allocated.
func allocations(nodes []*instance) float64 {
	total := 0.0
	for _, i := range nodes {
		total += i.metric("go_memstats_mallocs_total")
	}
	return total
}

// cpuSeconds returns the processor time of the nodes, from /proc.
func cpuSeconds(nodes []*instance) float64 {
	total := 0.0
	for _, i := range nodes {
		total += processCPU(i.node.cmd.Process.Pid)
	}
	return total
}

// clockTicks is the unit of the times in /proc/PID/stat on Linux, per second.
const clockTicks = 100

func processCPU(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The second field, the name, may hold spaces; the times are the 12th and
	// 13th field after it.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

func printBench(results []benchResult) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "path\tp50 ms\tp99 ms\tp99.9 ms\tadded p50\tadded p99\tadded p99.9\trequests/s\trequests/core s\tallocations\tfailures\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t\n", r.Path, r.P50MS, r.P99MS, r.P999MS,
			r.AddedP50MS, r.AddedP99MS, r.AddedP999MS, r.RequestsPerS, r.RequestsPerCoreS, r.AllocationsPerRequest, r.Failures)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(json.NewEncoder(os.Stdout).Encode(results))
}
