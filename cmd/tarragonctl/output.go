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

// print writes value as JSON or YAML, or calls table for the human-readable format.
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

// writeRow writes the cells as one row of a table.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// formatTime formats a time in UTC as RFC 3339, or the zero time as a hyphen.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// describeChange summarizes the change that an intent requests.
func describeChange(spec intent.Spec) string {
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
	return a.print(in, func(w io.Writer) { writeIntent(w, in) })
}

func writeIntent(w io.Writer, in api.Intent) {
	writeRow(w, "Intent", in.ID)
	writeRow(w, "Change", describeChange(in.Spec))
	writeRow(w, "State", in.State)
	if in.Detail != "" {
		writeRow(w, "Because", in.Detail)
	}
	if in.Spec.Kind == intent.Maintenance {
		writeRow(w, "Window", formatTime(in.Spec.NotBefore)+" to "+formatTime(in.Spec.NotAfter))
	}
	writeRow(w, "Created by", in.CreatedBy)
	if in.ConfirmedBy != "" {
		writeRow(w, "Confirmed by", in.ConfirmedBy)
	}
	if in.ApprovedBy != "" {
		writeRow(w, "Approved by", in.ApprovedBy)
	}
	if in.ChangeVersion > 0 {
		writeRow(w, "Version", in.ChangeVersion)
	}
}

// printPlanned prints an intent with its plan and the next command.
func (a *app) printPlanned(in api.Intent) error {
	return a.print(in, func(w io.Writer) {
		writeIntent(w, in)
		if in.Plan != nil {
			writePlan(w, in)
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

func writePlan(w io.Writer, in api.Intent) {
	plan := in.Plan
	writeRow(w, "Plan", fmt.Sprintf("%d, made %s", plan.Number, formatTime(plan.MadeAt)))
	writeRow(w, "Expected time", time.Duration(plan.DurationSeconds)*time.Second)
	writeRow(w, "Data centres", strings.Join(plan.DataCentres, ", "))
	writeRow(w, "Running requests", plan.Running)
	if len(plan.Services) > 0 {
		fmt.Fprintln(w)
		writeRow(w, "SERVICE", "BEFORE", "DURING", "AFTER", "FLOOR", "FLOOR AFTER", "")
	}
	for _, s := range plan.Services {
		verdict := ""
		if s.BreaksFloor {
			verdict = "breaks the floor"
		}
		writeRow(w, s.Service, s.Before, s.During, s.After, s.FloorBefore, s.FloorAfter, verdict)
	}
	if len(plan.Servers) > 0 {
		fmt.Fprintln(w)
		writeRow(w, "SERVER", "SERVICE", "NODE", "DATA CENTRE", "SLOTS", "RUNNING")
	}
	for _, s := range plan.Servers {
		writeRow(w, s.ID, s.Service, s.Node, s.DataCentre, s.Slots, s.Running)
	}
	writeUses(w, "ACCOUNT", plan.Accounts)
	writeUses(w, "CALLER", plan.Callers)
}

func writeUses(w io.Writer, title string, uses []intent.Use) {
	if len(uses) == 0 {
		return
	}
	fmt.Fprintln(w)
	writeRow(w, title, "SERVICE", "REQUESTS", "LAST SEEN")
	for _, use := range uses {
		writeRow(w, use.Name, use.Service, use.Requests, formatTime(use.LastSeen))
	}
}

func (a *app) printIntents(intents []api.Intent) error {
	return a.print(intents, func(w io.Writer) {
		writeRow(w, "INTENT", "STATE", "CHANGE", "BY", "UPDATED")
		for _, in := range intents {
			writeRow(w, in.ID, in.State, describeChange(in.Spec), in.CreatedBy, formatTime(in.UpdatedAt))
		}
	})
}

func (a *app) printStatus(status api.Status) error {
	return a.print(status, func(w io.Writer) {
		writeRow(w, "Answered by", status.Node)
		writeRow(w, "Ready", status.Ready)
		writeRow(w, "Configuration", status.ConfigVersion)
		writeRow(w, "Platform", map[bool]string{false: "answers", true: "down"}[status.StoreDown])
		writeRow(w, "Lagging nodes", joinOrNone(status.Lagging))
		writeRow(w, "Nodes down", joinOrNone(status.Down))
		writeRow(w, "Below the floor", joinOrNone(status.BelowFloor))
		if len(status.Withdrawals) > 0 {
			fmt.Fprintln(w)
			writeRow(w, "WITHDRAWAL", "SCOPE", "TARGET", "STATE", "FROM", "TO")
		}
		for _, s := range status.Withdrawals {
			writeRow(w, s.Intent, s.Scope, s.Target, withdrawalState(s), formatTime(s.NotBefore), formatTime(s.NotAfter))
		}
		fmt.Fprintln(w)
		writeNodes(w, status.Nodes)
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

func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

func (a *app) printNodes(nodes []api.NodeStatus) error {
	return a.print(nodes, func(w io.Writer) { writeNodes(w, nodes) })
}

func writeNodes(w io.Writer, nodes []api.NodeStatus) {
	writeRow(w, "NODE", "REGION", "DATA CENTRE", "STATE", "VERSION", "SERVERS", "CANNOT REACH")
	for _, n := range nodes {
		writeRow(w, n.ID, n.Region, n.DataCentre, n.State, n.ConfigVersion, n.Servers, strings.Join(n.Unreachable, ","))
	}
}

func (a *app) printServers(servers []api.ServerStatus) error {
	return a.print(servers, func(w io.Writer) {
		writeRow(w, "SERVER", "SERVICE", "NODE", "DATA CENTRE", "SLOTS", "WARMTH", "HEALTH", "STANDING", "SINCE")
		for _, s := range servers {
			writeRow(w, s.ID, s.Service, s.Node, s.DataCentre, s.Slots, fmt.Sprintf("%.2f", s.Warmth), s.Health, s.Standing, formatTime(s.HealthSince))
		}
	})
}

func (a *app) printServices(services []api.ServiceStatus) error {
	return a.print(services, func(w io.Writer) {
		writeRow(w, "SERVICE", "PRESET", "SERVERS", "SET ASIDE", "ANNOUNCED", "ROUTABLE", "FLOOR", "SPARE")
		for _, s := range services {
			writeRow(w, s.Name, s.Preset, s.Servers, s.SetAside, s.AnnouncedSlots, s.RoutableSlots, s.FloorSlots, s.SpareSlots)
		}
	})
}

func (a *app) printAudit(rows []api.Audit) error {
	return a.print(rows, func(w io.Writer) {
		writeRow(w, "AT", "INTENT", "STEP", "ACTION", "BY", "ROLE", "STATE", "VERSION", "DETAIL")
		for _, r := range rows {
			writeRow(w, formatTime(r.At), r.Intent, r.Step, r.Action, r.Actor, r.Role, r.To, r.ChangeVersion, r.Detail)
		}
	})
}
