package report

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/codes"
)

// Verdict is the result of a comparison. Requests are identified by token.
type Verdict struct {
	Requests int `json:"requests"`
	// Answered counts requests with at least one complete response of the server.
	Answered int `json:"answered"`
	// RefusedNotRun counts requests whose every attempt ended as not-run.
	RefusedNotRun int `json:"refused_not_run"`
	// Unknown counts all other requests.
	Unknown int `json:"unknown"`
	// WrongAnswers and Truncated count attempts; see Check.
	WrongAnswers int `json:"wrong_answers"`
	Truncated    int `json:"truncated"`
	// RanTwice counts non-idempotent requests that ran more than once.
	RanTwice int `json:"ran_twice"`
	// RefusedButRan counts requests that were refused as not-run and ran.
	RefusedButRan int `json:"refused_but_ran"`
}

// HasViolations reports whether an invariant was violated.
func (v Verdict) HasViolations() bool {
	return v.WrongAnswers+v.Truncated+v.RanTwice+v.RefusedButRan > 0
}

// Comparison collects attempts and records. Use NewComparison; the zero value is not usable.
type Comparison struct {
	tokens map[string]*history
	// CutOff counts attempts whose connection broke during the answer.
	CutOff int
	// TornRecords counts records of servers whose last line is torn.
	TornRecords int
	verdict     Verdict
}

// history is what callers and servers recorded about one token.
type history struct {
	kind     Kind
	attempts int
	notRun   int
	answered bool
	runs     map[runID]*runLines
}

// runID names one request at one server. A started line and an ending line with
// the same name belong together.
type runID struct {
	server, id string
}

type runLines struct {
	started, ended int
	method         string
}

// NewComparison returns an empty Comparison.
func NewComparison() *Comparison { return &Comparison{tokens: map[string]*history{}} }

func (c *Comparison) historyOf(token string) *history {
	h, known := c.tokens[token]
	if !known {
		h = &history{runs: map[runID]*runLines{}}
		c.tokens[token] = h
	}
	return h
}

// AddAttempt adds one attempt of a caller.
func (c *Comparison) AddAttempt(a Attempt) {
	h := c.historyOf(a.Token)
	h.kind = a.Kind
	h.attempts++
	if a.Outcome == codes.NotRun {
		h.notRun++
	}
	h.answered = h.answered || a.isAnswer()
	switch a.Check {
	case CheckWrong:
		c.verdict.WrongAnswers++
	case CheckTruncated:
		c.verdict.Truncated++
	case CheckCutOff:
		c.CutOff++
	}
}

// AddRecord adds one line of a server's record. Lines without a token, as for
// probes, are left out.
func (c *Comparison) AddRecord(r Record) {
	if r.Token == "" {
		return
	}
	runs := c.historyOf(r.Token).runs
	name := runID{server: r.Server, id: r.RequestID}
	if runs[name] == nil {
		runs[name] = &runLines{method: r.Method}
	}
	if r.Outcome == OutcomeStarted {
		runs[name].started++
	} else {
		runs[name].ended++
	}
}

// runCount counts the times that the request ran. A record may hold a started
// and an ending line for each run, or only one of them.
func (h *history) runCount() int {
	count := 0
	for _, l := range h.runs {
		count += max(l.started, l.ended)
	}
	return count
}

// isWrite reports whether the request is non-idempotent. The method of the
// server's record decides for requests that no caller reported.
func (h *history) isWrite() bool {
	if h.kind != "" {
		return h.kind == Write
	}
	for _, l := range h.runs {
		if l.method != http.MethodGet && l.method != http.MethodHead {
			return true
		}
	}
	return false
}

// Violation is one request that violates an invariant.
type Violation struct {
	Token, Property, Detail string
}

// Verdict returns the counts and the violations of the properties about runs,
// ordered by token.
func (c *Comparison) Verdict() (Verdict, []Violation) {
	v := c.verdict
	var findings []Violation
	for token, h := range c.tokens {
		v.count(h)
		if h.isWrite() && h.runCount() > 1 {
			v.RanTwice++
			findings = append(findings, Violation{token, "ran_twice", h.describeRuns()})
		}
		if h.refused() && h.runCount() > 0 {
			v.RefusedButRan++
			findings = append(findings, Violation{token, "refused_but_ran", h.describeRuns()})
		}
	}
	sort.Slice(findings, func(i, j int) bool { return findings[i].Token < findings[j].Token })
	return v, findings
}

func (v *Verdict) count(h *history) {
	if h.attempts == 0 {
		return
	}
	v.Requests++
	switch {
	case h.answered:
		v.Answered++
	case h.refused():
		v.RefusedNotRun++
	default:
		v.Unknown++
	}
}

func (h *history) refused() bool { return h.attempts > 0 && h.notRun == h.attempts }

func (h *history) describeRuns() string {
	list := make([]string, 0, len(h.runs))
	for name, l := range h.runs {
		list = append(list, fmt.Sprintf("%s as %s (%d)", name.server, name.id, max(l.started, l.ended)))
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

// unreported counts requests in the servers' records that no caller reported,
// and answered requests that no server recorded.
func (c *Comparison) unreported() (noCaller, noServer int) {
	for _, h := range c.tokens {
		if h.attempts == 0 {
			noCaller++
		}
		if h.answered && len(h.runs) == 0 {
			noServer++
		}
	}
	return noCaller, noServer
}

// maxViolations is the limit of violations that are printed.
const maxViolations = 20

// Write prints the table, at most 20 violations and, as the last line, the
// verdict as one JSON object.
func (c *Comparison) Write(w io.Writer) (Verdict, error) {
	v, findings := c.Verdict()
	noCaller, noServer := c.unreported()
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		count int
	}{
		{"requests", v.Requests}, {"answered", v.Answered}, {"refused, not run", v.RefusedNotRun},
		{"unknown", v.Unknown}, {"wrong answers", v.WrongAnswers}, {"truncated answers", v.Truncated},
		{"ran twice", v.RanTwice}, {"refused but ran", v.RefusedButRan},
		{"answers cut off, noticed by the caller", c.CutOff},
		{"in a server's record only", noCaller}, {"answered, in no server's record", noServer},
		{"records with a torn last line", c.TornRecords},
	} {
		fmt.Fprintf(tw, "%s\t%d\n", row.name, row.count)
	}
	for _, finding := range findings[:min(len(findings), maxViolations)] {
		fmt.Fprintf(tw, "%s: %s ran at %s\n", finding.Property, finding.Token, finding.Detail)
	}
	if err := tw.Flush(); err != nil {
		return v, trace.Wrap(err)
	}
	return v, trace.Wrap(json.NewEncoder(w).Encode(v))
}
