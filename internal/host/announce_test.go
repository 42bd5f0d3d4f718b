package host_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/tarragonford/tarragonford/api"
)

func postAnnouncement(t *testing.T, handler http.Handler, announcement api.Announcement) int {
	t.Helper()
	body, err := json.Marshal(announcement)
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, api.PathAnnounce, bytes.NewReader(body)))
	return recorder.Code
}

// TestMalformedAnnouncementsAreRefused guards against the record of a server that
// cannot be sent requests.
func TestMalformedAnnouncementsAreRefused(t *testing.T) {
	f := newFixture(t, nil)
	valid := api.Announcement{ID: "c", Service: "s", Addr: "127.0.0.1:1", Incarnation: 1, Slots: 1}
	for name, change := range map[string]func(*api.Announcement){
		"no id":            func(a *api.Announcement) { a.ID = "" },
		"no service":       func(a *api.Announcement) { a.Service = "" },
		"no slots":         func(a *api.Announcement) { a.Slots = 0 },
		"no incarnation":   func(a *api.Announcement) { a.Incarnation = 0 },
		"host name":        func(a *api.Announcement) { a.Addr = "example.test:80" },
		"no port":          func(a *api.Announcement) { a.Addr = "127.0.0.1" },
		"negative warm-up": func(a *api.Announcement) { a.WarmUpMS = -1 },
	} {
		announcement := valid
		change(&announcement)
		if status := postAnnouncement(t, f.attachments.Handler(), announcement); status != http.StatusBadRequest {
			t.Errorf("%s: status %d", name, status)
		}
	}
	if status := postAnnouncement(t, f.attachments.Handler(), valid); status != http.StatusOK {
		t.Errorf("valid announcement: status %d", status)
	}
}
