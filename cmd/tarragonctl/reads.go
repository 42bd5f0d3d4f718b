package main

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/jessevdk/go-flags"

	"github.com/tarragonford/tarragonford/api"
)

type listCommand struct {
	app  *app
	Open bool `long:"open" description:"list only intents that are not in a terminal state"`
}

// Execute implements flags.Commander.
func (c *listCommand) Execute([]string) error {
	query := url.Values{"limit": {"1000"}}
	if c.Open {
		query.Set("open", "true")
	}
	intents := []api.Intent{}
	for {
		var page api.IntentList
		if err := c.app.call(http.MethodGet, api.PathIntents+"?"+query.Encode(), nil, &page); err != nil {
			return err
		}
		intents = append(intents, page.Intents...)
		if page.Next == "" {
			return c.app.printIntents(intents)
		}
		query.Set("after", page.Next)
	}
}

type getCommand struct {
	app    *app
	Intent idArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	var in api.Intent
	if err := c.app.call(http.MethodGet, intentPath(c.Intent.ID), nil, &in); err != nil {
		return err
	}
	return c.app.printPlanned(in)
}

type statusCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var status api.Status
	if err := c.app.call(http.MethodGet, api.PathStatus, nil, &status); err != nil {
		return err
	}
	return c.app.printStatus(status)
}

type nodesCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *nodesCommand) Execute([]string) error {
	var nodes []api.NodeStatus
	if err := c.app.call(http.MethodGet, api.PathNodes, nil, &nodes); err != nil {
		return err
	}
	return c.app.printNodes(nodes)
}

type serversCommand struct {
	app     *app
	Service string `long:"service" description:"list only the servers of this service"`
}

// Execute implements flags.Commander.
func (c *serversCommand) Execute([]string) error {
	var servers []api.ServerStatus
	query := url.Values{"service": {c.Service}}
	if err := c.app.call(http.MethodGet, api.PathServers+"?"+query.Encode(), nil, &servers); err != nil {
		return err
	}
	return c.app.printServers(servers)
}

type servicesCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *servicesCommand) Execute([]string) error {
	var services []api.ServiceStatus
	if err := c.app.call(http.MethodGet, api.PathServices, nil, &services); err != nil {
		return err
	}
	return c.app.printServices(services)
}

type auditCommand struct {
	app       *app
	Arguments struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *auditCommand) Execute([]string) error {
	query := url.Values{"limit": {"1000"}, "intent": {c.Arguments.ID}}
	rows := []api.Audit{}
	for {
		var page api.AuditList
		if err := c.app.call(http.MethodGet, api.PathAudit+"?"+query.Encode(), nil, &page); err != nil {
			return err
		}
		rows = append(rows, page.Rows...)
		if page.Next == "" {
			return c.app.printAudit(rows)
		}
		query.Set("after", page.Next)
	}
}

// completionScript is the bash completion. It calls tarragonctl with
// GO_FLAGS_COMPLETION set, which makes go-flags print the completions.
const completionScript = `_tarragonctl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -F _tarragonctl tarragonctl`

type completionCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	_, err := fmt.Fprintln(c.app.stdout, completionScript)
	return err
}

// addReadCommands adds the read-only commands.
func (a *app) addReadCommands(parser *flags.Parser) {
	mustAdd(parser, "status", "Show configuration versions, lagging and down nodes, withdrawals and services below their floor",
		"tarragonctl status", &statusCommand{app: a})
	mustAdd(parser, "nodes", "List the nodes", "tarragonctl nodes -o json", &nodesCommand{app: a})
	mustAdd(parser, "servers", "List the backend servers", "tarragonctl servers --service measures", &serversCommand{app: a})
	mustAdd(parser, "services", "List the services with their capacity and floor", "tarragonctl services", &servicesCommand{app: a})
	mustAdd(parser, "audit", "List the steps of one intent or of all intents", "tarragonctl audit ID", &auditCommand{app: a})
	mustAdd(parser, "completion", "Print the bash completion script", "source <(tarragonctl completion)", &completionCommand{app: a})
}
