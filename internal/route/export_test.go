package route

import "github.com/tarragonford/tarragonford/internal/fleet"

// SubsetIDs returns the IDs of the servers in the subsets of the view's entry.
func SubsetIDs(view *fleet.View, service string) []string {
	p := newPlan(view, view.Services[service], countNodes(view), NewLoads())
	var ids []string
	for _, tier := range p.subset {
		for _, m := range tier.members {
			ids = append(ids, m.candidate.Server.ID)
		}
	}
	return ids
}
