//go:build review

package cases

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tarragonford/tarragonford/platform/standin"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Failed = 2
)

// Ports of every machine, relative to the base port of a run.
const (
	portOutbound = iota
	portInbound
	portReady
	portControl
	portApp
	portRange
	portRangeEnd = portRange + 7
)

// Host is the host of all routes.
const Host = "shop.example"

// Options describe a deployment.
type Options struct {
	// Services are the services, one machine for each entry.
	Services []string
	MemoryMB int
	MaxBody  int64
	// Routes are the paths of the manifest.
	Routes []Route
	// StoreDelay is how long the store takes for a call.
	StoreDelay time.Duration
}

// Route is one path of the manifest.
type Route struct {
	Prefix      string  `json:"prefix"`
	Name        string  `json:"name"`
	Service     string  `json:"service"`
	Type        string  `json:"type"`
	TimeoutS    float64 `json:"timeout_s"`
	TargetS     float64 `json:"target_latency_s"`
	MaxAttempts int     `json:"max_attempts"`
	Priority    int     `json:"priority"`
}

// Rig is a running deployment.
type Rig struct {
	Dir      string
	Store    *standin.Store
	Machines []*Machine
	options  Options
	record   *os.File
	mu       sync.Mutex
	started  time.Time
	port     int
	version  int
	storeSrv *http.Server
	storeAt  string
	delay    time.Duration
	// silence is closed when the store falls silent.
	silence chan struct{}
	silent  bool
	Trouble bool
}

// Machine is a node and the backend server beside it.
type Machine struct {
	Rig     *Rig
	Name    string
	IP      string
	Service string
	Server  *Server
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	stopped bool
	// Ended counts the ends of the process that the case did not cause.
	Restart bool
}

// Fail ends the case because it could not run.
func (r *Rig) Fail(format string, args ...any) {
	r.Note("could not run: "+format, args...)
	r.Close()
	os.Exit(Failed)
}

// Note writes a line to record.txt.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.record, format+"\n", args...)
}

// Since returns the time since the start of the rig, as in the record.
func (r *Rig) Since(t time.Time) float64 { return t.Sub(r.started).Seconds() }

