package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/gravitational/trace"
)

const (
	// EventWindow is how long before a request the events of its nodes bear on it, a
	// little more than the longest time that nodes take to agree.
	EventWindow = 5 * time.Second
	// callWindow is the time before the failure of a run in which a failed call
	// of its server explains it.
	callWindow = 50 * time.Millisecond
	// maxLine bounds a log line in bytes.
	maxLine = 1 << 20
)

// Hop is one node that a request was sent to, as its entry logged it.
type Hop struct {
	Node   string   `json:"node"`
	Result string   `json:"result"`
	SentMS int64    `json:"sent_ms"`
	EndMS  int64    `json:"ended_ms"`
	AgeMS  *int64   `json:"age_ms"`
	WaitMS *int64   `json:"wait_ms"`
	Doubt  *float64 `json:"doubt"`
}

// Line is a log line of a node. Fields that its message does not have are empty.
type Line struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"msg"`
	Node     string    `json:"node"`
	Request  string    `json:"request"`
	Route    string    `json:"route"`
	Service  string    `json:"target_service"`
	Status   int       `json:"status"`
	Code     int       `json:"code"`
	Reason   string    `json:"reason"`
	Result   string    `json:"result"`
	Error    string    `json:"error"`
	Hops     []Hop     `json:"hops"`
	Attempts int       `json:"attempts"`
	Running  int       `json:"running"`
	Waiting  []int     `json:"waiting"`
	Doubt    float64   `json:"doubt"`
	Evidence string    `json:"evidence"`
	Version  uint64    `json:"version"`
	Config   uint64    `json:"config"`
	Took     string    `json:"took"`
	Peer     string    `json:"peer"`
	Leaving  bool      `json:"leaving"`
	Server   string    `json:"server"`
	// Dependency is the part of the platform that was lost or regained.
	Dependency string `json:"dependency"`
}

// UnmarshalJSON implements json.Unmarshaler. The version of the build is a text
// and that of a configuration a number, under one name.
func (l *Line) UnmarshalJSON(data []byte) error {
	type plain Line
	var fields struct {
		*plain
		Version json.RawMessage `json:"version"`
	}
	fields.plain = (*plain)(l)
	if err := json.Unmarshal(data, &fields); err != nil {
		return trace.Wrap(err)
	}
	// A text is the version of the build, which nothing here needs.
	_ = json.Unmarshal(fields.Version, &l.Version)
	return nil
}

// Log is what was read of all nodes.
type Log struct {
	// Lines are in the order of their times.
	Lines []Line
	// Unparsed counts the lines that are no log lines.
	Unparsed int
	// Incomplete tells that nodes have left out lines.
	Incomplete bool
}

// Read adds the lines of one reader to the log. Text before the JSON object of a
// line is skipped, because collectors put names and times there. Sort ends the
// reading.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			l.Unparsed++
			continue
		}
		var line Line
		if err := json.Unmarshal(scanner.Bytes()[start:], &line); err != nil || line.Message == "" {
			l.Unparsed++
			continue
		}
		l.Incomplete = l.Incomplete || line.Message == "log lines left out" || line.Message == "log lines dropped"
		l.Lines = append(l.Lines, line)
	}
	return trace.Wrap(scanner.Err())
}

// Sort puts the lines of all readers in the order of their times.
func (l *Log) Sort() {
	sort.SliceStable(l.Lines, func(i, j int) bool { return l.Lines[i].Time.Before(l.Lines[j].Time) })
}

// LinesFor returns the lines that tell the way of a request and what bears on it, in
// the order of their times. It is empty if no line names the request.
func (l *Log) LinesFor(request string) []Line {
	var own []Line
	for _, line := range l.Lines {
		if line.Request == request && (line.Message == "request" || line.Message == "host") {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return nil
	}
	way := own
	for _, line := range own {
		way = append(way, l.causes(line, own)...)
	}
	return sorted(way)
}

// causes returns the lines that bear on what a line of the request tells.
func (l *Log) causes(line Line, own []Line) []Line {
	nodes := map[string]bool{line.Node: true}
	for _, hop := range line.Hops {
		nodes[hop.Node] = true
	}
	var found []Line
	trust := map[string]Line{}
	for _, other := range l.Lines {
		if other.Time.After(line.Time) {
			break
		}
		age := line.Time.Sub(other.Time)
		switch {
		case !nodes[other.Node]:
		case other.Message == "server doubtful" || other.Message == "server trusted":
			trust[other.Node] = other
		case isEvent(other) && age <= EventWindow:
			found = append(found, other)
		case failedHere(line) && other.Message == "request" && other.Node == line.Node &&
			other.Request != line.Request && other.Status >= 500 && age <= callWindow:
			found = append(found, other)
		}
	}
	for _, other := range trust {
		found = append(found, other)
	}
	return found
}

// failedHere reports whether the line tells that a server failed the request.
func failedHere(line Line) bool {
	return line.Message == "host" && (line.Result == "lost" || line.Status >= 500)
}

// isEvent reports whether a line tells a change of its node that bears on all of
// its requests.
func isEvent(line Line) bool {
	switch line.Message {
	case "started", "stopping", "stopped", "server", "configuration in force", "dependency lost", "dependency regained", "ready":
		return true
	}
	return false
}

// sorted returns the lines by time, each once.
func sorted(lines []Line) []Line {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	var once []Line
	seen := map[string]bool{}
	for _, line := range lines {
		key := line.Time.Format(time.RFC3339Nano) + line.Node + line.Message + line.Request
		if !seen[key] {
			seen[key] = true
			once = append(once, line)
		}
	}
	return once
}
