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

// copies is a server that now and then sends a second copy of an answer, whole or
// cut in two, before, at or after the next request on the connection.
type copies struct {
	listener net.Listener
	// pieces yields, for each request, what to send of a copy of the last answer
	// and when.
	plan chan copyPlan
}

type copyPlan struct {
	// early is sent right after the answer, late when the next request has come.
	early, late bool
	// cut is where the copy is cut in two, with a pause between.
	cut int
}

func answerFor(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

func sendCopy(w io.Writer, answer string, cut int) error {
	if _, err := io.WriteString(w, answer[:cut]); err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	_, err := io.WriteString(w, answer[cut:])
	return err
}

func (c *copies) serve(conn net.Conn) {
	defer conn.Close()
	reader, last := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		plan := <-c.plan
		if plan.late && last != "" && sendCopy(conn, last, plan.cut%len(last)) != nil {
			return
		}
		last = answerFor(request.Header.Get("Id"))
		if _, err := io.WriteString(conn, last); err != nil {
			return
		}
		if plan.early && sendCopy(conn, last, plan.cut%len(last)) != nil {
			return
		}
	}
}

// The pattern: a server sends a second copy of an answer, late, on a connection that is
// in use again. No request gets an answer but its own; without the check of the ID, or
// with kept connections that are not looked at, this fails at once.
func TestASecondCopyGoesToNobody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c := &copies{listener: listener, plan: make(chan copyPlan)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	number, answered := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		pool := NewPool(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddr: 4, MaxResponseBody: 1 << 20, IDHeader: "Id"})
		defer pool.CloseIdle(listener.Addr().String())
		for range rapid.IntRange(2, 8).Draw(rt, "requests") {
			plan := copyPlan{early: rapid.Bool().Draw(rt, "early"), late: rapid.Bool().Draw(rt, "late"), cut: rapid.IntRange(0, 60).Draw(rt, "cut")}
			go func() { c.plan <- plan }()
			number++
			id := fmt.Sprintf("%016x", number)
			answer, err := pool.Do(t.Context(), listener.Addr().String(), &Request{
				Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}, ID: id, MaxIdle: time.Minute,
			})
			if err != nil {
				// Its answer is unknown, which a caller may be told.
				select {
				case <-c.plan:
				case <-time.After(10 * time.Millisecond):
				}
				continue
			}
			if string(answer.Body) != id {
				rt.Fatalf("request %s got the answer of %s", id, answer.Body)
			}
			answered++
			time.Sleep(time.Duration(rapid.IntRange(0, 2).Draw(rt, "pause")) * time.Millisecond)
		}
	})
	if 2*answered < number {
		t.Fatalf("only %d of %d requests were answered", answered, number)
	}
}