// New starts the store and the machines, and waits until all nodes are ready. The record is
// written to record.txt in the folder that RECORD_DIR names.
func New(o Options) *Rig {
	record, err := os.Create(filepath.Join(os.Getenv("RECORD_DIR"), "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
	r := &Rig{options: o, record: record, started: time.Now(), Store: standin.NewStore(), Trouble: os.Getenv("TROUBLE") != "0"}
	r.delay, r.silence = 4*time.Millisecond, make(chan struct{})
	if o.StoreDelay > 0 {
		r.delay = o.StoreDelay
	}
	if r.Dir, err = os.MkdirTemp("", "tarragon-review-"); err != nil {
		r.Fail("%v", err)
	}
	r.Note("trouble: %v", r.Trouble)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fail("%v", err)
	}
	r.storeAt = listener.Addr().String()
	r.storeSrv = &http.Server{Handler: http.HandlerFunc(r.serveStore)}
	go r.storeSrv.Serve(listener)
	r.pickPorts()
	r.Configure(o.Routes)
	for i, service := range o.Services {
		r.addMachine(i, service)
	}
	for _, m := range r.Machines {
		m.Start(true)
	}
	for _, m := range r.Machines {
		go m.heartbeats()
	}
	for _, m := range r.Machines {
		if !m.AwaitReady(20 * time.Second) {
			r.Fail("node %s did not become ready", m.Name)
		}
	}
	// All members know each other after the first read of the members table.
	time.Sleep(4 * time.Second)
	r.Note("all nodes are ready")
	return r
}

// SetStoreDelay changes how long the store takes for a call.
func (r *Rig) SetStoreDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Silence makes the store answer nothing for a time. The connections of calls that are under way then,
// or come in that time, deliver nothing further.
func (r *Rig) Silence(length time.Duration) {
	r.Note("the store is silent")
	r.mu.Lock()
	silence := r.silence
	r.silent = true
	r.mu.Unlock()
	close(silence)
	time.Sleep(length)
	r.mu.Lock()
	r.silent, r.silence = false, make(chan struct{})
	r.mu.Unlock()
	r.Note("the store serves again")
}

func (r *Rig) serveStore(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	delay, silent, silence := r.delay, r.silent, r.silence
	r.mu.Unlock()
	if silent {
		<-req.Context().Done()
		return
	}
	time.Sleep(delay)
	answer := &lostAnswer{ResponseWriter: w, silence: silence, gone: req.Context().Done()}
	r.Store.ServeHTTP(answer, req)
}

// lostAnswer holds an answer back for good once the store has been silent.
type lostAnswer struct {
	http.ResponseWriter
	silence <-chan struct{}
	gone    <-chan struct{}
}

func (l *lostAnswer) hold() {
	select {
	case <-l.silence:
		<-l.gone
	default:
	}
}

// WriteHeader implements http.ResponseWriter.
func (l *lostAnswer) WriteHeader(status int) {
	l.hold()
	l.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (l *lostAnswer) Write(data []byte) (int, error) {
	l.hold()
	return l.ResponseWriter.Write(data)
}

// RanAt returns the service whose server ran a request; empty if none did.
func (r *Rig) RanAt(id string) string {
	for _, m := range r.Machines {
		for _, run := range m.Server.Runs() {
			if run.ID == id {
				return m.Service
			}
		}
	}
	return ""
}

// pickPorts draws a block of loopback addresses and a base port that are free.
func (r *Rig) pickPorts() {
	block := 10 + rand.IntN(200)
	for range 50 {
		port := 20000 + rand.IntN(10000)
		free := true
		for offset := range portRangeEnd {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.77.1:%d", block, port+offset))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			r.port = port
			for i := range r.options.Services {
				r.Machines = append(r.Machines, &Machine{Rig: r, IP: fmt.Sprintf("127.%d.77.%d", block, i+1)})
			}
			return
		}
	}
	r.Fail("no free ports")
}

// Configure writes the next manifest.
func (r *Rig) Configure(routes []Route) {
	r.version++
	services := []any{}
	seen := map[string]bool{}
	for _, s := range r.options.Services {
		if !seen[s] {
			services = append(services, map[string]any{"name": s, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false})
		}
		seen[s] = true
	}
	maxBody := r.options.MaxBody
	if maxBody == 0 {
		maxBody = 67108864
	}
	document, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", r.version), "services": services,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_s": 3, "idle_timeout_s": 15},
		"virtual_hosts": []any{map[string]any{"host": Host, "paths": routes}},
	})
	if err != nil {
		r.Fail("%v", err)
	}
	r.Store.Put("op", "config", document)
	r.Note("manifest r%d acknowledged", r.version)
}

func (r *Rig) addMachine(i int, service string) {
	m := r.Machines[i]
	m.Name, m.Service = fmt.Sprintf("sidecar-%d", i+1), service
	server, err := newServer(r, fmt.Sprintf("i-%d", i+1), m.At(portApp))
	if err != nil {
		r.Fail("%v", err)
	}
	m.Server = server
	m.writeSettings(true)
}

// At returns the address of a port of the machine.
func (m *Machine) At(port int) string { return fmt.Sprintf("%s:%d", m.IP, m.Rig.port+port) }

// Outbound returns the address for clients.
func (m *Machine) Outbound() string { return m.At(portOutbound) }

