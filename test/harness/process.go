package main

import (
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// process is one started program. Its output goes to a file of its own.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	mu   sync.Mutex
	err  error
}

// start runs a program of the bin directory.
func start(runDir, name, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(runDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	cmd := exec.Command(filepath.Join("bin", program), args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		log.Close()
		return nil, trace.Wrap(err, "start %s", name)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	started.mu.Lock()
	started.list = append(started.list, p)
	started.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

// started are all processes of this run, so that an interrupted run ends them.
var started struct {
	mu   sync.Mutex
	list []*process
}

// killOnSignal ends every process of the run when the harness is told to stop.
// A closed standard output, as of a pipe into head, must not end the harness
// before its processes.
func killOnSignal() {
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		started.mu.Lock()
		defer started.mu.Unlock()
		for _, p := range started.list {
			p.signal(syscall.SIGKILL)
		}
		os.Exit(exitNotRun)
	}()
}

// signal sends a signal to the process if it still runs.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		// A process that ended meanwhile needs no signal.
		_ = p.cmd.Process.Signal(s)
	}
}

// wait waits for the end of the process and reports whether it came in time.
func (p *process) wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
