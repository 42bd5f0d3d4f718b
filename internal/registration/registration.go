package registration

import "time"

// Report is one heartbeat of a backend server.
type Report struct {
	ID string
	// StartedMs is the start of the incarnation in Unix milliseconds; 0 if unknown.
	StartedMs int64
	Sequence  uint64
	Service   string
	Addr      string
	Slots     int
	// Leaving servers finish their work and take no more.
	Leaving bool
	// WarmUp is how much longer the server is slow after its start.
	WarmUp time.Duration
}

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	ID        string `json:"id"`
	StartedMs int64  `json:"born"`
}

// Server is the current incarnation.
type Server struct {
	Incarnation
	Addr    string
	Slots   int
	Leaving bool
	// Unconfirmed tells that the server may have left while an earlier process ran.
	Unconfirmed bool
	// WarmUntil is the end of the cold start.
	WarmUntil time.Time
	// ReportedAt is the arrival of the newest report.
	ReportedAt time.Time
}

// maxLeft bounds the leaves that are remembered. One node sees a few servers
// one after the other.
const maxLeft = 64

// sureReports is the number of reports after which a server has not left although
// the leaves of earlier processes are not known: a server that has left sends no more,
// and one report of it may have been held up.
const sureReports = 2

// Registry holds the reports of one server address. It is not safe for
// concurrent use.
type Registry struct {
	service  string
	current  Server
	known    bool
	sequence uint64
	// reports counts the reports of the current incarnation.
	reports int
	// leavesUnknown is set until the leaves that earlier processes took are known.
	leavesUnknown bool
	// left are the incarnations that left, oldest first.
	left []Incarnation
}

// New returns a registry for the servers of one service.
func New(service string) *Registry { return &Registry{service: service} }

// AwaitDepartures tells that earlier processes of the node may have taken leaves that are
// not known yet. Until LeavesKnown one report is not enough to use a server.
func (r *Registry) AwaitDepartures() { r.leavesUnknown = true }

// DeparturesLoaded ends AwaitLeaves.
func (r *Registry) DeparturesLoaded() {
	r.leavesUnknown = false
	r.current.Unconfirmed = false
}

// RestoreDeparture adds an incarnation that left while an earlier process of the node
// ran.
func (r *Registry) RestoreDeparture(left Incarnation) {
	r.remember(left)
	if r.known && r.current.Incarnation == left {
		r.current.Leaving = true
	}
}

// LastDeparted returns the incarnation that left last.
func (r *Registry) LastDeparted() (Incarnation, bool) {
	if len(r.left) == 0 {
		return Incarnation{}, false
	}
	return r.left[len(r.left)-1], true
}

// Heartbeat takes a report. It returns false for a report that names no server
// of the service; a report that is late is taken and changes nothing.
func (r *Registry) Heartbeat(now time.Time, report Report) bool {
	if report.Service != r.service || report.Slots < 1 || report.ID == "" || report.Addr == "" {
		return false
	}
	incarnation := Incarnation{ID: report.ID, StartedMs: report.StartedMs}
	switch {
	case r.known && incarnation == r.current.Incarnation:
		if report.Sequence <= r.sequence {
			return true
		}
	case r.known && !r.replaces(incarnation):
		return true
	}
	if report.Leaving {
		r.remember(incarnation)
	}
	if !r.known || r.current.Incarnation != incarnation {
		r.reports = 0
	}
	r.reports++
	r.known = true
	r.sequence = report.Sequence
	r.current = Server{
		Incarnation: incarnation,
		Addr:        report.Addr,
		Slots:       report.Slots,
		Leaving:     r.hasLeft(incarnation),
		Unconfirmed: r.leavesUnknown && r.reports < sureReports,
		ReportedAt:  now,
	}
	if report.WarmUp > 0 {
		r.current.WarmUntil = now.Add(report.WarmUp)
	}
	return true
}

// replaces reports whether another incarnation than the current one is newer.
// Without start times the order of arrival decides.
func (r *Registry) replaces(next Incarnation) bool {
	if next.StartedMs == 0 || r.current.StartedMs == 0 {
		return !r.hasLeft(next)
	}
	return next.StartedMs > r.current.StartedMs
}

// Deregister takes the leave of an incarnation. A start time of 0 stands for
// the current incarnation of the ID.
func (r *Registry) Deregister(id string, born int64) bool {
	incarnation := Incarnation{ID: id, StartedMs: born}
	if born == 0 && r.known && r.current.ID == id {
		incarnation.StartedMs = r.current.StartedMs
	}
	r.remember(incarnation)
	if r.known && r.current.Incarnation == incarnation {
		r.current.Leaving = true
	}
	return true
}

// MarkDeparted drops the current incarnation, after its address turned out to belong
// to another one.
func (r *Registry) MarkDeparted(incarnation Incarnation) {
	if r.known && r.current.Incarnation == incarnation {
		r.current.Leaving = true
		r.remember(incarnation)
	}
}

// Current returns the current incarnation.
func (r *Registry) Current() (Server, bool) { return r.current, r.known }

func (r *Registry) remember(left Incarnation) {
	if r.hasLeft(left) {
		return
	}
	r.left = append(r.left, left)
	if len(r.left) > maxLeft {
		r.left = r.left[1:]
	}
}

func (r *Registry) hasLeft(incarnation Incarnation) bool {
	for _, left := range r.left {
		if left == incarnation {
			return true
		}
	}
	return false
}
