package main

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

// logLine is what the harness reads of a line of a node's log.
type logLine struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	Node      string    `json:"node"`
	Subject   string    `json:"subject"`
	From      string    `json:"from"`
	To        string    `json:"to"`
	Target    string    `json:"target"`
	Server    string    `json:"server"`
	Invariant string    `json:"invariant"`
	Cut       int       `json:"requests_cut"`
}

// stateChanges returns the changes of state in the logs of all nodes.
func (f *fleet) stateChanges() ([]logLine, error) {
	names, err := filepath.Glob(filepath.Join(f.dir, "node-*.log"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var lines []logLine
	for _, name := range names {
		found, err := readStateChanges(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	return lines, nil
}

func readStateChanges(name string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var line logLine
		// Other output, such as a panic, is not JSON.
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Message == "state changed" {
			lines = append(lines, line)
		}
	}
	return lines, trace.Wrap(scanner.Err())
}

// firstChange returns the first change of a subject to a state after a time.
func firstChange(lines []logLine, after time.Time, match func(logLine) bool) (time.Time, bool) {
	var first time.Time
	for _, line := range lines {
		if line.Time.Before(after) || !match(line) {
			continue
		}
		if first.IsZero() || line.Time.Before(first) {
			first = line.Time
		}
	}
	return first, !first.IsZero()
}
