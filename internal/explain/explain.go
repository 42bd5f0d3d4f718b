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
	// EventWindow is the time before a request in which events on its nodes may
	// explain its outcome. It is a little more than the longest time that nodes take
	// to converge.
	EventWindow = 5 * time.Second
	// failedCallWindow is the time before the failure of a request in which a failed
	// call made by its server may explain it.
	failedCallWindow = 50 * time.Millisecond
	// maxLine is the maximum length of a log line in bytes.
	maxLine = 1 << 20
)

// Hop is one node that a request was sent to, as logged by its entry node. AgeMS,
// WaitMS and Doubt are those of the load report; nil if there was none.
type Hop struct {
	Node   string   `json:"node"`
	Result string   `json:"result"`
	SentMS int64    `json:"sent_ms"`
	EndMS  int64    `json:"ended_ms"`
	AgeMS  *int64   `json:"age_ms"`
	WaitMS *int64   `json:"wait_ms"`
	Doubt  *float64 `json:"doubt"`
}

// Line is a log line of a node. Fields that its message does not carry are zero.
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
	// ServerService is the service of the server beside a node that started.
	ServerService string `json:"server_service"`
	// PerSecond is the rate that a server accepts, if Limited is set.
	Limited   bool    `json:"limited"`
	PerSecond float64 `json:"per_second"`
	// Dependency is the platform dependency that was lost or regained.
	Dependency string `json:"dependency"`
}

// UnmarshalJSON implements json.Unmarshaler. The key "version" holds either the
// build version, a string, or the configuration version, a number.
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
	// An error means that it is the build version, which is not needed here.
	_ = json.Unmarshal(fields.Version, &l.Version)
	return nil
}

// Log holds the log lines read from all nodes.
type Log struct {
	// Lines are the parsed lines; Sort orders them by time.
	Lines []Line
	// Unparsed counts the lines that are not log lines.
	Unparsed int
	// Incomplete reports whether a node suppressed or dropped lines.
	Incomplete bool
}

// Read appends the lines of r to the log. Text before the JSON object of a line is
// skipped, because log collectors put names and times there. Call Sort after the
// last Read.
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

// Sort orders the lines of all nodes by time.
func (l *Log) Sort() {
	sort.SliceStable(l.Lines, func(i, j int) bool { return l.Lines[i].Time.Before(l.Lines[j].Time) })
}

// LinesFor returns the lines of a request and those that may explain its outcome,
// ordered by time. It returns nil if no line names the request.
func (l *Log) LinesFor(request string) []Line {
	var requestLines []Line
	for _, line := range l.Lines {
		if line.Request == request && (line.Message == "request" || line.Message == "host") {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	timeline := requestLines
	for _, line := range requestLines {
		timeline = append(timeline, l.causes(line, requestLines)...)
	}
	return sortedUnique(timeline)
}

// causes returns the lines that may explain the given line of the request.
func (l *Log) causes(line Line, requestLines []Line) []Line {
	nodes := map[string]bool{line.Node: true}
	for _, hop := range line.Hops {
		nodes[hop.Node] = true
	}
	// A refused request need not have reached any node: the limits of the servers were known.
	limiting := map[string]bool{}
	var found []Line
	trustChanges, rateChanges := map[string]Line{}, map[string]Line{}
	for _, other := range l.Lines {
		if other.Time.After(line.Time) {
			break
		}
		age := line.Time.Sub(other.Time)
		if line.Message == "request" && line.Code != 0 && other.Message == "started" && other.ServerService == line.Service {
			limiting[other.Node] = true
		}
		switch {
		case other.Message == "server rate limit" && (nodes[other.Node] || limiting[other.Node]):
			rateChanges[other.Node] = other
		case !nodes[other.Node]:
		case other.Message == "server doubtful" || other.Message == "server trusted":
			trustChanges[other.Node] = other
		case isNodeEvent(other) && age <= EventWindow:
			found = append(found, other)
		case serverFailed(line) && other.Message == "request" && other.Node == line.Node &&
			other.Request != line.Request && other.Status >= 500 && age <= failedCallWindow:
			found = append(found, other)
		}
	}
	for _, other := range trustChanges {
		found = append(found, other)
	}
	for _, other := range rateChanges {
		if other.Limited || line.Time.Sub(other.Time) <= EventWindow {
			found = append(found, other)
		}
	}
	return found
}

// serverFailed reports whether the line records that the server failed the request.
func serverFailed(line Line) bool {
	return line.Message == "host" && (line.Result == "lost" || line.Status >= 500)
}

// isNodeEvent reports whether a line records a change that affects all requests on
// its node.
func isNodeEvent(line Line) bool {
	switch line.Message {
	case "started", "stopping", "stopped", "server", "server announces its departure", "server announced its departure earlier", "configuration in force", "dependency lost", "dependency regained", "ready":
		return true
	}
	return false
}

// sortedUnique returns the lines ordered by time, without duplicates.
func sortedUnique(lines []Line) []Line {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	var unique []Line
	seen := map[string]bool{}
	for _, line := range lines {
		key := line.Time.Format(time.RFC3339Nano) + line.Node + line.Message + line.Request
		if !seen[key] {
			seen[key] = true
			unique = append(unique, line)
		}
	}
	return unique
}
