package admin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/tarragonford/tarragonford/api"
)

// FuzzCreateIntent guards against a request body that crashes a node, causes
// status 500, or gets an error response without problem details.
func FuzzCreateIntent(f *testing.F) {
	f.Add(`{"spec":{"kind":"withdraw-server","target":"measures-0"}}`)
	f.Add(`{"id":"x","spec":{}}`)
	f.Add(`{"spec":{"kind":"floor","target":"measures","floor_slots":-1}}`)
	f.Add(`[`)
	n := newNode(f, 3)
	f.Fuzz(func(t *testing.T, body string) {
		request := httptest.NewRequest(http.MethodPost, api.PathIntents, strings.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+operatorToken)
		recorder := httptest.NewRecorder()
		n.handler.ServeHTTP(recorder, request)
		if recorder.Code == http.StatusInternalServerError {
			t.Fatalf("status 500: %s", recorder.Body)
		}
		if recorder.Code >= http.StatusBadRequest && recorder.Header().Get("Content-Type") != api.ProblemContentType {
			t.Fatalf("status %d without problem details", recorder.Code)
		}
	})
}
