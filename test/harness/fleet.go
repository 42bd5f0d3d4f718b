package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/api"
)

const (
	readyLimit = 20 * time.Second
	stopLimit  = 20 * time.Second
	pollPause  = 50 * time.Millisecond
)

// instance is one machine of the deployment: a backend server and the node in
// its slot.
type instance struct {
	index      int
	id         string
	server     string
	service    string
	dataCentre string
	ports      [5]int
	serverPort int
	node       *process
	backend    *process
	// life counts the starts of the server, so that each life has its own seed.
	life int
	// controlLink, trafficLink and serverLink are relays in front of the node
	// and the server; nil if others reach them directly.
	controlLink, trafficLink, serverLink *link
	// mu guards the processes and the counts of the faults that hit them.
	mu                   sync.Mutex
	nodeHits, serverHits int
	// nodeBusy and serverBusy are held while the process is replaced.
	nodeBusy, serverBusy sync.Mutex
}

// hits returns the number of faults that hit the node or the server.
func (i *instance) hits(node bool) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if node {
		return i.nodeHits
	}
	return i.serverHits
}

// addr returns an address of the node, by the index of its listener.
func (i *instance) addr(listener int) string { return fmt.Sprintf("127.0.0.1:%d", i.ports[listener]) }

// The listeners of a node, in the order of instance.ports.
const (
	listenCaller = iota
	listenTraffic
	listenControl
	listenAttach
	listenAdmin
)

// fleet is the set of processes of one run.
type fleet struct {
	deployment deployment
	dir        string
	// serviceTime is the mean service time of the servers, as a flag value.
	serviceTime string
	// noRecord keeps servers from writing what they ran, for measurements.
	noRecord    bool
	platform    *process
	platformURL string
	instances   []*instance
	// platformLink is a relay in front of the platform, for every second node.
	platformLink *link
	links        []*link
	// lastVersion is the newest version of the configuration that was waited for.
	lastVersion uint64
}

// newFleet writes nothing yet; start does.
func newFleet(d deployment, dir string) (*fleet, error) {
	if err := os.RemoveAll(dir); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	f := &fleet{deployment: d, dir: dir, serviceTime: "10ms"}
	for _, s := range d.services {
		for n := 0; n < s.servers; n++ {
			f.addInstance(s.name, n)
		}
	}
	return f, nil
}

func (f *fleet) addInstance(service string, n int) {
	index := len(f.instances)
	i := &instance{
		index:      index,
		id:         fmt.Sprintf("node-%s-%d", service, n),
		server:     fmt.Sprintf("%s-%d", service, n),
		service:    service,
		dataCentre: f.deployment.dataCentres[index%len(f.deployment.dataCentres)],
	}
	f.instances = append(f.instances, i)
}

func (f *fleet) assignPorts() error {
	ports, err := freePorts(1 + 6*len(f.instances))
	if err != nil {
		return err
	}
	f.platformURL = fmt.Sprintf("http://127.0.0.1:%d", ports[0])
	for n, i := range f.instances {
		copy(i.ports[:], ports[1+6*n:6+6*n])
		i.serverPort = ports[6+6*n]
	}
	return nil
}

// start starts every process and waits until every node is ready and knows
// every server.
func (f *fleet) start() error {
	if err := f.assignPorts(); err != nil {
		return err
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	return f.startInstances()
}

func (f *fleet) startInstances() error {
	for _, i := range f.instances {
		if err := f.startNode(i); err != nil {
			return err
		}
		if err := f.startServer(i); err != nil {
			return err
		}
	}
	return f.waitReady()
}

func (f *fleet) startPlatform() error {
	var err error
	f.platform, err = start(f.dir, "platform", "tarragon-standin", "platform",
		"--listen", strings.TrimPrefix(f.platformURL, "http://"), "--seed", f.deployment.seedFile)
	return err
}

func (f *fleet) startNode(i *instance) error {
	name := filepath.Join(f.dir, i.id+".yaml")
	if err := os.WriteFile(name, []byte(f.settings(i)), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	p, err := start(f.dir, i.id, "tarragond", "--config", name)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.node = p
	return err
}

// settings returns the settings file of a node. The first nodes are the seeds.
func (f *fleet) settings(i *instance) string {
	var seeds []string
	for _, other := range f.instances[:min(3, len(f.instances))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.addr(listenControl)))
	}
	platformURL := f.platformURL
	if f.platformLink != nil && i.index%2 == 1 {
		platformURL = "http://" + f.platformLink.addr
	}
	return fmt.Sprintf(`id: %s
region: %s
data_centre: %s
listen:
  caller: %s
  traffic: %s
  control: %s
  attach: %s
  admin: %s
%sseeds: [%s]
platform:
  url: %s
secret: example-secret-not-for-production
timing:
  stop_limit: 30s
telemetry:
  log_format: json
`, i.id, f.deployment.region, i.dataCentre,
		i.addr(listenCaller), i.addr(listenTraffic), i.addr(listenControl), i.addr(listenAttach), i.addr(listenAdmin),
		i.advertised(), strings.Join(seeds, ", "), platformURL)
}

