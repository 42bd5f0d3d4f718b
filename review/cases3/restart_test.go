//go:build review3

package cases3

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["13"] = lateCheckInAfterARestart }

const (
	// restartDelay is the pause before a process that was killed is started again.
	restartDelay = 300 * time.Millisecond
	// stableWindow is the time for which a process must have run for its machine to be in touch.
	stableWindow = 3 * time.Second
)

// lateCheckInAfterARestart: one check-in of a server that crashes is held up. The server starts again under its ID and
// deregisters. The process beside it is killed and started again; then the check-in arrives.
func lateCheckInAfterARestart(r *run) error {
	f, c, done, err := smallDeployment(r)
	if err != nil {
		return err
	}
	n := f.nodes[0]
	s := n.server
	id, addr := s.id, s.addr
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	held := s.nextCheckIn("ready")
	r.note("check-in of %s is held up: %s", id, held.body)
	time.Sleep(100 * time.Millisecond)
	s.exit()
	time.Sleep(300 * time.Millisecond)
	if err := s.start(id, addr); err != nil {
		return err
	}
	born := s.born
	for range 2 {
		s.deliver(s.nextCheckIn("ready"))
		time.Sleep(beatInterval / 2)
	}
	status, acked := s.deregister()
	if status != http.StatusOK {
		return fmt.Errorf("the deregistration got %d", status)
	}
	n.signal(syscall.SIGKILL)
	<-n.ended
	time.Sleep(restartDelay)
	if err := n.startProcess(false); err != nil {
		return err
	}
	for deadline := time.Now().Add(5 * time.Second); !n.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s is not ready after its restart", n.name)
		}
	}
	inTouch := time.Now().Add(stableWindow)
	r.note("%s is ready again", n.name)
	time.Sleep(time.Until(inTouch.Add(200 * time.Millisecond)))
	if r.trouble {
		s.deliver(held)
	}
	time.Sleep(time.Until(acked.Add(staysAfterAck)))
	s.exit()
	time.Sleep(time.Second)
	finish(r, c, done, s)
	checkDrain(r, s, born, acked, inTouch)
	return nil
}
