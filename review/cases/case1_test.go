//go:build review

// Case 1: a server breaks off an answer without a length while the body of its request is still
// being sent, and resets the connection.

package cases

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// uploadBytes is the body of a request; the manifest allows 64 MiB.
	uploadBytes = 12 << 20
	// answerLines is the length of a whole answer.
	answerLines = 40
	// The disruption, garble with for_s = 5, comes every troubleEvery.
	troubleEvery = 7 * time.Second
	troubleFor   = 5 * time.Second
	// spoilEvery spoils one answer of 50: x = 0.02.
	spoilEvery = 50
	runFor     = 42 * time.Second
)

func runCase1() {
	r := New(Options{
		Services: []string{"bookings", "bookings", "measures"},
		Routes: []Route{{
			Prefix: "/book/", Name: "r-1", Service: "bookings", Type: "non_idempotent", TimeoutS: 8, TargetS: 2, MaxAttempts: 2, Priority: 1,
		}},
	})
	started := time.Now()
	var answers atomic.Int64
	for i, m := range r.Machines {
		m.Server.Handle = func(x *Exchange) {
			round, since := int(time.Since(started)/troubleEvery), time.Since(started)%troubleEvery
			spoils := r.Trouble && round%2 == i // share = 0.5: one of the two servers of the service
			if spoils && since < troubleFor && answers.Add(1)%spoilEvery == 0 {
				breakOff(r, x)
				return
			}
			x.Answer(200, Body(x.ID, answerLines))
		}
	}
	var sent, broken atomic.Int64
	var clients sync.WaitGroup
	body := make([]byte, uploadBytes)
	for c, m := range r.Machines {
		clients.Go(func() {
			for i := 0; time.Since(started) < runFor; i++ {
				id := fmt.Sprintf("q-%d-%d", c, i)
				a := m.Send("POST", "/book/slot", id, body, 8*time.Second)
				sent.Add(1)
				whole := a.Body == Body(id, answerLines)
				r.Note("client %s at %s: status %d, signature %q, %d body bytes, whole %v, error %v", id, m.Name, a.Status, a.Signature, len(a.Body), whole, a.Err)
				if a.Status >= 200 && a.Status < 300 && !whole {
					r.Note("MIXED: client %s got a success whose body is not the server's whole body", id)
					broken.Add(1)
				}
			}
		})
	}
	clients.Wait()
	r.End(broken.Load() > 0, "%d of %d requests ended with a success that is not whole", broken.Load(), sent.Load())
}

// breakOff answers before the body of the request is in, without a length, and resets the connection
// in the middle of the answer.
func breakOff(r *Rig, x *Exchange) {
	x.KeepOpen = false
	whole := Body(x.ID, answerLines)
	fmt.Fprintf(x.Conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nConnection: close\r\n\r\n%s", x.ID, x.ID, whole[:len(whole)/2])
	time.Sleep(50 * time.Millisecond)
	r.Note("server %s resets the connection of %s after %d of %d body bytes", x.Server.ID, x.ID, len(whole)/2, len(whole))
	// With SO_LINGER set to 0, closing the connection sends a reset.
	_ = x.Conn.SetLinger(0)
	x.Conn.Close()
}
