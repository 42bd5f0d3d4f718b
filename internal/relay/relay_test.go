package relay_test

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

	"github.com/tarragonford/tarragonford/internal/relay"
)

// blockedWait is how long a test waits to check that no bytes arrive.
const blockedWait = 50 * time.Millisecond

// newEcho starts an echo server with a relay in front of it and connects to the relay.
func newEcho(t *testing.T) (*relay.Relay, net.Conn, *bufio.Reader) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.Close() })
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	r, err := relay.New("127.0.0.1:0", target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	conn, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return r, conn, bufio.NewReader(conn)
}

func exchange(conn net.Conn, reader *bufio.Reader, line string, limit time.Duration) (string, error) {
	conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, line); err != nil {
		return "", err
	}
	return reader.ReadString('\n')
}

// Guards against a cut that forwards or loses bytes or blocks the wrong direction.
func TestCutHoldsBytes(t *testing.T) {
	for _, direction := range []relay.Direction{relay.Forward, relay.Backward, relay.Both} {
		t.Run(string(direction), func(t *testing.T) {
			g := NewWithT(t)
			r, conn, reader := newEcho(t)
			g.Expect(exchange(conn, reader, "one\n", 5*time.Second)).To(Equal("one\n"))
			g.Expect(r.Cut(direction)).To(Succeed())
			_, err := exchange(conn, reader, "two\n", blockedWait)
			g.Expect(err).To(HaveOccurred())
			arrived := int64(8)
			if direction != relay.Backward {
				arrived = 4
			}
			g.Eventually(func() int64 { return r.Status().BytesForward }).Should(Equal(arrived))
			g.Expect(r.Status().BytesBackward).To(BeEquivalentTo(4))
			g.Expect(r.Cut(relay.None)).To(Succeed())
			g.Expect(exchange(conn, reader, "", 5*time.Second)).To(Equal("two\n"))
		})
	}
}

// Guards against a delay that is not added in each direction.
func TestDelay(t *testing.T) {
	g := NewWithT(t)
	r, conn, reader := newEcho(t)
	r.SetDelay(20 * time.Millisecond)
	started := time.Now()
	g.Expect(exchange(conn, reader, "one\n", 5*time.Second)).To(Equal("one\n"))
	g.Expect(time.Since(started)).To(BeNumerically(">=", 40*time.Millisecond))
}

// Guards against a lost end of stream, and against a relay that cannot be closed while its connections
// are blocked.
func TestEndOfStream(t *testing.T) {
	g := NewWithT(t)
	r, conn, reader := newEcho(t)
	g.Expect(exchange(conn, reader, "one\n", 5*time.Second)).To(Equal("one\n"))
	g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	_, err := reader.ReadByte()
	g.Expect(err).To(Equal(io.EOF))

	held, err := net.Dial("tcp", r.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer held.Close()
	g.Expect(r.Cut(relay.Both)).To(Succeed())
	_, err = io.WriteString(held, strings.Repeat("x", 1<<20))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Close()).To(Succeed())
}

// Guards against a control address that accepts invalid commands.
func TestControl(t *testing.T) {
	g := NewWithT(t)
	r, conn, reader := newEcho(t)
	server := httptest.NewServer(r.Handler())
	defer server.Close()
	post := func(path, body string) int {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		return response.StatusCode
	}
	g.Expect(post("/cut", `{"direction":"backward"}`)).To(Equal(http.StatusOK))
	g.Expect(r.Status().Direction).To(Equal(relay.Backward))
	g.Expect(post("/cut", `{"direction":"sideways"}`)).To(Equal(http.StatusBadRequest))
	g.Expect(post("/cut", `{"directoin":"none"}`)).To(Equal(http.StatusBadRequest))
	g.Expect(post("/delay", `{"delay_ms":7}`)).To(Equal(http.StatusOK))
	g.Expect(r.Status().DelayMS).To(BeEquivalentTo(7))
	g.Expect(post("/delay", `{"delay_ms":-1}`)).To(Equal(http.StatusBadRequest))
	g.Expect(post("/cut", `{"direction":"none"}`)).To(Equal(http.StatusOK))
	g.Expect(exchange(conn, reader, "one\n", 5*time.Second)).To(Equal("one\n"))
	g.Expect(post("/reset", ``)).To(Equal(http.StatusOK))
	_, err := reader.ReadByte()
	g.Expect(err).To(HaveOccurred())
}
