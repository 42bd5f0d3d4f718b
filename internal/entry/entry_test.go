package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/api"
	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/fleet"
	"github.com/tarragonford/tarragonford/internal/forward"
	"github.com/tarragonford/tarragonford/internal/platform"
)

// send sends one request to an entry that uses the fake host of env.
func (env *testEnv) send(method, path string, header http.Header) *http.Response {
	return env.sendTo(env.host, method, path, header, "{}")
}

func (env *testEnv) sendTo(local forward.Server, method, path string, header http.Header, body string) *http.Response {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, values := range header {
		request.Header[name] = values
	}
	recorder := httptest.NewRecorder()
	env.entry(local).ServeHTTP(recorder, request)
	return recorder.Result()
}

func code(response *http.Response) string { return response.Header.Get(api.HeaderCode) }

func outcome(response *http.Response) string { return response.Header.Get(api.HeaderOutcome) }

var attemptResults = rapid.SliceOfN(rapid.SampledFrom([]attemptResult{attemptAnswered, attemptShed, attemptRanReplyLost, attemptNotRunReplyLost, attemptServerError}), 0, 5)

var _ = ginkgo.Describe("a request without a key", func() {
	// Guards against a non-idempotent request that runs twice or is reported as
	// not-run although it ran.
	ginkgo.It("runs a non-idempotent request at most once and reports a correct outcome", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			env := newTestEnv(attemptResults.Draw(t, "results")...)
			env.fencer.unreachable = rapid.Bool().Draw(t, "unreachable")
			env.fencer.returnsReply = rapid.Bool().Draw(t, "returnsReply")
			response := env.send(http.MethodPost, "/s/x", nil)
			if env.host.runs > 1 {
				t.Fatalf("the request ran %d times", env.host.runs)
			}
			if outcome(response) == string(codes.NotRun) && env.host.runs > 0 {
				t.Fatal("the request ran and the outcome is not-run")
			}
			if response.StatusCode == http.StatusOK && env.host.runs == 0 {
				t.Fatal("the request did not run and the caller got a successful response")
			}
		})
	})

	// Guards against the outcome not-run for an idempotent request whose first
	// attempt ran and whose last attempt was rejected.
	ginkgo.It("never reports not-run for an idempotent request that ran", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			env := newTestEnv(attemptResults.Draw(t, "results")...)
			response := env.send(http.MethodGet, "/s/x", nil)
			if outcome(response) == string(codes.NotRun) && env.host.runs > 0 {
				t.Fatal("the request ran and the outcome is not-run")
			}
		})
	})

	ginkgo.It("retries at another server after a server shed the request", func() {
		env := newTestEnv(attemptShed, attemptAnswered)
		gomega.Expect(env.send(http.MethodPost, "/s/x", nil).StatusCode).To(gomega.Equal(http.StatusOK))
		gomega.Expect(env.host.attempts).To(gomega.Equal(2))
	})

	// Guards against an idempotent request that fails because one server has a gray
	// failure.
	ginkgo.It("retries at another server after a 5xx response, for idempotent requests only", func() {
		read := newTestEnv(attemptServerError, attemptAnswered)
		gomega.Expect(read.send(http.MethodGet, "/s/x", nil).StatusCode).To(gomega.Equal(http.StatusOK))
		write := newTestEnv(attemptServerError, attemptAnswered)
		gomega.Expect(write.send(http.MethodPost, "/s/x", nil).StatusCode).To(gomega.Equal(http.StatusInternalServerError))
		gomega.Expect(write.host.attempts).To(gomega.Equal(1))
	})

	ginkgo.It("returns a 5xx response of a server if no other server answers", func() {
		env := newTestEnv(attemptServerError, attemptShed, attemptShed, attemptShed)
		gomega.Expect(env.send(http.MethodGet, "/s/x", nil).StatusCode).To(gomega.Equal(http.StatusInternalServerError))
	})

	ginkgo.It("does not retry a non-idempotent request whose outcome is unknown", func() {
		env := newTestEnv(attemptRanReplyLost, attemptAnswered)
		env.fencer.unreachable = true
		gomega.Expect(outcome(env.send(http.MethodPost, "/s/x", nil))).To(gomega.Equal(string(codes.Unknown)))
		gomega.Expect(env.host.attempts).To(gomega.Equal(1))
	})
})

