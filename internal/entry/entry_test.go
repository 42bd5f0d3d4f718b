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

// send sends one request to an entry over the world's fake host.
func (w *world) send(method, path string, header http.Header) *http.Response {
	return w.sendTo(w.host, method, path, header, "{}")
}

func (w *world) sendTo(local forward.Server, method, path string, header http.Header, body string) *http.Response {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for name, values := range header {
		request.Header[name] = values
	}
	recorder := httptest.NewRecorder()
	w.entry(local).ServeHTTP(recorder, request)
	return recorder.Result()
}

func code(response *http.Response) string { return response.Header.Get(api.HeaderCode) }

func outcome(response *http.Response) string { return response.Header.Get(api.HeaderOutcome) }

var fates = rapid.SliceOfN(rapid.SampledFrom([]fate{fateAnswer, fateRefuse, fateRunLost, fateLost, fateError}), 0, 5)

var _ = ginkgo.Describe("a request without a key", func() {
	// Guards against a booking that runs twice, and against a refusal of a
	// booking that ran.
	ginkgo.It("runs a non-idempotent request at most once and tells the true outcome", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			w := newWorld(fates.Draw(t, "fates")...)
			w.fencer.silent = rapid.Bool().Draw(t, "silent")
			w.fencer.replies = rapid.Bool().Draw(t, "replies")
			response := w.send(http.MethodPost, "/s/x", nil)
			if w.host.runs > 1 {
				t.Fatalf("the request ran %d times", w.host.runs)
			}
			if outcome(response) == string(codes.NotRun) && w.host.runs > 0 {
				t.Fatal("the request ran and the caller was told not-run")
			}
			if response.StatusCode == http.StatusOK && w.host.runs == 0 {
				t.Fatal("the request did not run and the caller was given an answer")
			}
		})
	})

	// Guards against a read whose first attempt ran and whose last was refused
	// being reported as not-run.
	ginkgo.It("never tells not-run for an idempotent request that ran", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			w := newWorld(fates.Draw(t, "fates")...)
			response := w.send(http.MethodGet, "/s/x", nil)
			if outcome(response) == string(codes.NotRun) && w.host.runs > 0 {
				t.Fatal("the request ran and the caller was told not-run")
			}
		})
	})

	ginkgo.It("tries another server after a refusal", func() {
		w := newWorld(fateRefuse, fateAnswer)
		gomega.Expect(w.send(http.MethodPost, "/s/x", nil).StatusCode).To(gomega.Equal(http.StatusOK))
		gomega.Expect(w.host.attempts).To(gomega.Equal(2))
	})

	// Guards against a read that fails because of one gray server.
	ginkgo.It("tries another server after a server's own error, for reads only", func() {
		read := newWorld(fateError, fateAnswer)
		gomega.Expect(read.send(http.MethodGet, "/s/x", nil).StatusCode).To(gomega.Equal(http.StatusOK))
		write := newWorld(fateError, fateAnswer)
		gomega.Expect(write.send(http.MethodPost, "/s/x", nil).StatusCode).To(gomega.Equal(http.StatusInternalServerError))
		gomega.Expect(write.host.attempts).To(gomega.Equal(1))
	})

	ginkgo.It("hands on a server's own error when no other server does better", func() {
		w := newWorld(fateError, fateRefuse, fateRefuse, fateRefuse)
		gomega.Expect(w.send(http.MethodGet, "/s/x", nil).StatusCode).To(gomega.Equal(http.StatusInternalServerError))
	})

	ginkgo.It("does not try again while the outcome is unknown", func() {
		w := newWorld(fateRunLost, fateAnswer)
		w.fencer.silent = true
		gomega.Expect(outcome(w.send(http.MethodPost, "/s/x", nil))).To(gomega.Equal(string(codes.Unknown)))
		gomega.Expect(w.host.attempts).To(gomega.Equal(1))
	})
})

