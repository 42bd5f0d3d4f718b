package httpconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// duplicatingServer is a server that sometimes sends a duplicate of a response, whole or split in
// two, before, at or after the next request on the connection.
type duplicatingServer struct {
	listener net.Listener
	// plan yields, for each request, what duplicates to send.
	plan chan duplicatePlan
}

type duplicatePlan struct {
	// early duplicates the response to this request right away, late the response to the previous
	// request once this one has arrived.
	early, late bool
	// splitAt is where the duplicate is split in two, with a pause between.
	splitAt int
}

func responseFor(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

func sendInTwoParts(w io.Writer, response string, splitAt int) error {
	if _, err := io.WriteString(w, response[:splitAt]); err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	_, err := io.WriteString(w, response[splitAt:])
	return err
}

func (s *duplicatingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader, last := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		plan := <-s.plan
		if plan.late && last != "" && sendInTwoParts(conn, last, plan.splitAt%len(last)) != nil {
			return
		}
		last = responseFor(request.Header.Get("Id"))
		if _, err := io.WriteString(conn, last); err != nil {
			return
		}
		if plan.early && sendInTwoParts(conn, last, plan.splitAt%len(last)) != nil {
			return
		}
	}
}

// A server sends a response a second time, late, on a connection that is in use again. No request
// may get a response but its own. The test fails at once without the check of the ID, or if idle
// connections are not checked before reuse.
func TestADuplicateResponseIsNeverReturned(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	s := &duplicatingServer{listener: listener, plan: make(chan duplicatePlan)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	number, completed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		pool := NewPool(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddr: 4, MaxResponseBody: 1 << 20, IDHeader: "Id"})
		defer pool.CloseIdle(listener.Addr().String())
		for range rapid.IntRange(2, 8).Draw(rt, "requests") {
			plan := duplicatePlan{early: rapid.Bool().Draw(rt, "early"), late: rapid.Bool().Draw(rt, "late"), splitAt: rapid.IntRange(0, 60).Draw(rt, "cut")}
			go func() { s.plan <- plan }()
			number++
			id := fmt.Sprintf("%016x", number)
			response, err := pool.Do(t.Context(), listener.Addr().String(), &Request{
				Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id, MaxIdle: time.Minute,
			})
			if err != nil {
				// The outcome of the request is unknown, which a caller may be told.
				select {
				case <-s.plan:
				case <-time.After(10 * time.Millisecond):
				}
				continue
			}
			if string(response.Body.Bytes()) != id {
				rt.Fatalf("request %s got the response to %s", id, response.Body.Bytes())
			}
			completed++
			time.Sleep(time.Duration(rapid.IntRange(0, 2).Draw(rt, "pause")) * time.Millisecond)
		}
	})
	if 2*completed < number {
		t.Fatalf("only %d of %d requests got a response", completed, number)
	}
}
