package host

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/admit"
	"github.com/tarragonford/tarragonford/internal/blackboard"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/problem"
)

const (
	// announcementTTL is how long a server stays attached after its last
	// announcement: three missed announcements, which are sent every second.
	announcementTTL = 3500 * time.Millisecond
	// defaultMaxAnnouncement is the default of Options.MaxAnnouncement.
	defaultMaxAnnouncement = 4096
	maxSlots               = 10_000
	// maxWarmUp is the longest warm-up that a server may announce. A much larger
	// number of milliseconds would overflow time.Duration and give a wrong end of the
	// warm-up.
	maxWarmUp = 24 * time.Hour
)

// attachedServer is a backend server attached to this node. Its fields are not
// reassigned; a new incarnation gets a new value.
type attachedServer struct {
	id          string
	service     string
	addr        string
	incarnation uint64
	slots       int
	admitter    *admit.Admitter
	// draining is set while the server is leaving or withdrawn and must get no new
	// requests.
	draining atomic.Bool
}

func (a *attachedServer) load() forward.Load {
	return forward.Load{Running: a.admitter.Running(), Queued: a.admitter.Queued()}
}

// Attachments processes announcements and maintains the servers in this node's
// record. It is a blackboard.Controller; except for Handler, its methods run on the
// control goroutine.
type Attachments struct {
	host     *Host
	board    *blackboard.Board
	lastSeen map[string]time.Time
}

// NewAttachments returns the controller of the servers attached to host.
func NewAttachments(host *Host, board *blackboard.Board) *Attachments {
	return &Attachments{host: host, board: board, lastSeen: map[string]time.Time{}}
}

// Name implements blackboard.Controller.
func (a *Attachments) Name() string { return "attachments" }

// Step implements blackboard.Controller. It detaches servers that have stopped
// announcing themselves and marks those that must get no new requests. After a
// pause of the process it restarts the expiry of all servers, because announcements
// could not be processed during the pause.
func (a *Attachments) Step(now time.Time, e *blackboard.Entries) {
	if e.TickGap > announcementTTL/2 {
		a.resetExpiry(now)
	}
	for id, seen := range a.lastSeen {
		if now.Sub(seen) > announcementTTL {
			a.detach(e, id)
		}
	}
	for id, server := range *a.host.servers.Load() {
		if record, ok := e.Self().Server(id); ok {
			server.draining.Store(record.Leaving || isWithdrawn(now, e, record))
			server.admitter.SetQueueFactor(e.Config().Services[server.service].QueueFactor)
		}
	}
}

func (a *Attachments) resetExpiry(now time.Time) {
	for id := range a.lastSeen {
		a.lastSeen[id] = now
	}
}

func isWithdrawn(now time.Time, e *blackboard.Entries, record *fleet.ServerRecord) bool {
	for _, withdrawal := range e.Config().Withdrawals {
		if withdrawal.ActiveAt(now) && withdrawal.Covers(e.Self(), record) {
			return true
		}
	}
	return false
}

func (a *Attachments) detach(e *blackboard.Entries, id string) {
	delete(a.lastSeen, id)
	a.setServer(id, nil)
	e.UpdateSelf(func(r *fleet.NodeRecord) bool {
		kept := r.Servers[:0]
		for _, server := range r.Servers {
			if server.ID != id {
				kept = append(kept, server)
			}
		}
		r.Servers = kept
		return true
	})
}

// setServer sets or, if server is nil, deletes an entry in a copy of the server map,
// because request goroutines read the current map without a lock.
func (a *Attachments) setServer(id string, server *attachedServer) {
	old := *a.host.servers.Load()
	next := make(map[string]*attachedServer, len(old)+1)
	for key, value := range old {
		next[key] = value
	}
	if server == nil {
		delete(next, id)
	} else {
		next[id] = server
	}
	a.host.servers.Store(&next)
}

