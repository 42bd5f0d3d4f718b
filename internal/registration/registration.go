package registration

import (
	"slices"
	"time"
)

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

// Ack tells a server what became of its report.
type Ack int

const (
	// Rejected reports are invalid.
	Rejected Ack = iota
	// Unsaved departures are in force, but a restart of the node could forget them.
	Unsaved
	// Accepted reports have taken effect.
	Accepted
)

// Incarnation identifies one start of a backend server.
type Incarnation struct {
	ID string `json:"id"`
	// StartedMs is the start in Unix milliseconds; 0 if unknown.
	StartedMs int64 `json:"born"`
	// StartedByMs is a time by which an incarnation with an unknown start was running, in Unix
	// milliseconds; 0 if that is unknown too.
	StartedByMs int64 `json:"born_by,omitempty"`
}

// Matches reports whether two incarnations may be the same one.
func (i Incarnation) Matches(other Incarnation) bool {
	if i.ID != other.ID {
		return false
	}
	switch {
	case i.StartedMs == other.StartedMs:
		return true
	case i.StartedMs == 0:
		return i.StartedByMs == 0 || other.StartedMs <= i.StartedByMs
	case other.StartedMs == 0:
		return other.StartedByMs == 0 || i.StartedMs <= other.StartedByMs
	}
	return false
}

// covers reports whether the departure of i means that another incarnation has left. Without a start time, it stands
// for each incarnation of the ID that had started by then: a report that is late must not undo it.
func (i Incarnation) covers(other Incarnation) bool {
	return i == other || i.StartedMs == 0 && i.StartedByMs > 0 && i.Matches(other)
}

// AddDeparture adds a departure to a list, oldest first. It drops earlier departures that the new one repeats, as
// when a server deregisters again because it got no acknowledgement.
func AddDeparture(list []Incarnation, departed Incarnation) []Incarnation {
	list = slices.DeleteFunc(list, func(known Incarnation) bool {
		return known.StartedMs == 0 && known.StartedByMs > 0 && departed.covers(known) && departed.StartedByMs > known.StartedByMs
	})
	if slices.Contains(list, departed) {
		return list
	}
	return append(list, departed)
}

// Server is the current incarnation of the backend server.
type Server struct {
	Incarnation
	Addr    string
	Slots   int
	Leaving bool
	// LeftAs is the departure by which a leaving server has left.
	LeftAs Incarnation
	// Unconfirmed is set if the server may have left: while an earlier process of the node ran, or
	// because another incarnation with its ID has left.
	Unconfirmed bool
	// WarmUntil is the end of the cold start.
	WarmUntil time.Time
	// ReportedAt is the arrival time of the newest report.
	ReportedAt time.Time
}

// maxKnown bounds the departures and the replaced incarnations that are remembered. One node sees
// only a few servers, one after the other.
const maxKnown = 64

// confirmingReports is the number of reports in a row that prove that an incarnation is alive. One
// report may have been delayed until after the end of its sender; an incarnation that is alive sends
// the next one soon.
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
	// contested is set from the departure of another incarnation with the ID of the current one until
	// the current one reports again: only one of the two is alive.
	contested bool
	// rival is an incarnation that has reported since the last report of the current one.
	rival rival
	// departed are the incarnations that left, and replaced those that another one has taken the place
	// of, both oldest first.
	departed, replaced []Incarnation
}

// rival is an incarnation that may take the place of the current one.
type rival struct {
	incarnation Incarnation
	sequence    uint64
	reports     int
}

// New returns a registry for the servers of one service.
func New(service string) *Registry { return &Registry{service: service} }

// AwaitDepartures notes that earlier processes of the node may have acknowledged departures that are
// not known yet. Until DeparturesLoaded, one report is not enough to use a server.
func (r *Registry) AwaitDepartures() { r.departuresUnknown = true }

// DeparturesLoaded ends AwaitDepartures.
func (r *Registry) DeparturesLoaded() {
	r.departuresUnknown = false
	r.updateConfirmed()
}

// RestoreDeparture adds an incarnation that left while an earlier process of the node ran.
func (r *Registry) RestoreDeparture(departed Incarnation) {
	r.recordDeparture(departed)
	if r.known && r.current.Matches(departed) {
		r.current.leave(departed)
	}
}

// leave sets the departure of the server, unless it has one.
func (s *Server) leave(departed Incarnation) {
	if !s.Leaving {
		s.Leaving, s.LeftAs = true, departed
	}
}

// Departed returns the incarnations that left, oldest first.
func (r *Registry) Departed() []Incarnation { return slices.Clone(r.departed) }