// advertised returns the settings of the addresses that go through relays.
func (i *instance) advertised() string {
	if i.controlLink == nil {
		return ""
	}
	return fmt.Sprintf("advertise:\n  traffic: %s\n  control: %s\n", i.trafficLink.addr, i.controlLink.addr)
}

func (f *fleet) startServer(i *instance) error {
	i.life++
	record := filepath.Join(f.dir, "runs-"+i.server+".jsonl")
	if f.noRecord {
		record = ""
	}
	args := []string{"server",
		"--id", i.server, "--service", i.service,
		"--listen", fmt.Sprintf("127.0.0.1:%d", i.serverPort),
		"--node", i.addr(listenAttach),
		"--slots", fmt.Sprint(f.deployment.slots), "--conn-limit", fmt.Sprint(f.deployment.conns),
		"--service-time", f.serviceTime,
		"--record", record,
		"--seed", fmt.Sprint(1000*i.life + i.index)}
	if i.serverLink != nil {
		args = append(args, "--advertise", i.serverLink.addr)
	}
	p, err := start(f.dir, i.server, "tarragon-standin", args...)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.backend = p
	return err
}

// waitReady waits until every node is ready.
func (f *fleet) waitReady() error {
	deadline := time.Now().Add(readyLimit)
	for _, i := range f.instances {
		for !f.nodeReady(i) || !f.knowsAll(i) {
			if time.Now().After(deadline) {
				return trace.LimitExceeded("node %s is not ready after %s", i.id, readyLimit)
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

// knowsAll reports whether the node knows every server of the fleet.
func (f *fleet) knowsAll(i *instance) bool {
	if f.deployment.operator == "" {
		return true
	}
	var servers []api.ServerStatus
	if f.adminGet(i, api.PathServers, &servers) != nil {
		return false
	}
	return len(servers) == len(f.instances)
}

func (f *fleet) nodeReady(i *instance) bool {
	response, err := http.Get("http://" + i.addr(listenAdmin) + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// setFaults tells a server how to misbehave; faults is a JSON object.
func (f *fleet) setFaults(i *instance, faults string) error {
	url := fmt.Sprintf("http://127.0.0.1:%d/-/faults", i.serverPort)
	response, err := http.Post(url, "application/json", strings.NewReader(faults))
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return trace.BadParameter("%s refused the faults: %s", i.server, response.Status)
	}
	return nil
}

// stop ends every process that this run started: servers first, so that they
// drain, then nodes, then the platform.
func (f *fleet) stop() {
	for _, i := range f.instances {
		if i.backend != nil {
			i.backend.signal(syscall.SIGCONT)
			i.backend.signal(syscall.SIGTERM)
		}
	}
	for _, i := range f.instances {
		endProcess(i.backend)
	}
	for _, i := range f.instances {
		if i.node != nil {
			i.node.signal(syscall.SIGCONT)
			i.node.signal(syscall.SIGTERM)
		}
	}
	for _, i := range f.instances {
		endProcess(i.node)
	}
	for _, l := range f.links {
		l.end()
	}
	if f.platform != nil {
		f.platform.signal(syscall.SIGCONT)
		f.platform.signal(syscall.SIGTERM)
		endProcess(f.platform)
	}
}

func endProcess(p *process) {
	if p != nil && !p.wait(stopLimit) {
		p.kill()
	}
}

// entries returns caller addresses spread over the fleet.
func (f *fleet) entries(count int) []string {
	var entries []string
	step := max(1, len(f.instances)/count)
	for n := 0; n < len(f.instances) && len(entries) < count; n += step {
		entries = append(entries, f.instances[n].addr(listenCaller))
	}
	return entries
}

// writeInstance returns the n-th instance of the service that takes writes.
func (f *fleet) writeInstance(n int) *instance {
	for _, s := range f.deployment.services {
		if s.writes {
			return f.instancesOf(s.name)[n]
		}
	}
	return f.instances[n]
}

func (f *fleet) instancesOf(service string) []*instance {
	var found []*instance
	for _, i := range f.instances {
		if i.service == service {
			found = append(found, i)
		}
	}
	return found
}
