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
	// Leaving servers finish their running requests and accept no more.
	Leaving bool
	// WarmUp is how much longer the server is slow after its start.
	WarmUp time.Duration
}

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	ID        string `json:"id"`
	StartedMs int64  `json:"born"`
}

// Server is the current incarnation of the backend server.
type Server struct {
	Incarnation
	Addr    string
	Slots   int
	Leaving bool
	// Unconfirmed is set if the server may have left while an earlier process of the node ran.
	Unconfirmed bool
	// WarmUntil is the end of the cold start.
	WarmUntil time.Time
	// ReportedAt is the arrival time of the newest report.
	ReportedAt time.Time
}

// maxDeparted bounds the departures that are remembered. One node sees only a few servers, one
// after the other.
const maxDeparted = 64

// confirmingReports is the number of reports that prove that a server has not left while the
// departures recorded by earlier processes are unknown: a server that has left sends no more
// reports, but one of its reports may have been delayed.
const confirmingReports = 2

// Registry holds the reports received at one server address. It is not safe for concurrent use.
type Registry struct {
	service  string
	current  Server
	known    bool
	sequence uint64
	// reports counts the reports of the current incarnation.
	reports int
	// departuresUnknown is set until the departures that earlier processes recorded are known.
	departuresUnknown bool
	// departed are the incarnations that left, oldest first.
	departed []Incarnation
}

// New returns a registry for the servers of one service.
func New(service string) *Registry { return &Registry{service: service} }

// AwaitDepartures notes that earlier processes of the node may have recorded departures that are
// not known yet. Until DeparturesLoaded, one report is not enough to use a server.
func (r *Registry) AwaitDepartures() { r.departuresUnknown = true }

// DeparturesLoaded ends AwaitDepartures.
func (r *Registry) DeparturesLoaded() {
	r.departuresUnknown = false
	r.current.Unconfirmed = false
}

// RestoreDeparture adds an incarnation that left while an earlier process of the node ran.
func (r *Registry) RestoreDeparture(departed Incarnation) {
	r.recordDeparture(departed)
	if r.known && r.current.Incarnation == departed {
		r.current.Leaving = true
	}
}

// LastDeparted returns the incarnation that left last.
func (r *Registry) LastDeparted() (Incarnation, bool) {
	if len(r.departed) == 0 {
		return Incarnation{}, false
	}
	return r.departed[len(r.departed)-1], true
}

// Heartbeat records a report. It returns false for a report that is invalid or of another service;
// a late report is accepted but changes nothing.
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
		r.recordDeparture(incarnation)
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
		Unconfirmed: r.departuresUnknown && r.reports < confirmingReports,
		ReportedAt:  now,
	}
	if report.WarmUp > 0 {
		r.current.WarmUntil = now.Add(report.WarmUp)
	}
	return true
}

// replaces reports whether an incarnation other than the current one is newer. Without start times
// the order of arrival decides.
func (r *Registry) replaces(next Incarnation) bool {
	if next.StartedMs == 0 || r.current.StartedMs == 0 {
		return !r.hasLeft(next)
	}
	return next.StartedMs > r.current.StartedMs
}

// Deregister records the departure of an incarnation. A start time of 0 stands for the current
// incarnation of the ID. The result is always true, even for an incarnation that is not known.
func (r *Registry) Deregister(id string, startedMs int64) bool {
	incarnation := Incarnation{ID: id, StartedMs: startedMs}
	if startedMs == 0 && r.known && r.current.ID == id {
		incarnation.StartedMs = r.current.StartedMs
	}
	r.recordDeparture(incarnation)
	if r.known && r.current.Incarnation == incarnation {
		r.current.Leaving = true
	}
	return true
}

// MarkDeparted records the departure of the current incarnation after its responses showed that it
// is leaving, or that its address belongs to another one.
func (r *Registry) MarkDeparted(incarnation Incarnation) {
	if r.known && r.current.Incarnation == incarnation {
		r.current.Leaving = true
		r.recordDeparture(incarnation)
	}
}

// Current returns the current incarnation.
func (r *Registry) Current() (Server, bool) { return r.current, r.known }

func (r *Registry) recordDeparture(departed Incarnation) {
	if r.hasLeft(departed) {
		return
	}
	r.departed = append(r.departed, departed)
	if len(r.departed) > maxDeparted {
		r.departed = r.departed[1:]
	}
}

func (r *Registry) hasLeft(incarnation Incarnation) bool {
	for _, departed := range r.departed {
		if departed == incarnation {
			return true
		}
	}
	return false
}
