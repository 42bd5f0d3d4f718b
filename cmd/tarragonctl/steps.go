package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/intent"
)

// pollInterval is the interval at which the progress of a change is polled.
const pollInterval = time.Second

// idArgument is the positional argument for the ID of an intent.
type idArgument struct {
	ID string `positional-arg-name:"ID" required:"yes"`
}

type planCommand struct {
	app    *app
	Intent idArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *planCommand) Execute([]string) error {
	var in api.Intent
	if err := c.app.call(http.MethodPost, intentPath(c.Intent.ID, "plan"), nil, &in); err != nil {
		return err
	}
	return c.app.printPlanned(in)
}

// confirmCommand confirms or approves a plan.
type confirmCommand struct {
	app         *app
	step        string
	Plan        int           `long:"plan" required:"yes" value-name:"N" description:"number of the plan that you reviewed"`
	Wait        bool          `long:"wait" description:"wait and show progress until the change is in force at every reachable node"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"2m" description:"longest time to wait"`
	Intent      idArgument    `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *confirmCommand) Execute([]string) error {
	var in api.Intent
	path := intentPath(c.Intent.ID, c.step)
	if err := c.app.call(http.MethodPost, path, api.ConfirmPlan{Plan: c.Plan}, &in); err != nil {
		return err
	}
	if c.Wait {
		if err := c.app.wait(&in, c.WaitTimeout); err != nil {
			return err
		}
	}
	return c.app.printIntent(in)
}

// endCommand cancels or refuses an intent.
type endCommand struct {
	app    *app
	step   string
	Reason string     `long:"reason" description:"reason, shown in the audit"`
	Intent idArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *endCommand) Execute([]string) error {
	var in api.Intent
	if err := c.app.call(http.MethodPost, intentPath(c.Intent.ID, c.step), api.EndIntent{Reason: c.Reason}, &in); err != nil {
		return err
	}
	return c.app.printIntent(in)
}

type waitCommand struct {
	app         *app
	WaitTimeout time.Duration `long:"wait-timeout" default:"2m" description:"longest time to wait"`
	Intent      idArgument    `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *waitCommand) Execute([]string) error {
	in := api.Intent{ID: c.Intent.ID}
	if err := c.app.wait(&in, c.WaitTimeout); err != nil {
		return err
	}
	return c.app.printIntent(in)
}

// wait prints progress to standard error until the change is in force at every
// reachable node or the intent reaches a terminal state. It returns an error of
// code WaitTimeout after limit. It prints the errors of reads that another try
// may resolve and continues to wait.
func (a *app) wait(in *api.Intent, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	last := ""
	for {
		progress, done, err := a.readProgress(in)
		if err != nil {
			if !shouldTryNextNode(err) {
				return err
			}
			progress = err.Error()
		}
		if progress != last {
			fmt.Fprintln(a.stderr, progress)
			last = progress
		}
		if done {
			return nil
		}
		if !time.Now().Add(pollInterval).Before(deadline) {
			return codes.WaitTimeout.New("intent %s after %s: %s", in.ID, limit, progress)
		}
		time.Sleep(pollInterval)
	}
}

// readProgress reads the intent and the configuration versions of the nodes. It
// returns a progress line and whether the wait is over. Nodes answer the status
// from their own view, also while the platform is down.
func (a *app) readProgress(in *api.Intent) (string, bool, error) {
	if err := a.call(http.MethodGet, intentPath(in.ID), nil, in); err != nil {
		return "", false, err
	}
	if in.State.IsTerminal() {
		return fmt.Sprintf("intent %s is %s", in.ID, in.State), true, nil
	}
	if in.ChangeVersion == 0 {
		return fmt.Sprintf("intent %s is %s and waits for the next confirmation", in.ID, in.State), false, nil
	}
	var status api.Status
	if err := a.call(http.MethodGet, api.PathStatus, nil, &status); err != nil {
		return "", false, err
	}
	reached, reachable := 0, 0
	for _, node := range status.Nodes {
		if node.State == "down" || node.State == "left" {
			continue
		}
		reachable++
		if node.ConfigVersion >= in.ChangeVersion {
			reached++
		}
	}
	text := fmt.Sprintf("intent %s is %s: version %d is in force at %d of %d reachable nodes, %d nodes are down",
		in.ID, in.State, in.ChangeVersion, reached, reachable, len(status.Down))
	return text, in.State != intent.Held && reached == reachable && reachable > 0, nil
}

// addStepCommands adds the commands for the steps of an intent.
func (a *app) addStepCommands(parser *flags.Parser) {
	mustAdd(parser, "plan", "Make a new plan for an intent", "tarragonctl plan ID", &planCommand{app: a})
	mustAdd(parser, "confirm", "Confirm a plan as operator",
		"tarragonctl confirm ID --plan 2", &confirmCommand{app: a, step: "confirm"})
	mustAdd(parser, "approve", "Approve a confirmed plan as approver, which puts it in force",
		"tarragonctl approve ID --plan 2 --wait", &confirmCommand{app: a, step: "approve"})
	mustAdd(parser, "refuse", "Refuse an intent as approver",
		`tarragonctl refuse ID --reason "during the festival"`, &endCommand{app: a, step: "refuse"})
	mustAdd(parser, "cancel", "Cancel an intent that is not in force",
		"tarragonctl cancel ID", &endCommand{app: a, step: "cancel"})
	mustAdd(parser, "wait", "Wait until an intent is in force everywhere",
		"tarragonctl wait ID --wait-timeout 1m", &waitCommand{app: a})
}
