package main

import (
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
)

// createOptions are the flags shared by the commands that create an intent.
type createOptions struct {
	app    *app
	Reason string `long:"reason" description:"reason, shown to the approver and in the audit"`
	ID     string `long:"id" description:"ID of the intent, which makes a repeat of the command safe (default: a new ID)"`
	Draft  bool   `long:"draft" description:"create the intent without a plan"`
}

// create creates the intent, plans it unless --draft is set, and prints it.
func (o *createOptions) create(spec intent.Spec) error {
	spec.Reason = o.Reason
	id := o.ID
	if id == "" {
		id = intentstore.NewID(time.Now())
	}
	var in api.Intent
	if err := o.app.call(http.MethodPost, api.PathIntents, api.CreateIntent{ID: id, Spec: spec}, &in); err != nil {
		return err
	}
	if !o.Draft {
		if err := o.app.call(http.MethodPost, intentPath(id, "plan"), nil, &in); err != nil {
			return err
		}
	}
	return o.app.printPlanned(in)
}

// targetArguments name a server, an instance or a data centre.
type targetArguments struct {
	Scope string `positional-arg-name:"server|instance|data-centre" required:"yes"`
	Name  string `positional-arg-name:"NAME" required:"yes"`
}

type withdrawCommand struct {
	createOptions
	Target targetArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *withdrawCommand) Execute([]string) error {
	return c.create(intent.Spec{Kind: intent.Withdraw, Scope: fleet.WithdrawalScope(c.Target.Scope), Target: c.Target.Name})
}

type returnCommand struct {
	createOptions
	Target targetArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *returnCommand) Execute([]string) error {
	return c.create(intent.Spec{Kind: intent.Return, Scope: fleet.WithdrawalScope(c.Target.Scope), Target: c.Target.Name})
}

type maintenanceCommand struct {
	createOptions
	From   string          `long:"from" required:"yes" value-name:"TIME" description:"start of the window, RFC 3339"`
	To     string          `long:"to" value-name:"TIME" description:"end of the window, RFC 3339"`
	For    time.Duration   `long:"for" description:"length of the window, instead of --to"`
	Target targetArguments `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *maintenanceCommand) Execute([]string) error {
	from, err := time.Parse(time.RFC3339, c.From)
	if err != nil {
		return codes.BadCommand.New("--from %q is not a time such as 2027-01-15T08:00:00Z", c.From)
	}
	to := from.Add(c.For)
	if c.To != "" {
		if to, err = time.Parse(time.RFC3339, c.To); err != nil {
			return codes.BadCommand.New("--to %q is not a time such as 2027-01-15T08:00:00Z", c.To)
		}
	}
	if !to.After(from) {
		return codes.BadCommand.New("the window needs --for or --to, after --from")
	}
	return c.create(intent.Spec{
		Kind: intent.Maintenance, Scope: fleet.WithdrawalScope(c.Target.Scope), Target: c.Target.Name,
		NotBefore: from.UTC(), NotAfter: to.UTC(),
	})
}

type floorCommand struct {
	createOptions
	Arguments struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		Slots   int    `positional-arg-name:"SLOTS" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *floorCommand) Execute([]string) error {
	return c.create(intent.Spec{Kind: intent.Floor, Service: c.Arguments.Service, FloorSlots: &c.Arguments.Slots})
}

type routeCommand struct {
	createOptions
	Host       string   `long:"host" description:"host name (default: every host)"`
	Prefix     string   `long:"prefix" description:"path prefix, which must start and end with a slash"`
	Service    string   `long:"service" description:"service that receives the requests"`
	Idempotent []string `long:"idempotent" value-name:"METHOD" description:"idempotent method, in addition to GET, HEAD and OPTIONS; may be repeated"`
	Delete     bool     `long:"delete" description:"delete the route"`
	Arguments  struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *routeCommand) Execute([]string) error {
	route := fleet.Route{ID: c.Arguments.ID, Host: c.Host, Prefix: c.Prefix, Service: c.Service, Idempotent: c.Idempotent}
	return c.create(intent.Spec{Kind: intent.Route, Route: &route, Delete: c.Delete})
}

