package quota

import (
	"slices"
	"time"
)

// Part admits requests of an account at a node that reaches none of its homes.
type Part struct {
	// admitted are the times of the admitted requests of the last window.
	admitted []time.Duration
}

// Admit reports whether the node may admit a request on its own. started is the start of the
// process: an earlier process may have used the part of its first window.
func (p *Part) Admit(now, started time.Duration, account string, limit Limit, members []Node, self Node) bool {
	if now < started+limit.Window || len(members) == 0 {
		return false
	}
	p.admitted = slices.DeleteFunc(p.admitted, func(at time.Duration) bool { return now-at > limit.Window })
	if len(p.admitted) >= limit.ownPart(len(members), rank(account, members, self)) {
		return false
	}
	p.admitted = append(p.admitted, now)
	return true
}

// GiveBack removes the latest request, which did not run.
func (p *Part) GiveBack() {
	if n := len(p.admitted); n > 0 {
		p.admitted = p.admitted[:n-1]
	}
}
