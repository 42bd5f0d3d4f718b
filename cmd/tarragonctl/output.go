package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/intent"
)

// print writes value as JSON or YAML, or calls table for people.
func (a *app) print(value any, table func(io.Writer)) error {
	if a.options.Output == "table" {
		w := tabwriter.NewWriter(a.stdout, 0, 4, 2, ' ', 0)
		table(w)
		return w.Flush()
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	if a.options.Output == "yaml" {
		if data, err = yaml.JSONToYAML(data); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(a.stdout, strings.TrimRight(string(data), "\n"))
	return err
}

func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// timeText returns a time in UTC, or a hyphen for none.
func timeText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// subject says in a few words what an intent is about.
func subject(spec intent.Spec) string {
	switch spec.Kind {
	case intent.Route:
		return "route " + spec.Route.ID
	case intent.Account:
		return "account " + spec.Account.ID
	case intent.Floor:
		return fmt.Sprintf("floor %s %d slots", spec.Service, *spec.FloorSlots)
	case intent.Limits, intent.Preset:
		return fmt.Sprintf("%s %s", spec.Kind, spec.Service)
	}
	return fmt.Sprintf("%s %s %s", spec.Kind, spec.Scope, spec.Target)
}

func (a *app) printIntent(in api.Intent) error {
	return a.print(in, func(w io.Writer) { intentLines(w, in) })
}

func intentLines(w io.Writer, in api.Intent) {
	row(w, "Intent", in.ID)
	row(w, "Change", subject(in.Spec))
	row(w, "State", in.State)
	if in.Detail != "" {
		row(w, "Because", in.Detail)
	}
	if in.Spec.Kind == intent.Maintenance {
		row(w, "Window", timeText(in.Spec.NotBefore)+" to "+timeText(in.Spec.NotAfter))
	}
	row(w, "Created by", in.CreatedBy)
	if in.ConfirmedBy != "" {
		row(w, "Confirmed by", in.ConfirmedBy)
	}
	if in.ApprovedBy != "" {
		row(w, "Approved by", in.ApprovedBy)
	}
	if in.ChangeVersion > 0 {
		row(w, "Version", in.ChangeVersion)
	}
}

// printPlanned prints an intent with its plan and the next command.
func (a *app) printPlanned(in api.Intent) error {
	return a.print(in, func(w io.Writer) {
		intentLines(w, in)
		if in.Plan != nil {
			planLines(w, in)
		}
		switch in.State {
		case intent.Draft:
			fmt.Fprintf(w, "\nNext: tarragonctl plan %s\n", in.ID)
		case intent.Planned:
			fmt.Fprintf(w, "\nNext: tarragonctl confirm %s --plan %d\n", in.ID, in.Plan.Number)
		case intent.Confirmed:
			fmt.Fprintf(w, "\nNext, by an approver: tarragonctl approve %s --plan %d --wait\n", in.ID, in.Plan.Number)
		}
	})
}

func planLines(w io.Writer, in api.Intent) {
	plan := in.Plan
	row(w, "Plan", fmt.Sprintf("%d, made %s", plan.Number, timeText(plan.MadeAt)))
	row(w, "Expected time", time.Duration(plan.DurationSeconds)*time.Second)
	row(w, "Data centres", strings.Join(plan.DataCentres, ", "))
	row(w, "Running requests", plan.Running)
	if len(plan.Services) > 0 {
		fmt.Fprintln(w)
		row(w, "SERVICE", "BEFORE", "DURING", "AFTER", "FLOOR", "FLOOR AFTER", "")
	}
	for _, s := range plan.Services {
		verdict := ""
		if s.BreaksFloor {
			verdict = "breaks the floor"
		}
		row(w, s.Service, s.Before, s.During, s.After, s.FloorBefore, s.FloorAfter, verdict)
	}
	if len(plan.Servers) > 0 {
		fmt.Fprintln(w)
		row(w, "SERVER", "SERVICE", "NODE", "DATA CENTRE", "SLOTS", "RUNNING")
	}
	for _, s := range plan.Servers {
		row(w, s.ID, s.Service, s.Node, s.DataCentre, s.Slots, s.Running)
	}
	useLines(w, "ACCOUNT", plan.Accounts)
	useLines(w, "CALLER", plan.Callers)
}

func useLines(w io.Writer, title string, uses []intent.Use) {
	if len(uses) == 0 {
		return
	}
	fmt.Fprintln(w)
	row(w, title, "SERVICE", "REQUESTS", "LAST SEEN")
	for _, use := range uses {
		row(w, use.Name, use.Service, use.Requests, timeText(use.LastSeen))
	}
}

func (a *app) printIntents(intents []api.Intent) error {
	return a.print(intents, func(w io.Writer) {
		row(w, "INTENT", "STATE", "CHANGE", "BY", "UPDATED")
		for _, in := range intents {
			row(w, in.ID, in.State, subject(in.Spec), in.CreatedBy, timeText(in.UpdatedAt))
		}
	})
}

func (a *app) printStatus(status api.Status) error {
	return a.print(status, func(w io.Writer) {
		row(w, "Answered by", status.Node)
		row(w, "Ready", status.Ready)
		row(w, "Configuration", status.ConfigVersion)
		row(w, "Platform", map[bool]string{false: "answers", true: "down"}[status.StoreDown])
		row(w, "Lagging nodes", orNone(status.Lagging))
		row(w, "Nodes down", orNone(status.Down))
		row(w, "Below the floor", orNone(status.BelowFloor))
		if len(status.Withdrawals) > 0 {
			fmt.Fprintln(w)
			row(w, "WITHDRAWAL", "SCOPE", "TARGET", "STATE", "FROM", "TO")
		}
		for _, s := range status.Withdrawals {
			row(w, s.Intent, s.Scope, s.Target, withdrawalState(s), timeText(s.NotBefore), timeText(s.NotAfter))
		}
		fmt.Fprintln(w)
		nodeLines(w, status.Nodes)
	})
}

func withdrawalState(s api.WithdrawalStatus) string {
	switch {
	case s.Held:
		return "held"
	case s.Active:
		return "active"
	}
	return "scheduled or over"
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

func (a *app) printNodes(nodes []api.NodeStatus) error {
	return a.print(nodes, func(w io.Writer) { nodeLines(w, nodes) })
}

func nodeLines(w io.Writer, nodes []api.NodeStatus) {
	row(w, "NODE", "REGION", "DATA CENTRE", "STATE", "VERSION", "SERVERS", "CANNOT REACH")
	for _, n := range nodes {
		row(w, n.ID, n.Region, n.DataCentre, n.State, n.ConfigVersion, n.Servers, strings.Join(n.Unreachable, ","))
	}
}

func (a *app) printServers(servers []api.ServerStatus) error {
	return a.print(servers, func(w io.Writer) {
		row(w, "SERVER", "SERVICE", "NODE", "DATA CENTRE", "SLOTS", "WARMTH", "HEALTH", "STANDING", "SINCE")
		for _, s := range servers {
			row(w, s.ID, s.Service, s.Node, s.DataCentre, s.Slots, fmt.Sprintf("%.2f", s.Warmth), s.Health, s.Standing, timeText(s.HealthSince))
		}
	})
}

func (a *app) printServices(services []api.ServiceStatus) error {
	return a.print(services, func(w io.Writer) {
		row(w, "SERVICE", "PRESET", "SERVERS", "SET ASIDE", "ANNOUNCED", "ROUTABLE", "FLOOR", "SPARE")
		for _, s := range services {
			row(w, s.Name, s.Preset, s.Servers, s.SetAside, s.AnnouncedSlots, s.RoutableSlots, s.FloorSlots, s.SpareSlots)
		}
	})
}

func (a *app) printAudit(rows []api.Audit) error {
	return a.print(rows, func(w io.Writer) {
		row(w, "AT", "INTENT", "STEP", "ACTION", "BY", "ROLE", "STATE", "VERSION", "DETAIL")
		for _, r := range rows {
			row(w, timeText(r.At), r.Intent, r.Step, r.Action, r.Actor, r.Role, r.To, r.ChangeVersion, r.Detail)
		}
	})
}