func (m *Machine) writeSettings(bootstrap bool) {
	memory := m.Rig.options.MemoryMB
	if memory == 0 {
		memory = 284
	}
	settings := fmt.Sprintf(`node: %q
role: "sidecar"
machine_class: "sidecar"
serves: ["sidecar"]
ip: %q
zone: "colombo"
region: "western"
zones: {colombo: "western"}
listen: {inbound: %q, outbound: %q, ready: %q, control: %q}
port_range: [%d, %d]
seeds: []
bootstrap: %v
limits: {cpu_share: 0.32, cpu_cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_s: 1.5
bounds: ["stable_window_s=3", "drain_s=2", "grace_s=6", "config_apply_s=2", "retry_budget_ratio=0.2", "budget_window_s=10", "budget_slack=60"]
app_addr: %q
service: %q
platform: {address: %q, form: "table", writes_per_s: 400, reads_per_s: 2000}
`, m.Name, m.IP, m.At(portInbound), m.At(portOutbound), m.At(portReady), m.At(portControl),
		m.Rig.port+portRange, m.Rig.port+portRangeEnd, bootstrap, memory, m.Server.addr, m.Service, m.Rig.storeAt)
	if err := os.WriteFile(m.settings(), []byte(settings), 0o600); err != nil {
		m.Rig.Fail("%v", err)
	}
}

func (m *Machine) settings() string { return filepath.Join(m.Rig.Dir, m.Name+".yaml") }

// Start starts the process of the node.
func (m *Machine) Start(bootstrap bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	m.writeSettings(bootstrap)
	log, err := os.OpenFile(filepath.Join(m.Rig.Dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.Rig.Note("%v", err)
		return
	}
	run := strings.Fields(os.Getenv("SIDECAR"))
	m.process = exec.Command(run[0], run[1:]...)
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "TARRAGONFORD_SETTINGS=" + m.settings()}
	m.process.Stdout, m.process.Stderr = log, log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		m.Rig.Note("%s not started: %v", m.Name, err)
		return
	}
	m.Rig.Note("%s started, pid %d", m.Name, m.process.Process.Pid)
	ended, process := make(chan struct{}), m.process
	m.ended = ended
	go func() {
		err := process.Wait()
		log.Close()
		m.Rig.Note("%s ended: %v", m.Name, err)
		close(ended)
	}()
}

// PID returns the process ID of the node.
func (m *Machine) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Process.Pid
}

// Signal sends a signal to the node.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Rig.Note("%s gets %v", m.Name, s)
	if err := m.process.Process.Signal(s); err != nil {
		m.Rig.Note("%s: %v", m.Name, err)
	}
}

// AwaitEnd waits until the process has ended.
func (m *Machine) AwaitEnd(limit time.Duration) bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Ready asks the node whether it is ready.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.At(portReady) + "/tarragonford/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the node is ready.
func (m *Machine) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if m.Ready() {
			return true
		}
	}
	return false
}

// Call sends a registration call of the machine's server and returns the status; 0 without one.
func (m *Machine) Call(call, id string, body map[string]any) int {
	data, _ := json.Marshal(body)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+m.At(portControl)+"/tarragonford/rpc?call="+call+"&of="+id, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return response.StatusCode
}

// Beat returns the next check-in of the machine's server.
func (m *Machine) Beat() map[string]any {
	s := m.Server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": m.Service, "address": s.addr, "zone": "colombo", "version": "v1", "slots": s.Slots, "state": s.State,
		"cold_remaining_s": 0, "sequence": s.sequence, "born": s.born,
	}
}

func (m *Machine) heartbeats() {
	for ; ; time.Sleep(1500 * time.Millisecond) {
		m.Server.mu.Lock()
		silent := m.Server.Silent
		m.Server.mu.Unlock()
		if !silent {
			m.Call("instances.heartbeat", m.Server.ID, m.Beat())
		}
	}
}

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	for _, m := range r.Machines {
		m.mu.Lock()
		m.stopped = true
		if m.process != nil && m.process.Process != nil {
			m.process.Process.Kill()
		}
		ended := m.ended
		m.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", r.Dir)
	} else if r.Dir != "" {
		os.RemoveAll(r.Dir)
	}
}

// End closes the rig and exits with the verdict.
func (r *Rig) End(broken bool, format string, args ...any) {
	verdict := "held"
	code := Held
	if broken {
		verdict, code = "broken", Broken
	}
	r.Note("rule "+verdict+": "+format, args...)
	fmt.Printf("rule "+verdict+": "+format+"\n", args...)
	r.Close()
	os.Exit(code)
}