// Heartbeat records a report. It returns false for a report that is invalid or of another service;
// a late report is accepted but changes nothing, unless it reports a departure.
func (r *Registry) Heartbeat(now time.Time, report Report) bool {
	if report.Service != r.service || report.Slots < 1 || report.ID == "" || report.Addr == "" {
		return false
	}
	incarnation := Incarnation{ID: report.ID, StartedMs: report.StartedMs}
	isCurrent := r.known && incarnation == r.current.Incarnation
	if isCurrent && report.Sequence <= r.sequence {
		return true
	}
	if r.known && !isCurrent && !r.replaces(incarnation, report.Sequence) {
		if report.Leaving {
			r.depart(incarnation)
		}
		return true
	}
	if report.Leaving {
		r.recordDeparture(incarnation)
	}
	if !isCurrent {
		r.replaceCurrent()
	}
	r.rival = rival{}
	r.contested = false
	r.reports++
	r.known = true
	r.sequence = report.Sequence
	r.current = Server{
		Incarnation: incarnation,
		Addr:        report.Addr,
		Slots:       report.Slots,
		ReportedAt:  now,
	}
	if departed, left := r.departureOf(incarnation); left {
		r.current.leave(departed)
	}
	r.updateConfirmed()
	if report.WarmUp > 0 {
		r.current.WarmUntil = now.Add(report.WarmUp)
	}
	return true
}

// Adopt uses a server that answered at its address before it reported, with an unknown start time,
// until its first report. It returns false if a server has reported, or one with that ID has left.
func (r *Registry) Adopt(now time.Time, id, addr string, slots int) bool {
	if r.known || slices.ContainsFunc(r.departed, func(i Incarnation) bool { return i.ID == id }) {
		return false
	}
	r.known = true
	r.current = Server{Incarnation: Incarnation{ID: id, StartedByMs: now.UnixMilli()}, Addr: addr, Slots: slots, ReportedAt: now}
	r.updateConfirmed()
	return true
}

func (r *Registry) updateConfirmed() {
	r.current.Unconfirmed = r.contested || r.departuresUnknown && r.reports < confirmingReports
}

// replaces reports whether an incarnation takes the place of the current one. A new one with a later
// start time does at once. But start times are taken from the clock of an instance, which may step
// back, so any other one does when it goes on reporting while the current one is silent.
func (r *Registry) replaces(next Incarnation, sequence uint64) bool {
	if r.hasLeft(next) {
		return false
	}
	later := next.StartedMs == 0 || r.current.StartedMs == 0 || next.StartedMs > r.current.StartedMs
	if later && !slices.Contains(r.replaced, next) {
		return true
	}
	switch {
	case r.rival.incarnation != next:
		r.rival = rival{incarnation: next, sequence: sequence, reports: 1}
	case sequence > r.rival.sequence:
		r.rival.sequence = sequence
		r.rival.reports++
	}
	return r.rival.reports >= confirmingReports
}

// replaceCurrent makes room for the first report of another incarnation, whose earlier reports as a
// rival count.
func (r *Registry) replaceCurrent() {
	if r.known && !slices.Contains(r.replaced, r.current.Incarnation) {
		r.replaced = bounded(append(r.replaced, r.current.Incarnation))
	}
	r.reports = max(r.rival.reports-1, 0)
}

// Deregister records the departure of an incarnation and returns it. A start time of 0 stands for the
// current incarnation of the ID, or, if there is none, for any that has started by now.
func (r *Registry) Deregister(now time.Time, id string, startedMs int64) Incarnation {
	incarnation := Incarnation{ID: id, StartedMs: startedMs}
	switch {
	case startedMs != 0:
	case r.known && r.current.ID == id:
		incarnation = r.current.Incarnation
	default:
		incarnation.StartedByMs = now.UnixMilli()
	}
	r.depart(incarnation)
	return incarnation
}

// depart records a departure. Requests name only the ID of a server, so the departure of another
// incarnation of the current ID keeps requests from the current one until it reports again.
func (r *Registry) depart(incarnation Incarnation) {
	r.recordDeparture(incarnation)
	if !r.known || r.current.ID != incarnation.ID {
		return
	}
	if r.current.Matches(incarnation) {
		r.current.leave(incarnation)
		return
	}
	r.contested = true
	r.updateConfirmed()
}

// MarkDeparted records the departure of the current incarnation after its responses showed that it
// is leaving, or that its address belongs to another one. The incarnation is the one that was current
// when the request was sent, whose start time may have become known since.
func (r *Registry) MarkDeparted(incarnation Incarnation) {
	if r.known && r.current.Matches(incarnation) {
		r.current.leave(incarnation)
		r.recordDeparture(incarnation)
	}
}

// Current returns the current incarnation.
func (r *Registry) Current() (Server, bool) { return r.current, r.known }

func (r *Registry) recordDeparture(departed Incarnation) {
	r.departed = bounded(AddDeparture(r.departed, departed))
}

func (r *Registry) hasLeft(incarnation Incarnation) bool {
	_, left := r.departureOf(incarnation)
	return left
}

// departureOf returns the departure by which an incarnation has left, and false if there is none.
func (r *Registry) departureOf(incarnation Incarnation) (Incarnation, bool) {
	i := slices.IndexFunc(r.departed, func(departed Incarnation) bool { return departed.covers(incarnation) })
	if i < 0 {
		return Incarnation{}, false
	}
	return r.departed[i], true
}

// bounded drops the oldest entries of a list beyond maxKnown.
func bounded(list []Incarnation) []Incarnation {
	if len(list) > maxKnown {
		list = slices.Delete(list, 0, len(list)-maxKnown)
	}
	return list
}
