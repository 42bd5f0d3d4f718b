package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/report"
)

// fakeEntry is a fake entry node that records the requests it receives.
type fakeEntry struct {
	*httptest.Server
	mu   sync.Mutex
	seen []seenRequest
}

type seenRequest struct{ token, key, method string }

func newEntry(t *testing.T, answer func(w http.ResponseWriter, r *http.Request, token string)) *fakeEntry {
	e := &fakeEntry{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == api.PathKeys {
			json.NewEncoder(w).Encode(api.IssuedKey{Key: "issued-for-" + r.URL.Query().Get("service")})
			return
		}
		token := r.URL.Query().Get("token")
		e.mu.Lock()
		e.seen = append(e.seen, seenRequest{token, r.Header.Get(api.HeaderIdempotencyKey), r.Method})
		e.mu.Unlock()
		answer(w, r, token)
	}))
	t.Cleanup(e.Server.Close)
	return e
}

func (e *fakeEntry) address() string { return strings.TrimPrefix(e.URL, "http://") }

func validResponse(w http.ResponseWriter, r *http.Request, token string) {
	padding, _ := strconv.Atoi(r.URL.Query().Get("padding"))
	w.Header().Set(api.HeaderOutcome, string(codes.Ran))
	json.NewEncoder(w).Encode(map[string]string{"token": token, "padding": strings.Repeat("x", padding)})
}

func refusal(code codes.Code) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set(api.HeaderCode, strconv.Itoa(code.Number))
		w.Header().Set(api.HeaderOutcome, string(code.Outcome))
		w.WriteHeader(code.Status)
	}
}

func testMix(target Target) Mix {
	mix := DefaultMix()
	mix.Rate, mix.Duration, mix.Targets = 400, 250*time.Millisecond, []Target{target}
	return mix
}

func runForTest(t *testing.T, mix Mix, entries ...*fakeEntry) (report.Summary, []report.Attempt) {
	t.Helper()
	var csv bytes.Buffer
	options := Options{RunID: "t", CSV: &csv}
	for _, entry := range entries {
		options.Entries = append(options.Entries, entry.address())
	}
	summary, err := Run(context.Background(), mix, options)
	if err != nil {
		t.Fatal(err)
	}
	var attempts []report.Attempt
	if err := report.ReadAttempts(&csv, func(a report.Attempt) { attempts = append(attempts, a) }); err != nil {
		t.Fatal(err)
	}
	return summary, attempts
}

// Guards against requests that are lost or counted twice, and against a share of the mix that has no
// effect.
func TestRunCountsEveryRequest(t *testing.T) {
	g := NewWithT(t)
	entry := newEntry(t, validResponse)
	mix := testMix(Target{Service: "bookings", Path: "/bookings/", Writes: 0.5, Keyed: 0.5, NodeKeys: 0.5, Padding: 100})
	mix.Accounts = []string{"a", "b"}
	summary, attempts := runForTest(t, mix, entry)
	g.Expect(summary.Requests).To(BeNumerically("~", 100, 50))
	g.Expect(summary.Answered).To(Equal(summary.Requests))
	g.Expect(summary.Attempts).To(Equal(summary.Requests))
	g.Expect(attempts).To(HaveLen(summary.Requests))
	g.Expect(entry.seen).To(HaveLen(summary.Requests))
	g.Expect(summary.Latency["all"].Count).To(Equal(summary.Requests))
	kinds := map[string]int{}
	for _, seen := range entry.seen {
		key := "own"
		switch {
		case seen.key == "":
			key = "none"
		case seen.key == "issued-for-bookings":
			key = "issued"
		}
		kinds[seen.method+" "+key]++
	}
	g.Expect(kinds).To(And(HaveLen(4), HaveKey("GET none"), HaveKey("POST none"), HaveKey("POST own"), HaveKey("POST issued")))
}