// announce applies an announcement and returns the reply. It ignores announcements
// of an earlier incarnation.
func (a *Attachments) announce(e *blackboard.Entries, announcement api.Announcement) api.AnnounceReply {
	now := time.Now()
	server, known := (*a.host.servers.Load())[announcement.ID]
	if known && announcement.Incarnation < server.incarnation {
		return api.AnnounceReply{Node: e.Self().ID}
	}
	a.lastSeen[announcement.ID] = now
	if !known || server.incarnation != announcement.Incarnation || server.addr != announcement.Addr || server.slots != announcement.Slots {
		server = newAttachedServer(announcement, e.Config().Services[announcement.Service].QueueFactor)
		a.setServer(announcement.ID, server)
	}
	if announcement.Leaving {
		server.draining.Store(true)
	}
	e.UpdateSelf(func(r *fleet.NodeRecord) bool { return upsertServer(r, announcement, now) })
	running := server.load().Running + server.load().Queued
	return api.AnnounceReply{
		Node:    e.Self().ID,
		Running: running,
		Drained: server.draining.Load() && running == 0,
	}
}

func newAttachedServer(announcement api.Announcement, queueFactor float64) *attachedServer {
	return &attachedServer{
		id:          announcement.ID,
		service:     announcement.Service,
		addr:        announcement.Addr,
		incarnation: announcement.Incarnation,
		slots:       announcement.Slots,
		admitter:    admit.New(announcement.Slots, queueFactor, time.Now),
	}
}

// upsertServer applies the announcement to the node's record and reports whether the
// record changed. A new incarnation starts as healthy and not warmed up.
func upsertServer(r *fleet.NodeRecord, announcement api.Announcement, now time.Time) bool {
	server, ok := r.Server(announcement.ID)
	if !ok {
		r.Servers = append(r.Servers, fleet.ServerRecord{ID: announcement.ID})
		server = &r.Servers[len(r.Servers)-1]
	}
	before := *server
	if server.Incarnation != announcement.Incarnation {
		*server = fleet.ServerRecord{
			ID:          announcement.ID,
			Incarnation: announcement.Incarnation,
			DataCentre:  r.DataCentre,
			Health:      fleet.Healthy,
			HealthSince: now.Round(0),
		}
		if announcement.WarmUpMS > 0 {
			server.WarmUntil = now.Round(0).Add(time.Duration(announcement.WarmUpMS) * time.Millisecond)
		}
	}
	server.Service = announcement.Service
	server.Addr = announcement.Addr
	server.Slots = announcement.Slots
	server.ConnLimit = announcement.ConnLimit
	server.Leaving = announcement.Leaving
	return *server != before
}

// Handler returns the HTTP handler for the attach listener.
func (a *Attachments) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(api.PathAnnounce, a.serveAnnounce).Methods(http.MethodPost)
	return router
}

func (a *Attachments) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	announcement, err := decodeAnnouncement(http.MaxBytesReader(w, r.Body, a.host.options.MaxAnnouncement))
	if err != nil {
		problem.Write(w, "", codes.FromError(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	var reply api.AnnounceReply
	err = a.board.Call(ctx, func(e *blackboard.Entries) { reply = a.announce(e, announcement) })
	if err != nil {
		problem.Write(w, "", codes.NotReady.Wrap(err, "the announcement was not processed in time"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The status line has been sent, so an error can no longer be reported; the
	// backend server sees the broken connection.
	_ = json.NewEncoder(w).Encode(reply)
}

func decodeAnnouncement(body io.Reader) (api.Announcement, error) {
	var announcement api.Announcement
	decoder := json.NewDecoder(body)
	if err := decoder.Decode(&announcement); err != nil {
		return announcement, codes.BadAnnouncement.Wrap(err, "the body is not a valid announcement")
	}
	return announcement, validate(announcement)
}

func validate(announcement api.Announcement) error {
	switch {
	case announcement.ID == "" || announcement.Service == "":
		return codes.BadAnnouncement.New("id and service must not be empty")
	case announcement.Slots < 1 || announcement.Slots > maxSlots:
		return codes.BadAnnouncement.New("slots must be from 1 to %d", maxSlots)
	case announcement.Incarnation == 0:
		return codes.BadAnnouncement.New("incarnation must not be 0")
	case announcement.WarmUpMS < 0 || announcement.WarmUpMS > maxWarmUp.Milliseconds():
		return codes.BadAnnouncement.New("warm_up_ms must be from 0 to %d", maxWarmUp.Milliseconds())
	}
	addr, err := netip.ParseAddrPort(announcement.Addr)
	if err != nil || addr.Port() == 0 {
		return codes.BadAnnouncement.New("addr must be an IP address and a port")
	}
	return nil
}
