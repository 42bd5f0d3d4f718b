package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/report"
)

// load is one running load generator.
type load struct {
	process *process
	csv     string
}

// mix returns the mix file of the deployment: reads, and writes of which half
// carry a key, half of these issued by a node.
func (d deployment) mix(seed uint64, rate float64, length time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed: %d\nrate: %g\nduration: %s\ndeadline: 2s\ntargets:\n", seed, rate, length)
	for _, s := range d.services {
		writes := 0.0
		if s.writes {
			writes = 0.8
		}
		fmt.Fprintf(&b, "  - {service: %s, path: /%s/, weight: %d, writes: %g, keyed: 0.5, node_keys: 0.5}\n",
			s.name, s.name, s.servers, writes)
	}
	return b.String()
}

// startLoad starts a load generator against the given entries.
func (f *fleet) startLoad(name string, entries []string, seed uint64, rate float64, length time.Duration) (*load, error) {
	mix := filepath.Join(f.dir, name+".mix.yaml")
	if err := os.WriteFile(mix, []byte(f.deployment.mix(seed, rate, length)), 0o644); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	l := &load{csv: filepath.Join(f.dir, name+".csv")}
	args := []string{"run", "--mix", mix, "--run-id", name, "--csv", l.csv, "--json", filepath.Join(f.dir, name+".json")}
	for _, entry := range entries {
		args = append(args, "--entry", entry)
	}
	var err error
	l.process, err = start(f.dir, name, "tarragon-load", args...)
	return l, err
}

// evidence is what callers and servers wrote down in a run.
type evidence struct {
	comparison *report.Comparison
	attempts   []report.Attempt
	records    []report.Record
	// printed counts the requests that were printed whole.
	printed int
}

// collect reads the files of the callers and of every server.
func (f *fleet) collect(loads ...*load) (*evidence, error) {
	e := &evidence{comparison: report.NewComparison()}
	for _, l := range loads {
		if err := e.readAttempts(l.csv); err != nil {
			return nil, err
		}
	}
	names, err := filepath.Glob(filepath.Join(f.dir, "runs-*.jsonl"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, name := range names {
		if err := e.readRecords(name); err != nil {
			return nil, err
		}
	}
	return e, nil
}

func (e *evidence) readAttempts(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	err = report.ReadAttempts(file, func(a report.Attempt) {
		e.attempts = append(e.attempts, a)
		e.comparison.AddAttempt(a)
	})
	return trace.Wrap(err, "read %s", name)
}

func (e *evidence) readRecords(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	_, err = report.ReadRecords(file, func(r report.Record) {
		e.records = append(e.records, r)
		e.comparison.AddRecord(r)
	})
	return trace.Wrap(err, "read %s", name)
}

// runTime returns the time that each request took at its server, by token, for
// requests that ran once.
func (e *evidence) runTime() map[string]time.Duration {
	times := map[string]time.Duration{}
	for _, r := range e.records {
		if r.Outcome == report.OutcomeStarted {
			continue
		}
		if _, twice := times[r.Token]; twice {
			times[r.Token] = -1
			continue
		}
		times[r.Token] = r.EndedAt.Sub(r.StartedAt)
	}
	return times
}
