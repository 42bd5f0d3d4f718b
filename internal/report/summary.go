package report

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// ResultCount counts the final results of requests with one code and outcome.
type ResultCount struct {
	// Code is the number of the result code; 0 for an answer of the server and
	// for requests without an answer.
	Code    int           `json:"code"`
	Name    string        `json:"name"`
	Outcome codes.Outcome `json:"outcome"`
	Check   Check         `json:"check"`
	Status  int           `json:"status"`
	Count   int           `json:"count"`
}

// Summary is the result of one load run.
type Summary struct {
	RunID     string    `json:"run_id"`
	Seed      uint64    `json:"seed"`
	Entries   []string  `json:"entries"`
	StartedAt time.Time `json:"started_at"`
	// Seconds is the time from the start of the run to the last response.
	Seconds float64 `json:"seconds"`
	// OfferedRate is the rate of arrivals per second over the arrival time.
	OfferedRate float64 `json:"offered_rate"`
	// Requests counts arrivals; Skipped those that were not sent because too
	// many requests were in flight.
	Requests int `json:"requests"`
	Skipped  int `json:"skipped"`
	// Attempts counts the attempts that were sent; Retries counts the attempts after the first one of
	// a request, sent or not.
	Attempts int `json:"attempts"`
	Retries  int `json:"repeats"`
	// Answered, RefusedNotRun and Unknown divide the requests that were sent, as
	// in Verdict.
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refused_not_run"`
	Unknown       int `json:"unknown"`
	// WrongAnswers, Truncated and CutOff count attempts; see Check.
	WrongAnswers int           `json:"wrong_answers"`
	Truncated    int           `json:"truncated"`
	CutOff       int           `json:"cut_off"`
	Results      []ResultCount `json:"results"`
	// Latency is that of answered requests, from the planned arrival to the end of the response, retries
	// included.
	Latency map[string]Latency `json:"latency"`
}

// Collector builds a Summary. It is not safe for concurrent use.
type Collector struct {
	summary   Summary
	results   map[ResultCount]int
	latencies map[string][]time.Duration
}

// NewCollector returns a Collector that starts from the given description of
// the run.
func NewCollector(description Summary) *Collector {
	return &Collector{summary: description, results: map[ResultCount]int{}, latencies: map[string][]time.Duration{}}
}

// Skip counts an arrival that was not sent.
func (c *Collector) Skip() {
	c.summary.Requests++
	c.summary.Skipped++
}

// Add counts one request with its attempts, of which there is at least one.
// The latency is measured from the planned arrival.
func (c *Collector) Add(attempts []Attempt, latency time.Duration) {
	c.summary.Requests++
	for _, attempt := range attempts {
		c.addAttempt(attempt)
	}
	c.summary.Retries += len(attempts) - 1
	last := attempts[len(attempts)-1]
	c.results[ResultCount{Code: last.Code, Outcome: last.Outcome, Check: last.Check, Status: last.Status}]++
	switch {
	case last.isAnswer():
		c.summary.Answered++
		c.addLatency(last, latency)
	case allNotRun(attempts):
		c.summary.RefusedNotRun++
	default:
		c.summary.Unknown++
	}
}

func allNotRun(attempts []Attempt) bool {
	return !slices.ContainsFunc(attempts, func(a Attempt) bool { return a.Outcome != codes.NotRun })
}

func (c *Collector) addLatency(last Attempt, latency time.Duration) {
	for _, name := range []string{"all", last.Target + " " + string(last.Kind)} {
		c.latencies[name] = append(c.latencies[name], latency)
	}
}

func (c *Collector) addAttempt(a Attempt) {
	if a.Check != CheckNotSent {
		c.summary.Attempts++
	}
	switch a.Check {
	case CheckWrong:
		c.summary.WrongAnswers++
	case CheckTruncated:
		c.summary.Truncated++
	case CheckCutOff:
		c.summary.CutOff++
	}
}

// Summary returns the summary of what was added, for a run that took the given
// time in total and in which requests arrived for the given time.
func (c *Collector) Summary(total, arrivals time.Duration) Summary {
	s := c.summary
	s.Seconds = total.Seconds()
	if arrivals > 0 {
		s.OfferedRate = float64(s.Requests) / arrivals.Seconds()
	}
	s.Results = c.sortedResults()
	s.Latency = map[string]Latency{}
	for name, durations := range c.latencies {
		s.Latency[name] = Summarise(durations)
	}
	return s
}

func (c *Collector) sortedResults() []ResultCount {
	list := make([]ResultCount, 0, len(c.results))
	for result, count := range c.results {
		result.Count = count
		if code, known := codes.ByNumber(result.Code); known {
			result.Name = code.Name
		}
		list = append(list, result)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Code != b.Code {
			return a.Code < b.Code
		}
		if a.Status != b.Status {
			return a.Status < b.Status
		}
		return a.Outcome+codes.Outcome(a.Check) < b.Outcome+codes.Outcome(b.Check)
	})
	return list
}

// WriteJSON writes the summary as indented JSON.
func (s Summary) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(s))
}

// WriteText writes the summary as human-readable tables.
func (s Summary) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tw, "run %s, seed %d: %d requests in %.1f s (%.1f arrivals/s), %d skipped, %d attempts, %d repeats\n",
		s.RunID, s.Seed, s.Requests, s.Seconds, s.OfferedRate, s.Skipped, s.Attempts, s.Retries)
	fmt.Fprintf(tw, "answered %d, refused not-run %d, unknown %d; wrong answers %d, truncated %d, cut off %d\n\n",
		s.Answered, s.RefusedNotRun, s.Unknown, s.WrongAnswers, s.Truncated, s.CutOff)
	fmt.Fprintln(tw, "CODE\tNAME\tSTATUS\tOUTCOME\tCHECK\tREQUESTS")
	for _, r := range s.Results {
		fmt.Fprintf(tw, "%d\t%s\t%d\t%s\t%s\t%d\n", r.Code, r.Name, r.Status, r.Outcome, r.Check, r.Count)
	}
	fmt.Fprintln(tw, "\nLATENCY\tCOUNT\tP50 ms\tP99 ms\tP99.9 ms\tMAX ms")
	for _, name := range s.latencyNames() {
		l := s.Latency[name]
		fmt.Fprintf(tw, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", name, l.Count, l.P50, l.P99, l.P999, l.Max)
	}
	return trace.Wrap(tw.Flush())
}

func (s Summary) latencyNames() []string {
	names := make([]string, 0, len(s.Latency))
	for name := range s.Latency {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
