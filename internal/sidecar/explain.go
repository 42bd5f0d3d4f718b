package sidecar

import (
	"encoding/json"
	"math"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/pick"
)

// Query parameters of an explanation. An account is named; its key is no parameter.
const (
	paramHost    = "host"
	paramPath    = "path"
	paramMethod  = "method"
	paramAccount = "account"
)

// PathExplain is the path at the metrics address that tells where a request would go.
const PathExplain = "/explain"

// ExplainQuery returns the query for an explanation; method may be empty for GET, and account for
// none.
func ExplainQuery(host, path, method, account string) url.Values {
	return url.Values{paramHost: {host}, paramPath: {path}, paramMethod: {method}, paramAccount: {account}}
}

// Explanation tells where a node would send a request, without sending it.
type Explanation struct {
	Node          string `json:"node"`
	DataCentre    string `json:"data_centre"`
	Configuration uint64 `json:"configuration"`
	Route         string `json:"route,omitempty"`
	Priority      int    `json:"priority"`
	Idempotent    bool   `json:"idempotent"`
	TimeoutMS     int64  `json:"timeout_ms"`
	ObjectiveMS   int64  `json:"objective_ms"`
	// Code and Refused are set if the node would refuse the request before it chooses a server.
	Code    int    `json:"code,omitempty"`
	Refused string `json:"refused,omitempty"`
	// Services are those to which the route may lead.
	Services []ServiceExplanation `json:"services,omitempty"`
}

// ServiceExplanation is the choice between the servers of a service.
type ServiceExplanation struct {
	Service string `json:"service"`
	// Share is the share of the route's requests that go to the service.
	Share float64 `json:"share"`
	// Queueing is set if no server has a free slot, so that the request would wait for one.
	Queueing bool `json:"queueing"`
	// DataCentre is that of the chosen server; empty if no server accepts the request. Unseen is the
	// number of requests that its reports are expected not to show, and Level the cost up to which
	// they fill its servers.
	DataCentre string                 `json:"data_centre"`
	Unseen     float64                `json:"unseen"`
	Level      float64                `json:"level"`
	Candidates []CandidateExplanation `json:"candidates"`
}

// CandidateExplanation is what is known of a server, and its costs. The fields that correspond to
// those of pick.Assessment have their meaning.
type CandidateExplanation struct {
	Node               string  `json:"node"`
	DataCentre         string  `json:"data_centre"`
	Known              bool    `json:"known"`
	AgeMS              int64   `json:"age_ms"`
	Running            int     `json:"running"`
	Waiting            int     `json:"waiting"`
	Slots              int     `json:"slots"`
	Sent               int     `json:"sent"`
	Held               float64 `json:"held"`
	ServiceMS          int64   `json:"service_ms"`
	Cold               bool    `json:"cold"`
	FailureProbability float64 `json:"failure_probability"`
	ExpectedWaitMS     int64   `json:"expected_wait_ms"`
	Objection          string  `json:"objection,omitempty"`
	FixedCost          float64 `json:"fixed_cost"`
	LoadCost           float64 `json:"load_cost"`
	TransferCost       float64 `json:"transfer_cost"`
	Share              float64 `json:"share"`
}