var _ = ginkgo.Describe("errors from the entry", func() {
	ginkgo.DescribeTable("carry a code and an outcome",
		func(method, path, header, value string, want codes.Code) {
			env := newTestEnv(attemptAnswered)
			response := env.send(method, path, http.Header{header: {value}})
			gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(want.Number)))
			gomega.Expect(response.StatusCode).To(gomega.Equal(want.Status))
			gomega.Expect(response.Header.Get("Content-Type")).To(gomega.Equal(api.ProblemContentType))
			gomega.Expect(env.host.runs).To(gomega.BeZero())
		},
		ginkgo.Entry("no route", http.MethodGet, "/other", "X", "", codes.NoRoute),
		ginkgo.Entry("bad deadline", http.MethodGet, "/s/x", api.HeaderDeadline, "soon", codes.BadRequest),
		ginkgo.Entry("negative deadline", http.MethodGet, "/s/x", api.HeaderDeadline, "-5", codes.BadRequest),
		ginkgo.Entry("unknown account", http.MethodGet, "/s/x", api.HeaderAccount, "nobody", codes.UnknownAccount),
		ginkgo.Entry("forged key", http.MethodPost, "/s/x", api.HeaderIdempotencyKey, "tk1.aa.bb", codes.KeyInvalid),
	)

	ginkgo.It("rejects a body above the size limit", func() {
		env := newTestEnv(attemptAnswered)
		response := env.sendTo(env.host, http.MethodPost, "/s/x", nil, strings.Repeat("x", 2000))
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.BodyTooLarge.Number)))
	})

	// Guards against one account using up the capacity of all others.
	ginkgo.It("rejects requests of an account above its rate limit", func() {
		env := newTestEnv(attemptAnswered, attemptAnswered, attemptAnswered)
		env.view.Config.Accounts = map[string]fleet.Account{"a": {ID: "a", RatePerSecond: 0.001}}
		node := env.entry(env.host)
		var last *httptest.ResponseRecorder
		for range 3 {
			request := httptest.NewRequest(http.MethodGet, "/s/x", nil)
			request.Header.Set(api.HeaderAccount, "a")
			last = httptest.NewRecorder()
			node.ServeHTTP(last, request)
		}
		gomega.Expect(last.Header().Get(api.HeaderCode)).To(gomega.Equal(strconv.Itoa(codes.AccountLimit.Number)))
	})

	ginkgo.It("rejects requests while the node is not ready", func() {
		env := newTestEnv(attemptAnswered)
		env.view.Ready = false
		response := env.send(http.MethodGet, "/s/x", nil)
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.NotReady.Number)))
		gomega.Expect(outcome(response)).To(gomega.Equal(string(codes.NotRun)))
	})

	// An earlier request with the same key may have run elsewhere, so the entry
	// cannot know that not-run is correct.
	ginkgo.It("does not report not-run for a key that was not fenced", func() {
		env := newTestEnv(attemptAnswered)
		env.view.Ready = false
		response := env.send(http.MethodPost, "/s/x", http.Header{api.HeaderIdempotencyKey: {"mine"}})
		gomega.Expect(outcome(response)).To(gomega.Equal(string(codes.Unknown)))
	})
})

var _ = ginkgo.Describe("a key issued by a node", func() {
	issue := func(env *testEnv, incarnation uint64) http.Header {
		key := atmostonce.NewSigner("secret").Issue(atmostonce.Key{
			Service: "s", Host: "n", HostIncarnation: incarnation, Server: "b0", ServerIncarnation: 1,
			ExpiresMS: time.Now().Add(time.Minute).UnixMilli(), Nonce: atmostonce.NewNonce(),
		})
		return http.Header{api.HeaderIdempotencyKey: {key}}
	}

	ginkgo.It("runs at the host that it is bound to", func() {
		env := newTestEnv(attemptAnswered)
		gomega.Expect(env.send(http.MethodPost, "/s/x", issue(env, 1)).StatusCode).To(gomega.Equal(http.StatusOK))
	})

	ginkgo.It("is reported as key-host-lost after the host has restarted", func() {
		env := newTestEnv(attemptAnswered)
		env.view.Self.Version.Incarnation = 2
		response := env.send(http.MethodPost, "/s/x", issue(env, 1))
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.KeyHostLost.Number)))
		gomega.Expect(outcome(response)).To(gomega.Equal(string(codes.Unknown)))
	})

	// The node that issued the key may have learned of the host's restart earlier.
	// Reporting key-host-lost would make the caller give up on a host that is up.
	ginkgo.It("is not reported as key-host-lost before this node knows the incarnation", func() {
		env := newTestEnv(attemptAnswered)
		response := env.send(http.MethodPost, "/s/x", issue(env, 7))
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.HostUnreachable.Number)))
		gomega.Expect(outcome(response)).To(gomega.Equal(string(codes.Unknown)))
		gomega.Expect(env.host.runs).To(gomega.BeZero())
	})
})

// unavailableStore fails every read with ErrUnavailable.
type unavailableStore struct{ platform.Store }

func (unavailableStore) Get(context.Context, string, string) (platform.Row, error) {
	return platform.Row{}, platform.ErrUnavailable
}

// lostReplyStore returns an error from every write after the write took effect.
type lostReplyStore struct{ platform.Store }

func (s lostReplyStore) Transact(ctx context.Context, table string, checks []platform.Check, writes []platform.Write) error {
	if err := s.Store.Transact(ctx, table, checks, writes); err != nil {
		return err
	}
	return platform.ErrUnavailable
}

var _ = ginkgo.Describe("a key chosen by the caller", func() {
	header := http.Header{api.HeaderIdempotencyKey: {"order-17"}}

	ginkgo.It("is rejected with key-store-down while the table is unavailable", func() {
		env := newTestEnv(attemptAnswered)
		env.store = unavailableStore{env.store}
		response := env.send(http.MethodPost, "/s/x", header)
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.KeyStoreDown.Number)))
		gomega.Expect(env.host.runs).To(gomega.BeZero())
	})

	ginkgo.It("uses the claim that was stored by a write whose response was lost", func() {
		env := newTestEnv(attemptAnswered, attemptAnswered)
		env.store = lostReplyStore{env.store}
		gomega.Expect(env.send(http.MethodPost, "/s/x", header).StatusCode).To(gomega.Equal(http.StatusOK))
	})

	ginkgo.It("is rejected for a different request", func() {
		env := newTestEnv(attemptAnswered, attemptAnswered)
		env.send(http.MethodPost, "/s/x", header)
		response := env.send(http.MethodPost, "/s/other", header)
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.KeyReused.Number)))
		gomega.Expect(env.host.runs).To(gomega.Equal(1))
	})
})
