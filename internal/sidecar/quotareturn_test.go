package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/tarragonford/tarragonford/internal/gate"
	"github.com/tarragonford/tarragonford/internal/httpconn"
	"github.com/tarragonford/tarragonford/internal/pick"
	"github.com/tarragonford/tarragonford/internal/quota"
)

// unrunUnavailable stands for servers that mark each 503 as not run; the other headers are not needed.
type unrunUnavailable struct{ Headers }

func (unrunUnavailable) NotRun(status int, _ http.Header) bool {
	return status == http.StatusServiceUnavailable
}

// Guards against accounts that run more than their limit because the credit of a request is returned that a server
// ran or may have run, and against credit that is lost with a request that no server ran.
func TestOnlyRequestsThatDidNotRunReturnTheirCredit(t *testing.T) {
	answered := func(status int) *hopReply { return &hopReply{response: &httpconn.Response{Status: status}} }
	for _, c := range []struct {
		name  string
		reply *hopReply
		err   error
		ran   bool
	}{
		{"response", answered(http.StatusOK), nil, true},
		{"error of the server", answered(http.StatusInternalServerError), nil, true},
		{"node lost after sending", nil, errors.New("connection reset"), true},
		{"answer of the server lost", &hopReply{failed: "reset"}, nil, true},
		{"marked as not run", answered(http.StatusServiceUnavailable), nil, false},
		{"refused by the node", &hopReply{refused: &refusal{reason: gate.Closed}}, nil, false},
		{"not sent", nil, fmt.Errorf("dial: %w", httpconn.ErrNotSent), false},
	} {
		for _, lasts := range []time.Duration{time.Millisecond, quota.CreditLife + time.Millisecond} {
			t.Run(fmt.Sprintf("%s after %v", c.name, lasts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newQuotaFleet(t, 1, 0.01, 1, 0, 0, 7)
					defer f.stop()
					n := f.nodes[0]
					// The only credit of the account grows in 100 s.
					time.Sleep(200 * time.Second)
					send := func() *exchange {
						x := &exchange{
							entry: &entry{picker: pick.New("dc", "r"), log: zap.NewNop(), headers: unrunUnavailable{}, sizes: responseSizes{mean: map[string]float64{}}},
							tried: map[string]bool{}, hops: make([]hopRecord, 1), deadline: time.Now().Add(time.Minute),
							quota: n.quotas.begin(n.control.View(), AccountName{InUse: true, Name: quotaAccount}),
						}
						_, err := x.quota.wait(context.Background(), time.Minute)
						if err != nil {
							return nil
						}
						return x
					}
					x := send()
					g.Expect(x).NotTo(BeNil())
					time.Sleep(lasts)
					x.handleReply(context.Background(), Member{ID: "node-0"}, c.reply, c.err)
					x.returnCredit()
					time.Sleep(time.Second)
					g.Expect(send() == nil).To(Equal(c.ran))
				})
			})
		}
	}
}