var _ = ginkgo.Describe("refusals at the entry", func() {
	ginkgo.DescribeTable("carry a code and an outcome",
		func(method, path, header, value string, want codes.Code) {
			w := newWorld(fateAnswer)
			response := w.send(method, path, http.Header{header: {value}})
			gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(want.Number)))
			gomega.Expect(response.StatusCode).To(gomega.Equal(want.Status))
			gomega.Expect(response.Header.Get("Content-Type")).To(gomega.Equal(api.ProblemContentType))
			gomega.Expect(w.host.runs).To(gomega.BeZero())
		},
		ginkgo.Entry("no route", http.MethodGet, "/other", "X", "", codes.NoRoute),
		ginkgo.Entry("bad deadline", http.MethodGet, "/s/x", api.HeaderDeadline, "soon", codes.BadRequest),
		ginkgo.Entry("negative deadline", http.MethodGet, "/s/x", api.HeaderDeadline, "-5", codes.BadRequest),
		ginkgo.Entry("unknown account", http.MethodGet, "/s/x", api.HeaderAccount, "nobody", codes.UnknownAccount),
		ginkgo.Entry("forged key", http.MethodPost, "/s/x", api.HeaderIdempotencyKey, "tk1.aa.bb", codes.KeyInvalid),
	)

	ginkgo.It("refuses a body above the limit", func() {
		w := newWorld(fateAnswer)
		response := w.sendTo(w.host, http.MethodPost, "/s/x", nil, strings.Repeat("x", 2000))
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.BodyTooLarge.Number)))
	})

	// Guards against one account that takes the capacity of all others.
	ginkgo.It("refuses an account above its rate", func() {
		w := newWorld(fateAnswer, fateAnswer, fateAnswer)
		w.view.Config.Accounts = map[string]fleet.Account{"a": {ID: "a", RatePerSecond: 0.001}}
		node := w.entry(w.host)
		var last *httptest.ResponseRecorder
		for range 3 {
			request := httptest.NewRequest(http.MethodGet, "/s/x", nil)
			request.Header.Set(api.HeaderAccount, "a")
			last = httptest.NewRecorder()
			node.ServeHTTP(last, request)
		}
		gomega.Expect(last.Header().Get(api.HeaderCode)).To(gomega.Equal(strconv.Itoa(codes.AccountLimit.Number)))
	})

	ginkgo.It("refuses while the node is not ready", func() {
		w := newWorld(fateAnswer)
		w.view.Ready = false
		response := w.send(http.MethodGet, "/s/x", nil)
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.NotReady.Number)))
		gomega.Expect(outcome(response)).To(gomega.Equal(string(codes.NotRun)))
	})

	// An earlier request with the same key may have run elsewhere, so not-run
	// would be a guess.
	ginkgo.It("does not promise not-run for a key that it did not fence", func() {
		w := newWorld(fateAnswer)
		w.view.Ready = false
		response := w.send(http.MethodPost, "/s/x", http.Header{api.HeaderIdempotencyKey: {"mine"}})
		gomega.Expect(outcome(response)).To(gomega.Equal(string(codes.Unknown)))
	})
})

var _ = ginkgo.Describe("a key that a node issued", func() {
	issue := func(w *world, incarnation uint64) http.Header {
		key := atmostonce.NewSigner("secret").Issue(atmostonce.Key{
			Service: "s", Host: "n", HostIncarnation: incarnation, Server: "b0", ServerIncarnation: 1,
			ExpiresMS: time.Now().Add(time.Minute).UnixMilli(), Nonce: atmostonce.NewNonce(),
		})
		return http.Header{api.HeaderIdempotencyKey: {key}}
	}

	ginkgo.It("runs at the host that it is bound to", func() {
		w := newWorld(fateAnswer)
		gomega.Expect(w.send(http.MethodPost, "/s/x", issue(w, 1)).StatusCode).To(gomega.Equal(http.StatusOK))
	})

	ginkgo.It("is lost with the incarnation of the host", func() {
		w := newWorld(fateAnswer)
		w.view.Self.Version.Incarnation = 2
		response := w.send(http.MethodPost, "/s/x", issue(w, 1))
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.KeyHostLost.Number)))
		gomega.Expect(outcome(response)).To(gomega.Equal(string(codes.Unknown)))
	})

	// The key came through a node that heard of the host's new start sooner. To
	// call it lost would send the caller away from a host that is there.
	ginkgo.It("is not called lost before this node knows the incarnation", func() {
		w := newWorld(fateAnswer)
		response := w.send(http.MethodPost, "/s/x", issue(w, 7))
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.HostUnreachable.Number)))
		gomega.Expect(outcome(response)).To(gomega.Equal(string(codes.Unknown)))
		gomega.Expect(w.host.runs).To(gomega.BeZero())
	})
})

// downStore is a platform that does not answer.
type downStore struct{ platform.Store }

func (downStore) Get(context.Context, string, string) (platform.Row, error) {
	return platform.Row{}, platform.ErrUnavailable
}

// lossyStore loses the answer of every write after it took effect.
type lossyStore struct{ platform.Store }

func (s lossyStore) Transact(ctx context.Context, table string, checks []platform.Check, writes []platform.Write) error {
	if err := s.Store.Transact(ctx, table, checks, writes); err != nil {
		return err
	}
	return platform.ErrUnavailable
}

var _ = ginkgo.Describe("a key chosen by the caller", func() {
	header := http.Header{api.HeaderIdempotencyKey: {"order-17"}}

	ginkgo.It("is refused with the code that names issued keys while the table is down", func() {
		w := newWorld(fateAnswer)
		w.store = downStore{w.store}
		response := w.send(http.MethodPost, "/s/x", header)
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.KeyStoreDown.Number)))
		gomega.Expect(w.host.runs).To(gomega.BeZero())
	})

	ginkgo.It("uses the claim that a lost answer left behind", func() {
		w := newWorld(fateAnswer, fateAnswer)
		w.store = lossyStore{w.store}
		gomega.Expect(w.send(http.MethodPost, "/s/x", header).StatusCode).To(gomega.Equal(http.StatusOK))
	})

	ginkgo.It("is refused for another request", func() {
		w := newWorld(fateAnswer, fateAnswer)
		w.send(http.MethodPost, "/s/x", header)
		response := w.send(http.MethodPost, "/s/other", header)
		gomega.Expect(code(response)).To(gomega.Equal(strconv.Itoa(codes.KeyReused.Number)))
		gomega.Expect(w.host.runs).To(gomega.Equal(1))
	})
})