// Guards against an invalid response that is accepted: one to another request, one that is truncated
// or cut off, or none.
func TestResponsesAreChecked(t *testing.T) {
	cases := map[report.Check]func(http.ResponseWriter, *http.Request, string){
		report.CheckOK:    validResponse,
		report.CheckWrong: func(w http.ResponseWriter, r *http.Request, _ string) { validResponse(w, r, "t-0") },
		report.CheckTruncated: func(w http.ResponseWriter, _ *http.Request, token string) {
			w.Write([]byte(`{"token":"` + token))
		},
		report.CheckCutOff: func(w http.ResponseWriter, _ *http.Request, token string) {
			w.Header().Set("Content-Length", "1000")
			w.Write([]byte(`{"token":"` + token + `"}`))
		},
		report.CheckLost: func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) },
	}
	for want, answer := range cases {
		t.Run(string(want), func(t *testing.T) {
			g := NewWithT(t)
			summary, attempts := runForTest(t, testMix(Target{Path: "/", Writes: 1}), newEntry(t, answer))
			g.Expect(summary.Retries).To(BeZero())
			for _, attempt := range attempts {
				g.Expect(attempt.Check).To(Equal(want))
			}
			g.Expect(summary.WrongAnswers).To(Equal(countIf(want == report.CheckWrong, attempts)))
			g.Expect(summary.Truncated).To(Equal(countIf(want == report.CheckTruncated, attempts)))
			g.Expect(summary.CutOff).To(Equal(countIf(want == report.CheckCutOff, attempts)))
		})
	}
}

func countIf(counts bool, attempts []report.Attempt) int {
	if counts {
		return len(attempts)
	}
	return 0
}

// Guards against retries of requests without a key and of requests that were refused without having
// run, and against a retry through the same entry.
func TestOnlyKeyedRequestsAreRetried(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		keyed   float64
		code    codes.Code
		repeats bool
	}{
		{1, codes.AnswerLost, true}, {0, codes.AnswerLost, false}, {1, codes.NoServer, false}, {1, codes.KeyExpired, false},
	} {
		bad, good := newEntry(t, refusal(c.code)), newEntry(t, validResponse)
		summary, attempts := runForTest(t, testMix(Target{Path: "/", Writes: 1, Keyed: c.keyed}), bad, good)
		g.Expect(summary.Retries > 0).To(Equal(c.repeats), c.code.Name)
		g.Expect(summary.Answered == summary.Requests).To(Equal(c.repeats), c.code.Name)
		keys := map[string]string{}
		for _, attempt := range attempts {
			if attempt.Number > 1 {
				g.Expect(attempt.Entry).To(Equal(good.address()))
				g.Expect(attempt.Key).To(Equal(keys[attempt.Token]))
			}
			keys[attempt.Token] = attempt.Key
		}
	}
}

// Guards against an unknown outcome for a request that was never sent because the entry is down.
func TestNoConnectionIsNotRun(t *testing.T) {
	g := NewWithT(t)
	entry := newEntry(t, validResponse)
	entry.Close()
	summary, _ := runForTest(t, testMix(Target{Path: "/"}), entry)
	g.Expect(summary.RefusedNotRun).To(Equal(summary.Requests))
	g.Expect(summary.Attempts).To(BeZero())
}

// Guards against a request that fails because one entry of several issues no key.
func TestKeysComeFromAnyEntry(t *testing.T) {
	g := NewWithT(t)
	down, good := newEntry(t, validResponse), newEntry(t, validResponse)
	down.Close()
	summary, attempts := runForTest(t, testMix(Target{Service: "s", Path: "/", Writes: 1, Keyed: 1, NodeKeys: 1}), down, good)
	g.Expect(summary.Answered).To(Equal(summary.Requests))
	for _, attempt := range attempts {
		g.Expect(attempt.Key).To(Equal("issued-for-s"))
	}
}