type limitsCommand struct {
	createOptions
	RetryRatio  *float64       `long:"retry-ratio" description:"retry budget as a share of fresh requests, from 0 to 1"`
	QueueFactor *float64       `long:"queue-factor" description:"length of the admission queue as a multiple of the slots"`
	Deadline    *time.Duration `long:"default-deadline" description:"deadline of requests without one"`
	Hedge       *string        `long:"hedge" choice:"on" choice:"off" description:"hedged reads"`
	Arguments   struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *limitsCommand) Execute([]string) error {
	limits := intent.ServiceLimits{RetryRatio: c.RetryRatio, QueueFactor: c.QueueFactor}
	if c.Deadline != nil {
		ms := c.Deadline.Milliseconds()
		limits.DefaultDeadlineMS = &ms
	}
	if c.Hedge != nil {
		hedge := *c.Hedge == "on"
		limits.Hedge = &hedge
	}
	return c.create(intent.Spec{Kind: intent.Limits, Service: c.Arguments.Service, Limits: &limits})
}

type presetCommand struct {
	createOptions
	LateDetectionCost float64 `long:"late-detection-cost" description:"weight of late detection; if neither cost is given, the preset's costs apply"`
	FalseEjectionCost float64 `long:"false-ejection-cost" description:"weight of a false ejection"`
	Arguments         struct {
		Service string `positional-arg-name:"SERVICE" required:"yes"`
		Preset  string `positional-arg-name:"trust|paramo" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *presetCommand) Execute([]string) error {
	preset := intent.DetectionPreset{
		Name:              c.Arguments.Preset,
		LateDetectionCost: c.LateDetectionCost,
		FalseEjectionCost: c.FalseEjectionCost,
	}
	return c.create(intent.Spec{Kind: intent.Preset, Service: c.Arguments.Service, Preset: &preset})
}

type accountCommand struct {
	createOptions
	Weight    float64 `long:"weight" description:"weight of the account's share under load, relative to other accounts; 0 means 1"`
	Rate      float64 `long:"rate" description:"maximum requests/s at each entry node; 0 means no limit"`
	Delete    bool    `long:"delete" description:"delete the account"`
	Arguments struct {
		ID string `positional-arg-name:"ID" required:"yes"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *accountCommand) Execute([]string) error {
	account := fleet.Account{ID: c.Arguments.ID, Weight: c.Weight, RatePerSecond: c.Rate}
	return c.create(intent.Spec{Kind: intent.Account, Account: &account, Delete: c.Delete})
}

// addIntentCommands adds the command "intent" with a subcommand for each kind of intent.
func (a *app) addIntentCommands(parser *flags.Parser) {
	parent := mustAdd(parser, "intent", "Create, list or show intents", "tarragonctl intent withdraw server measures-3", &struct{}{})
	create := createOptions{app: a}
	mustAdd(parent, "withdraw", "Withdraw a server, an instance or a data centre",
		`tarragonctl intent withdraw server measures-3 --reason "disk errors"`, &withdrawCommand{createOptions: create})
	mustAdd(parent, "return", "Return a withdrawn server, instance or data centre",
		"tarragonctl intent return server measures-3", &returnCommand{createOptions: create})
	mustAdd(parent, "maintenance", "Schedule a maintenance window for a server, an instance or a data centre",
		"tarragonctl intent maintenance instance node-4 --from 2027-01-15T22:00:00Z --for 2h", &maintenanceCommand{createOptions: create})
	mustAdd(parent, "floor", "Change the floor of a service",
		"tarragonctl intent floor measures 24", &floorCommand{createOptions: create})
	mustAdd(parent, "route", "Add, change or delete a route",
		"tarragonctl intent route measures --prefix /measures/ --service measures", &routeCommand{createOptions: create})
	mustAdd(parent, "limits", "Change the limits of a service",
		"tarragonctl intent limits measures --retry-ratio 0.1 --hedge on", &limitsCommand{createOptions: create})
	mustAdd(parent, "preset", "Change the detection preset of a service",
		"tarragonctl intent preset measures trust", &presetCommand{createOptions: create})
	mustAdd(parent, "account", "Add, change or delete a client account",
		"tarragonctl intent account colombo-shop --rate 50", &accountCommand{createOptions: create})
	mustAdd(parent, "list", "List intents", "tarragonctl intent list --open", &listCommand{app: a})
	mustAdd(parent, "get", "Show one intent with its plan", "tarragonctl intent get ID", &getCommand{app: a})
}
