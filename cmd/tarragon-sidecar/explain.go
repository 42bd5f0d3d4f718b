package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonford/tarragonford/internal/sidecar"
	"github.com/tarragonford/tarragonford/platform"
)

const (
	// explainTimeout bounds the call of the running node.
	explainTimeout = 3 * time.Second
	// maxExplanation bounds the answer in bytes; a candidate takes some 400.
	maxExplanation = 8 << 20
)

// explainCommand asks a running node where a request would go.
type explainCommand struct {
	Host    string `long:"host" required:"yes" description:"host of the request"`
	Path    string `long:"path" required:"yes" description:"path of the request, as a caller sends it"`
	Method  string `long:"method" default:"GET" description:"method of the request"`
	Account string `long:"account" description:"name of the client account, not its key"`
	Address string `long:"address" description:"metrics address of the node (default: that of the settings file)"`
	JSON    bool   `long:"json" description:"print the answer of the node as it is"`

	options *options
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	if c.Address == "" {
		path := c.options.Config
		if path == "" {
			path = platform.SettingsPath()
		}
		config, err := platform.LoadSettings(path)
		if err != nil {
			return trace.Wrap(err)
		}
		if config.Metrics == "" {
			return trace.BadParameter("the settings name no metrics address: use --address")
		}
		c.Address = config.Metrics
	}
	body, err := c.ask()
	if err != nil {
		return trace.Wrap(err)
	}
	if c.JSON {
		_, err := os.Stdout.Write(append(body, '\n'))
		return trace.ConvertSystemError(err)
	}
	var explanation sidecar.Explanation
	if err := json.Unmarshal(body, &explanation); err != nil {
		return trace.Wrap(err, "the node sent no explanation")
	}
	return writeExplanation(os.Stdout, explanation)
}

func (c *explainCommand) ask() ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	query := sidecar.ExplainQuery(c.Host, c.Path, c.Method, c.Account).Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+sidecar.PathExplain+"?"+query, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanation))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("the node answered %s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// writeExplanation prints an explanation, with one row for each candidate.
func writeExplanation(w io.Writer, e sidecar.Explanation) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "node %s in %s, configuration %d\n", e.Node, e.DataCentre, e.Configuration)
	if e.Refused != "" {
		fmt.Fprintf(t, "refused: %s\n", e.Refused)
		return trace.Wrap(t.Flush())
	}
	kind := "may run once"
	if e.Idempotent {
		kind = "idempotent"
	}
	fmt.Fprintf(t, "route %s, priority %d, %s, objective %d ms of %d ms\n", e.Route, e.Priority, kind, e.ObjectiveMS, e.TimeoutMS)
	for _, s := range e.Services {
		writeService(t, s)
	}
	return trace.Wrap(t.Flush())
}

func writeService(w io.Writer, s sidecar.ServiceExplanation) {
	fmt.Fprintf(w, "\nservice %s, %.0f%% of the route: ", s.Service, 100*s.Share)
	switch {
	case s.DataCentre == "":
		fmt.Fprintln(w, "no server accepts the request")
	case s.Queueing:
		fmt.Fprintf(w, "no free slot; waits in %s, level %.3f, %.1f requests unseen\n", s.DataCentre, s.Level, s.Unseen)
	default:
		fmt.Fprintf(w, "goes to %s, level %.3f, %.1f requests unseen\n", s.DataCentre, s.Level, s.Unseen)
	}
	fmt.Fprintln(w, "node\tdata centre\tage ms\trunning\twaiting\tslots\tsent\theld\tservice ms\tcold\tfailing\twait ms\tfixed\tload\ttransfer\tshare\t")
	for _, c := range s.Candidates {
		age := "unknown"
		if c.Known {
			age = fmt.Sprint(c.AgeMS)
		}
		outcome := fmt.Sprintf("%.3f\t%.3f\t%.3f\t%.3f", c.FixedCost, c.LoadCost, c.TransferCost, c.Share)
		if c.Objection != "" {
			outcome = "not considered: " + c.Objection
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%d\t%t\t%.3f\t%d\t%s\t\n", c.Node, c.DataCentre, age, c.Running, c.Waiting,
			c.Slots, c.Sent, c.Held, c.ServiceMS, c.Cold, c.FailureProbability, c.ExpectedWaitMS, outcome)
	}
}
