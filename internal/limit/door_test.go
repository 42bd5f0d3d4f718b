package limit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// serveDoor serves requests through a door until the test ends.
func serveDoor(t *testing.T, options DoorOptions, handler http.HandlerFunc) (*Door, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if options.HeadBytes == nil {
		options.HeadBytes = func() int64 { return 0 }
	}
	door := NewDoor(listener, options)
	server := &http.Server{Handler: handler}
	door.Install(server)
	go server.Serve(door)
	t.Cleanup(func() { server.Close() })
	return door, listener.Addr().String()
}

func connect(t *testing.T, addr, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	// The door may have closed the connection.
	_, _ = io.WriteString(conn, text)
	return conn, bufio.NewReader(conn)
}

func statusOf(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

const smallGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against ordinary clients that are turned away while connections without a request take all
// places. The connection that has waited for longest makes room.
func TestConnectionsWithoutARequestMakeRoom(t *testing.T) {
	g := NewWithT(t)
	door, addr := serveDoor(t, DoorOptions{MaxConns: 2, Memory: NewMemory(1 << 20)}, func(http.ResponseWriter, *http.Request) {})
	_, oldest := connect(t, addr, "")
	g.Eventually(func() int { door.mu.Lock(); defer door.mu.Unlock(); return len(door.conns) }).Should(Equal(1))
	_, second := connect(t, addr, smallGet)
	g.Expect(statusOf(t, second)).To(Equal(http.StatusOK))
	_, third := connect(t, addr, smallGet)
	g.Expect(statusOf(t, third)).To(Equal(http.StatusOK))
	_, err := oldest.ReadByte()
	g.Expect(err).To(HaveOccurred(), "the oldest connection is closed")
	g.Expect(door.Counts().Replaced).To(BeEquivalentTo(1))
}

// Guards against heads whose parsed fields take many times their bytes. One is served, and a second
// one is refused while the first is held; its memory is free again after the first request.
func TestHeadsOfManyFieldsAreCharged(t *testing.T) {
	g := NewWithT(t)
	const fields = 2000
	memory := NewMemory(fields * fieldCost * 3 / 2)
	entered, leave := make(chan struct{}), make(chan struct{})
	_, addr := serveDoor(t, DoorOptions{MaxConns: 4, Memory: memory}, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-leave
	})
	long := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", fields) + "\r\n"
	_, first := connect(t, addr, long)
	<-entered
	_, second := connect(t, addr, long)
	g.Expect(statusOf(t, second)).To(Equal(http.StatusServiceUnavailable))
	leave <- struct{}{}
	g.Expect(statusOf(t, first)).To(Equal(http.StatusOK))
	g.Eventually(memory.InUse).Should(BeZero())
	_, third := connect(t, addr, long)
	<-entered
	leave <- struct{}{}
	g.Expect(statusOf(t, third)).To(Equal(http.StatusOK))
}

// Guards against a head over the limit of the configuration that is parsed, and against a limit that
// counts the bytes of a body or of earlier requests on the connection.
func TestHeadLimitCountsTheHeadOnly(t *testing.T) {
	g := NewWithT(t)
	_, addr := serveDoor(t, DoorOptions{MaxConns: 4, Memory: NewMemory(1 << 20), HeadBytes: func() int64 { return 8 << 10 }},
		func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	post := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" + strings.Repeat("\n", 50000)
	conn, reader := connect(t, addr, post)
	g.Expect(statusOf(t, reader)).To(Equal(http.StatusOK))
	_, _ = io.WriteString(conn, post)
	g.Expect(statusOf(t, reader)).To(Equal(http.StatusOK))
	_, reader = connect(t, addr, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 16<<10)+"\r\n\r\n")
	g.Expect(statusOf(t, reader)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
}

// Guards against an aborted stream between nodes whose connection is marked to be reset, which would lose
// the answers of other streams when it closes.
func TestAbortedStreamLeavesItsConnection(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	door := NewDoor(listener, DoorOptions{MaxConns: 1, HTTP2: true, Memory: NewMemory(1 << 20)})
	lingered := false
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })}
	door.Install(server)
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request = request.WithContext(ConnContext(request.Context(), lingerConn{set: &lingered}))
	g.Expect(func() { server.Handler.ServeHTTP(httptest.NewRecorder(), request) }).To(Panic())
	g.Expect(lingered).To(BeFalse())
}

// lingerConn records whether SetLinger was called.
type lingerConn struct {
	net.Conn
	set *bool
}

func (c lingerConn) SetLinger(int) error {
	*c.set = true
	return nil
}

// Guards against heads over HTTP/2 that are missed or counted twice because a read ends anywhere in a
// frame: an open head has the bytes of its frames, and none is open after its last frame.
func TestFrameScanFindsOpenHeads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := make([]byte, prefaceBytes)
		// open[i] is the size of the open head after i bytes.
		open := make([]int64, prefaceBytes+1)
		size, continues := int64(0), false
		for range rapid.IntRange(1, 10).Draw(t, "frames") {
			kind := byte(rapid.SampledFrom([]int{0, frameHeaders, 4, 8}).Draw(t, "kind"))
			if continues {
				kind = frameContinuation
			}
			flags := byte(rapid.SampledFrom([]int{0, flagEndHeaders}).Draw(t, "flags"))
			payload := rapid.IntRange(0, 40).Draw(t, "payload")
			stream = append(stream, 0, 0, byte(payload), kind, flags, 0, 0, 0, 1)
			head := kind == frameHeaders || kind == frameContinuation
			for range frameHeaderBytes {
				open = append(open, size)
			}
			for range payload {
				stream = append(stream, 'x')
				if head {
					size++
				}
				open = append(open, size)
			}
			if continues = head && flags&flagEndHeaders == 0; head && !continues {
				size = 0
				open[len(open)-1] = 0
			}
		}
		var scan frameScan
		for at := 0; at < len(stream); {
			n := rapid.IntRange(1, len(stream)-at).Draw(t, "read")
			got := scan.scan(stream[at : at+n])
			if at += n; got != open[at] {
				t.Fatalf("after %d bytes %d are open, want %d", at, got, open[at])
			}
		}
	})
}

// Guards against a body that stops short and holds memory that others wait for, and against one that
// gives way while nobody needs its memory.
func TestStalledBodyGivesWayOnlyWhenMemoryIsShort(t *testing.T) {
	g := NewWithT(t)
	const size = 512 << 10
	memory := NewMemory(size * 3 / 2)
	received := make(chan error, 2)
	_, addr := serveDoor(t, DoorOptions{MaxConns: 4, Memory: memory}, func(w http.ResponseWriter, r *http.Request) {
		reservation := memory.NewReservation()
		defer reservation.Release()
		_, err := reservation.Receive(w, r, 2*size, time.Now().Add(20*time.Second))
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		received <- err
	})
	post := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 524288\r\n\r\n"
	_, stalled := connect(t, addr, post+strings.Repeat("x", size-1))
	g.Eventually(memory.InUse).Should(BeEquivalentTo(size))
	g.Consistently(received, receiveStall+200*time.Millisecond).ShouldNot(Receive(), "nobody waits for the memory")
	_, other := connect(t, addr, post+strings.Repeat("x", size))
	g.Expect(statusOf(t, stalled)).To(Equal(http.StatusServiceUnavailable))
	g.Expect(statusOf(t, other)).To(Equal(http.StatusOK))
	g.Expect(memory.Counts().Evicted).To(BeEquivalentTo(1))
}
