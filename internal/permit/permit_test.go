package permit_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/permit"
)

// message is one on its way; messages arrive in any order, late or never, but on a stream nothing
// arrives twice.
type message struct {
	hop  int
	kind string
}

// Guards against a request that runs at two hosts, or runs though its entry took it for not run. Hosts
// freeze, and end with what they hold, at any time, and the entry gives a hop up at any time.
func TestARequestRunsOnceWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hops = 4
		var permits [hops]*permit.Permit
		var bodies [hops]io.ReadCloser
		var hasRequest, ended, frozen [hops]bool
		var under []message
		runs, current, finished, notRun := 0, -1, false, false
		send := func() {
			current++
			if current == hops {
				finished, notRun = true, true
				return
			}
			permits[current] = permit.New()
			bodies[current] = permits[current].Body(bytes.NewReader(nil))
			under = append(under, message{current, "request"})
		}
		send()
		for range rapid.IntRange(20, 60).Draw(t, "steps") {
			switch action := rapid.SampledFrom([]string{"deliver", "deliver", "deliver", "lose", "give up", "freeze", "end"}).Draw(t, "action"); action {
			case "give up":
				if finished {
					continue
				}
				if permits[current].Withdraw() {
					send()
				} else {
					finished = true
				}
			case "freeze", "end":
				host := rapid.IntRange(0, hops-1).Draw(t, "host")
				if action == "end" {
					ended[host] = true
				} else {
					frozen[host] = !frozen[host]
				}
			default:
				if len(under) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(under)-1).Draw(t, "message")
				m := under[i]
				if m.kind != "asked" && frozen[m.hop] {
					continue
				}
				under = append(under[:i], under[i+1:]...)
				if action == "lose" || ended[m.hop] && m.kind != "asked" {
					continue
				}
				switch m.kind {
				case "request":
					hasRequest[m.hop] = true
					under = append(under, message{m.hop, "asked"})
				case "asked":
					permits[m.hop].Ask()
					var data [2]byte
					if n, err := bodies[m.hop].Read(data[:]); n == 1 {
						under = append(under, message{m.hop, string(data[:1])})
					} else if !errors.Is(err, permit.ErrWithdrawn) {
						t.Fatalf("asked: %d bytes, %v", n, err)
					}
				default:
					if hasRequest[m.hop] && permit.Receive(bytes.NewReader([]byte(m.kind))) {
						runs++
					}
				}
			}
			if runs > 1 || runs == 1 && notRun {
				t.Fatalf("%d runs, taken for not run: %v", runs, notRun)
			}
		}
	})
}

// Guards against a grant that follows a withdrawal, and a withdrawal that is believed after a grant,
// when both come at once.
func TestWithdrawalAndGrantExcludeEachOther(t *testing.T) {
	for range 2000 {
		p := permit.New()
		body := p.Body(bytes.NewReader([]byte("abc")))
		go p.Ask()
		withdrawn := make(chan bool, 1)
		go func() { withdrawn <- p.Withdraw() }()
		data, err := io.ReadAll(body)
		granted := err == nil && permit.Receive(bytes.NewReader(data[3:]))
		if granted == <-withdrawn {
			t.Fatalf("granted: %v, body %q (%v)", granted, data, err)
		}
	}
}