// explainHandler answers with the Explanation of the request that the query describes.
func (e *entry) explainHandler(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	host, path := q.Get(paramHost), q.Get(paramPath)
	if host == "" || path == "" {
		http.Error(w, "the parameters host and path are required", http.StatusBadRequest)
		return
	}
	method := q.Get(paramMethod)
	if method == "" {
		method = http.MethodGet
	}
	body, err := json.Marshal(e.explain(host, path, method, q.Get(paramAccount)))
	if err != nil {
		http.Error(w, trace.Wrap(err).Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		e.log.Debug("failed to send an explanation", zap.Error(err))
	}
}

// explain describes the choice that the node would make now.
func (e *entry) explain(host, path, method, account string) Explanation {
	x := &exchange{entry: e, view: e.control.View(), started: time.Now()}
	result := Explanation{Node: e.settings.Node, DataCentre: e.settings.DataCentre, Configuration: x.view.configVersion()}
	if err := x.routeExplained(host, path, method, account); err != nil {
		coded := codes.FromError(err)
		result.Code, result.Refused = coded.Code.Number, coded.Error()
		return result
	}
	result.Route, result.Priority, result.Idempotent = x.route.ID, x.request.priority, x.request.idempotent
	result.TimeoutMS, result.ObjectiveMS = x.deadline.Sub(x.started).Milliseconds(), x.objective.Sub(x.started).Milliseconds()
	total := 0.0
	for _, share := range x.route.Split {
		total += share.Weight
	}
	for _, share := range x.route.Split {
		if share.Weight == 0 {
			continue
		}
		result.Services = append(result.Services, x.explainService(share.Service, share.Weight/total))
	}
	if total == 0 {
		result.Services = append(result.Services, x.explainService(x.route.Service, 1))
	}
	return result
}

// routeExplained prepares the exchange like the arrival of a request, whose key is taken as good if
// the account is known.
func (x *exchange) routeExplained(host, path, method, account string) error {
	config := x.view.Config
	if config == nil || !x.view.MembersKnown() {
		return codes.NotReady.New("the node has no configuration yet")
	}
	found, ok := config.Index.FindPrefix(hostName(host), path)
	if !ok {
		return codes.NoRoute.New("no route for host %q and path %q in configuration %d", host, path, config.Version)
	}
	x.route = found
	x.setDeadlines(&http.Request{Header: http.Header{}})
	name := AccountName{InUse: config.Keys != nil, Name: account}
	if _, known := config.Accounts[account]; name.InUse && !known && (account != "" || !found.Public) {
		return codes.UnknownKey.New("configuration %d has no account %q", config.Version, account)
	}
	x.request.priority, x.request.idempotent = x.priority(name), found.IsIdempotent(method)
	return x.checkStop()
}

// explainService describes the choice between the servers of a service: for a free slot, or for a
// place in a queue if no server has one.
func (x *exchange) explainService(service string, share float64) ServiceExplanation {
	result := ServiceExplanation{Service: service, Share: share}
	pool := x.view.Services[service]
	if pool == nil {
		return result
	}
	now := time.Now()
	chosen := x.entry.picker.Explain(now, pool.Candidates, x.query(now))
	if chosen.DataCentre == "" {
		result.Queueing, x.queueing = true, true
		chosen = x.entry.picker.Explain(now, pool.Candidates, x.query(now))
		x.queueing = false
	}
	result.DataCentre, result.Unseen, result.Level = chosen.DataCentre, rounded(chosen.Unseen), rounded(chosen.Level)
	for _, a := range chosen.Candidates {
		result.Candidates = append(result.Candidates, explainCandidate(a))
	}
	return result
}

func explainCandidate(a pick.Assessment) CandidateExplanation {
	waiting := 0
	for _, n := range a.Load.Waiting {
		waiting += n
	}
	return CandidateExplanation{
		Node: a.ID, DataCentre: a.DataCentre, Known: a.Known, AgeMS: a.Age.Milliseconds(), Running: a.Load.Running,
		Waiting: waiting, Slots: a.Load.Slots, Sent: a.Sent, Held: rounded(a.Held), ServiceMS: a.Load.Service.Milliseconds(),
		Cold: a.Load.Cold, FailureProbability: rounded(a.FailureProbability), ExpectedWaitMS: a.ExpectedWait.Milliseconds(),
		Objection: a.Objection.String(), FixedCost: rounded(a.Fixed), LoadCost: rounded(a.LoadCost),
		TransferCost: rounded(a.Transfer), Share: rounded(a.Share),
	}
}

// rounded rounds to the resolution of shares in logs.
func rounded(value float64) float64 { return math.Round(value*shareScale) / shareScale }