// Guards against closed-loop load: arrivals that wait until earlier requests have finished.
func TestArrivalsBeyondTheLimitAreSkipped(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	entry := newEntry(t, func(w http.ResponseWriter, r *http.Request, token string) {
		<-release
		validResponse(w, r, token)
	})
	mix := testMix(Target{Path: "/"})
	mix.InFlight = 3
	mix.Deadline = time.Minute
	r, err := newRunner(&mix, Options{Entries: []string{entry.address()}})
	g.Expect(err).NotTo(HaveOccurred())
	arrivals := r.generate(context.Background(), newSchedule(&mix, "t", 1))
	close(release)
	r.requests.Wait()
	summary, err := r.finish(arrivals)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(summary.Answered).To(Equal(3))
	g.Expect(summary.Skipped).To(Equal(summary.Requests - 3))
}

// Guards against different schedules for the same seed.
func TestScheduleIsSeeded(t *testing.T) {
	g := NewWithT(t)
	mix := testMix(Target{Path: "/a", Weight: 1, Writes: 0.5})
	mix.Targets = append(mix.Targets, Target{Path: "/b", Weight: 3})
	first, second := newSchedule(&mix, "t", 3), newSchedule(&mix, "t", 3)
	hits := map[string]int{}
	for {
		a, more := first.next()
		b, _ := second.next()
		g.Expect(a).To(Equal(b))
		if !more {
			break
		}
		hits[a.target.Path]++
	}
	g.Expect(hits["/b"]).To(BeNumerically(">", hits["/a"]))
}

// Guards against a mix that is run despite an unknown key or a value out of range.
func TestInvalidMixIsRefused(t *testing.T) {
	g := NewWithT(t)
	name := filepath.Join(t.TempDir(), "mix.yaml")
	g.Expect(os.WriteFile(name, []byte("rate: 5\ntargets: [{path: /, wirtes: 1}]\n"), 0o600)).To(Succeed())
	_, err := LoadMix(name)
	g.Expect(err).To(MatchError(ContainSubstring("wirtes")))
	for _, edit := range []func(*Mix){
		func(m *Mix) { m.Rate = 0 }, func(m *Mix) { m.Duration = 0 }, func(m *Mix) { m.Targets = nil },
		func(m *Mix) { m.Targets[0].Path = "x" }, func(m *Mix) { m.Targets[0].Writes = 2 },
		func(m *Mix) { m.Targets[0].NodeKeys = 1 }, func(m *Mix) { m.Deadline = 0 },
	} {
		mix := testMix(Target{Path: "/"})
		edit(&mix)
		g.Expect(mix.Check()).NotTo(Succeed())
	}
}

// Guards against keys of the mix file that are missing in docs/load.md.
func TestMixIsDescribed(t *testing.T) {
	page, err := os.ReadFile("../../docs/load.md")
	if err != nil {
		t.Fatal(err)
	}
	check := func(structure reflect.Type, prefix string) {
		for i := range structure.NumField() {
			if key := prefix + structure.Field(i).Tag.Get("yaml"); key != "targets" && !strings.Contains(string(page), "| `"+key+"` |") {
				t.Errorf("docs/load.md does not describe %s", key)
			}
		}
	}
	check(reflect.TypeFor[Mix](), "")
	check(reflect.TypeFor[Target](), "targets[].")
}

func FuzzParseResult(f *testing.F) {
	f.Add("1004", "not-run")
	f.Add("", "")
	f.Add("-5", "ran")
	f.Fuzz(func(t *testing.T, code, outcome string) {
		header := http.Header{api.HeaderCode: {code}, api.HeaderOutcome: {outcome}}
		number, got := parseResult(header)
		if number < 0 || got == codes.NotRun && outcome != string(codes.NotRun) {
			t.Fatalf("code %q and outcome %q became %d and %s", code, outcome, number, got)
		}
	})
}

func FuzzCheckAnswer(f *testing.F) {
	f.Add(200, []byte(`{"token":"t-1"}`))
	f.Add(500, []byte(`oops`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		check := checkResponse(status, 0, body, plannedRequest{token: "t-1", target: &Target{}})
		if status/100 == 2 && check == report.CheckOK && !bytes.Contains(body, []byte("oken")) {
			t.Fatalf("body %q without a token was accepted", body)
		}
	})
}
