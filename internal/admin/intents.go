package admin

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/intent"
	"github.com/tarragonford/tarragonford/internal/intentstore"
)

func (h *handler) createIntent(r *http.Request, actor intent.Actor) (int, any, error) {
	var body api.CreateIntent
	if err := decode(r, &body); err != nil {
		return 0, nil, err
	}
	if body.ID == "" {
		body.ID = intentstore.NewID(h.Now())
	}
	in, err := h.Engine.Create(r.Context(), actor, body.ID, body.Spec)
	return h.stepResponse(http.StatusCreated, actor, in, err)
}

func (h *handler) getIntent(r *http.Request, _ intent.Actor) (int, any, error) {
	in, err := h.Engine.Get(r.Context(), mux.Vars(r)["id"])
	return http.StatusOK, in, err
}

func (h *handler) planIntent(r *http.Request, actor intent.Actor) (int, any, error) {
	if err := h.requireView(); err != nil {
		return 0, nil, err
	}
	in, err := h.Engine.Plan(r.Context(), actor, mux.Vars(r)["id"], h.situationWithTraffic(r.Context()))
	return h.stepResponse(http.StatusOK, actor, in, err)
}

func (h *handler) confirmIntent(r *http.Request, actor intent.Actor) (int, any, error) {
	plan, err := h.decodePlanNumber(r)
	if err != nil {
		return 0, nil, err
	}
	in, err := h.Engine.Confirm(r.Context(), actor, mux.Vars(r)["id"], plan, h.situation)
	return h.stepResponse(http.StatusOK, actor, in, err)
}

func (h *handler) approveIntent(r *http.Request, actor intent.Actor) (int, any, error) {
	plan, err := h.decodePlanNumber(r)
	if err != nil {
		return 0, nil, err
	}
	in, err := h.Engine.Approve(r.Context(), actor, mux.Vars(r)["id"], plan, h.situation)
	return h.stepResponse(http.StatusOK, actor, in, err)
}

// decodePlanNumber returns the plan number in the body, and an error if the node
// has no current view to check the plan against.
func (h *handler) decodePlanNumber(r *http.Request) (int, error) {
	var body api.ConfirmPlan
	if err := decode(r, &body); err != nil {
		return 0, err
	}
	if body.Plan <= 0 {
		return 0, codes.BadIntent.New("plan must be the number of the plan that was reviewed")
	}
	return body.Plan, h.requireView()
}

func (h *handler) refuseIntent(r *http.Request, actor intent.Actor) (int, any, error) {
	var body api.EndIntent
	if err := decode(r, &body); err != nil {
		return 0, nil, err
	}
	in, err := h.Engine.Refuse(r.Context(), actor, mux.Vars(r)["id"], body.Reason)
	return h.stepResponse(http.StatusOK, actor, in, err)
}

func (h *handler) cancelIntent(r *http.Request, actor intent.Actor) (int, any, error) {
	var body api.EndIntent
	if err := decode(r, &body); err != nil {
		return 0, nil, err
	}
	in, err := h.Engine.Cancel(r.Context(), actor, mux.Vars(r)["id"], body.Reason)
	return h.stepResponse(http.StatusOK, actor, in, err)
}

// stepResponse logs the new state of the intent and returns it as the response
// to a step.
func (h *handler) stepResponse(status int, actor intent.Actor, in intent.Intent, err error) (int, any, error) {
	if err != nil {
		return 0, nil, err
	}
	h.Log.Info("intent changed state",
		zap.String("intent", in.ID), zap.String("state", string(in.State)), zap.Int("step", in.Step),
		zap.String("actor", actor.ID), zap.Uint64("change_version", in.ChangeVersion))
	return status, in, nil
}

// listIntents lists all intents by page, or with open=true every intent that is
// not in a terminal state.
func (h *handler) listIntents(r *http.Request, _ intent.Actor) (int, any, error) {
	if r.URL.Query().Get("open") == "true" {
		return h.listOpenIntents(r)
	}
	after, limit, err := pageParameters(r)
	if err != nil {
		return 0, nil, err
	}
	list, err := h.Engine.List(r.Context(), after, limit)
	if err != nil {
		return 0, nil, err
	}
	body := api.IntentList{Intents: list}
	if len(list) == limit {
		body.Next = list[limit-1].ID
	}
	return http.StatusOK, body, nil
}

func (h *handler) listOpenIntents(r *http.Request) (int, any, error) {
	ids, err := h.Engine.ListOpen(r.Context())
	if err != nil {
		return 0, nil, err
	}
	body := api.IntentList{Intents: []intent.Intent{}}
	for _, id := range ids {
		in, err := h.Engine.Get(r.Context(), id)
		if err != nil {
			return 0, nil, err
		}
		body.Intents = append(body.Intents, in)
	}
	return http.StatusOK, body, nil
}

func (h *handler) listAudit(r *http.Request, _ intent.Actor) (int, any, error) {
	after, limit, err := pageParameters(r)
	if err != nil {
		return 0, nil, err
	}
	rows, err := h.Engine.ListAudit(r.Context(), r.URL.Query().Get("intent"), after, limit)
	if err != nil {
		return 0, nil, err
	}
	body := api.AuditList{Rows: rows}
	if len(rows) == limit {
		last := rows[limit-1]
		body.Next = fmt.Sprintf("%s/%06d", last.Intent, last.Step)
	}
	return http.StatusOK, body, nil
}

// pageParameters returns the query parameters "after" and "limit".
func pageParameters(r *http.Request) (string, int, error) {
	query := r.URL.Query()
	text := query.Get("limit")
	if text == "" {
		return query.Get("after"), defaultPageSize, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxPageSize {
		return "", 0, codes.BadIntent.New("limit must be between 1 and %d", maxPageSize)
	}
	return query.Get("after"), limit, nil
}
