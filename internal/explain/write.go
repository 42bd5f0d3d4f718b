package explain

import (
	"fmt"
	"io"
	"strings"

	"github.com/gravitational/trace"
)

// Write prints one row for each line, followed by the hops of that line. Lines of
// the request itself are marked with an asterisk.
func Write(w io.Writer, request string, lines []Line) error {
	for _, line := range lines {
		mark := " "
		if line.Request == request {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %s  %-22s %s\n", mark, line.Time.UTC().Format("15:04:05.000"), line.Node, describe(line)); err != nil {
			return trace.Wrap(err)
		}
		for _, hop := range line.Hops {
			if _, err := fmt.Fprintf(w, "      %5d ms  to %s, %s: %s after %d ms\n", hop.SentMS, hop.Node, describeLoadReport(hop), hop.Result, hop.EndMS-hop.SentMS); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// describeLoadReport describes the load report that the entry node had of the server
// of a hop.
func describeLoadReport(hop Hop) string {
	if hop.AgeMS == nil || hop.WaitMS == nil || hop.Doubt == nil {
		return "no load report"
	}
	return fmt.Sprintf("doubt %.2f and wait %d ms from a load report %d ms old", *hop.Doubt, *hop.WaitMS, *hop.AgeMS)
}

// describe summarises a line.
func describe(line Line) string {
	switch line.Message {
	case "request":
		text := fmt.Sprintf("request %s to %s: %d", line.Request, line.Service, line.Status)
		if line.Code != 0 {
			text += fmt.Sprintf(", code %d (%s)", line.Code, line.Reason)
		}
		return text + fmt.Sprintf(", %d attempts in %s, configuration %d", line.Attempts, line.Took, line.Config)
	case "host":
		text := fmt.Sprintf("host: %s", line.Result)
		if line.Status != 0 {
			text += fmt.Sprintf(" %d", line.Status)
		}
		if line.Error != "" {
			text += " (" + line.Error + ")"
		}
		return text + fmt.Sprintf(" in %s; running %d, waiting %s, doubt %.2f", line.Took, line.Running, formatCounts(line.Waiting), line.Doubt)
	case "server doubtful", "server trusted":
		text := fmt.Sprintf("%s: doubt %.2f after evidence %s", line.Message, line.Doubt, line.Evidence)
		if line.Request != "" {
			text += " of " + line.Request
		}
		return text
	case "server rate limit":
		if !line.Limited {
			return "server accepts any rate"
		}
		if line.Request == "" {
			return fmt.Sprintf("server gets %.3g requests/s until its first response", line.PerSecond)
		}
		return fmt.Sprintf("server accepts %.3g requests/s since request %s", line.PerSecond, line.Request)
	case "configuration in force":
		return fmt.Sprintf("%s: version %d", line.Message, line.Version)
	case "server":
		return fmt.Sprintf("server %s, leaving: %t", line.Server, line.Leaving)
	case "dependency lost", "dependency regained":
		return fmt.Sprintf("%s: %s %s", line.Message, line.Dependency, line.Error)
	}
	return line.Message
}

func formatCounts(numbers []int) string {
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(numbers), " ", "+"), "[]")
}
