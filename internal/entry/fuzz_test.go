package entry_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
)

// FuzzCallerHeaders guards against request headers that crash the entry, and
// against the outcome not-run for a request that ran.
func FuzzCallerHeaders(f *testing.F) {
	f.Add("500", "colombo-shop", "order-17")
	f.Add("-1", "", "tk1.e30.AAAA")
	f.Add("99999999999999999999", "a/b", "tk1..")
	f.Add("0x10", "\x00", strings.Repeat("k", 2000))
	f.Fuzz(func(t *testing.T, deadline, account, key string) {
		env := newTestEnv(attemptAnswered)
		request := httptest.NewRequest(http.MethodPost, "/s/x", strings.NewReader("{}"))
		request.Header.Set(api.HeaderDeadline, deadline)
		request.Header.Set(api.HeaderAccount, account)
		request.Header.Set(api.HeaderIdempotencyKey, key)
		recorder := httptest.NewRecorder()
		env.entry(env.host).ServeHTTP(recorder, request)
		outcome := recorder.Header().Get(api.HeaderOutcome)
		if outcome == string(codes.NotRun) && env.host.runs > 0 {
			t.Fatalf("a request that ran got outcome not-run with code %s", recorder.Header().Get(api.HeaderCode))
		}
		if recorder.Code >= http.StatusInternalServerError && recorder.Header().Get(api.HeaderCode) == "" {
			t.Fatalf("status %d has no code", recorder.Code)
		}
	})
}
