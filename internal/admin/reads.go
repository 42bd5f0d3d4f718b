package admin

import (
	"net/http"
	"sort"
	"time"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/intent"
)

func (h *handler) status(_ *http.Request, _ intent.Actor) (int, any, error) {
	view := h.Views.View()
	nodes := nodeStatuses(view)
	status := api.Status{
		Node:          nodeID(view),
		Ready:         view.Ready,
		At:            h.Now(),
		ConfigVersion: newestConfigVersion(view),
		StoreDown:     h.Store != nil && h.Store.CircuitOpen(),
		Down:          []string{},
		Nodes:         nodes,
		BelowFloor:    []string{},
		Withdrawals:   withdrawalStatuses(view, h.Now()),
	}
	status.Lagging = intent.LaggingNodes(view, status.ConfigVersion)
	sort.Strings(status.Lagging)
	for _, node := range nodes {
		if node.State == "down" {
			status.Down = append(status.Down, node.ID)
		}
	}
	for _, service := range serviceStatuses(view) {
		if service.SpareSlots < 0 {
			status.BelowFloor = append(status.BelowFloor, service.Name)
		}
	}
	return http.StatusOK, status, nil
}

// newestConfigVersion returns the newest configuration version of any known node,
// so that a node that lags behind lists itself as lagging.
func newestConfigVersion(view *fleet.View) uint64 {
	newest := view.Config.Version
	for _, node := range view.Nodes {
		newest = max(newest, node.ConfigVersion)
	}
	return newest
}

func (h *handler) nodes(_ *http.Request, _ intent.Actor) (int, any, error) {
	return http.StatusOK, nodeStatuses(h.Views.View()), nil
}

func nodeStatuses(view *fleet.View) []api.NodeStatus {
	list := make([]api.NodeStatus, 0, len(view.Nodes))
	for id, node := range view.Nodes {
		list = append(list, api.NodeStatus{
			ID: id, Region: node.Region, DataCentre: node.DataCentre, AdminAddr: node.AdminAddr,
			ConfigVersion: node.ConfigVersion, State: nodeState(view, node),
			Servers: len(node.Servers), Unreachable: node.Unreachable,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// nodeState returns the state for api.NodeStatus.
func nodeState(view *fleet.View, node *fleet.NodeRecord) string {
	switch {
	case node.Left:
		return "left"
	case view.DownNodes[node.ID]:
		return "down"
	case node.Leaving:
		return "leaving"
	}
	return "up"
}

func withdrawalStatuses(view *fleet.View, now time.Time) []api.WithdrawalStatus {
	list := make([]api.WithdrawalStatus, 0, len(view.Config.Withdrawals))
	for _, withdrawal := range view.Config.Withdrawals {
		list = append(list, api.WithdrawalStatus{
			Intent: withdrawal.Intent, Scope: string(withdrawal.Scope), Target: withdrawal.Target,
			Active: withdrawal.ActiveAt(now), Held: withdrawal.Held,
			NotBefore: withdrawal.NotBefore, NotAfter: withdrawal.NotAfter,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Intent < list[j].Intent })
	return list
}

// servers lists all backend servers, or with service=NAME those of one service.
func (h *handler) servers(r *http.Request, _ intent.Actor) (int, any, error) {
	view, wanted := h.Views.View(), r.URL.Query().Get("service")
	list := []api.ServerStatus{}
	for name, service := range view.Services {
		if wanted != "" && wanted != name {
			continue
		}
		for _, c := range service.Candidates {
			list = append(list, serverStatus(c))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return http.StatusOK, list, nil
}

func serverStatus(c fleet.Candidate) api.ServerStatus {
	return api.ServerStatus{
		ID: c.Server.ID, Service: c.Server.Service, Node: c.Host.ID, DataCentre: c.Host.DataCentre,
		Addr: c.Server.Addr, Slots: c.Server.Slots, Warmth: c.Warmth,
		Health: string(c.Server.Health), HealthSince: c.Server.HealthSince,
		Standing: c.Standing.String(), PathDown: c.PathDown,
	}
}

func (h *handler) services(_ *http.Request, _ intent.Actor) (int, any, error) {
	return http.StatusOK, serviceStatuses(h.Views.View()), nil
}

func serviceStatuses(view *fleet.View) []api.ServiceStatus {
	list := make([]api.ServiceStatus, 0, len(view.Services))
	for name, service := range view.Services {
		status := api.ServiceStatus{
			Name: name, Preset: service.Service.Preset, FloorSlots: service.Service.FloorSlots,
			AnnouncedSlots: service.AnnouncedSlots, RoutableSlots: service.RoutableSlots,
			SpareSlots: service.RoutableSlots - service.Service.FloorSlots, Servers: len(service.Candidates),
		}
		for _, c := range service.Candidates {
			if c.Standing == fleet.SetAside {
				status.SetAside++
			}
		}
		list = append(list, status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
