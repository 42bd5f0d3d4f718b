package explain

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// line returns a JSON log line with the given seconds in its time; fields holds its
// additional JSON members.
func line(second, node, message, fields string) string {
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"time":"2026-01-02T03:04:%sZ","version":"(devel)","msg":%q,"node":%q%s}`, second, message, node, fields)
}

func read(g *WithT, texts ...string) *Log {
	log := &Log{}
	for _, text := range texts {
		g.Expect(log.Read(strings.NewReader(text))).To(Succeed())
	}
	log.Sort()
	return log
}

func explained(g *WithT, log *Log, request string) string {
	var out strings.Builder
	g.Expect(Write(&out, request, log.LinesFor(request))).To(Succeed())
	return out.String()
}

// A request fails at a trusted server because a call that the server made to another
// service failed. Guards against an explanation without that call.
func TestFailureIsTracedToFailedCallOfServer(t *testing.T) {
	g := NewWithT(t)
	entry := line("05.100", "entry", "request", `"request":"r1","target_service":"bookings","status":500,"attempts":1,"took":"1s",
		"hops":[{"node":"host","result":"500","sent_ms":0,"ended_ms":100,"age_ms":40,"wait_ms":0,"doubt":0.02}]`)
	entry = strings.ReplaceAll(entry, "\n", "")
	host := strings.Join([]string{
		line("01.000", "host", "server trusted", `"doubt":0.3,"evidence":"success","request":"r0"`),
		line("05.080", "host", "request", `"request":"call","target_service":"stock","status":503,"code":1004,"reason":"no server"`),
		line("05.080", "host", "request", `"request":"other","target_service":"stock","status":200`),
		line("05.090", "host", "host", `"request":"r1","result":"answered","status":500,"running":2,"waiting":[0,1,0,0],"doubt":0.02`),
	}, "\n")
	text := explained(g, read(g, entry, host), "r1")
	g.Expect(text).To(ContainSubstring("server trusted: doubt 0.30 after evidence success of r0"))
	g.Expect(text).To(ContainSubstring("request call to stock: 503, code 1004 (no server)"))
	g.Expect(text).NotTo(ContainSubstring("other"))
	g.Expect(text).To(ContainSubstring("to host, doubt 0.02 and wait 0 ms from a load report 40 ms old: 500 after 100 ms"))
	g.Expect(strings.Count(text, "host: answered 500")).To(Equal(1))
}

// A node is stopped while it executes a request. Guards against an explanation
// without the stop, or with the stop of a node that is not on the path.
func TestUnknownOutcomeIsTracedToStopOfNode(t *testing.T) {
	g := NewWithT(t)
	text := explained(g, read(g,
		line("05.000", "entry", "request", `"request":"r1","status":502,"code":2001,"reason":"lost","hops":[{"node":"host","result":"lost","sent_ms":0,"ended_ms":9}]`),
		line("04.000", "host", "stopping", ""), line("03.000", "elsewhere", "stopping", ""),
		line("01.000", "host", "configuration in force", `"version":7`)), "r1")
	g.Expect(strings.Count(text, "stopping")).To(Equal(1))
	g.Expect(text).To(ContainSubstring("configuration in force: version 7"))
	g.Expect(text).To(ContainSubstring("to host, no load report: lost after 9 ms"))
}

// A request is refused at once because all servers of its service get as many requests as they
// accept. Guards against an explanation without those servers, which the request never reached.
func TestRefusalIsTracedToTheRateLimitsOfServers(t *testing.T) {
	g := NewWithT(t)
	text := explained(g, read(g,
		line("01.000", "host", "started", `"server_service":"bookings"`), line("01.000", "other", "started", `"server_service":"stock"`),
		line("02.000", "host", "server rate limit", `"server":"i-1","request":"r0","limited":true,"per_second":2.3`),
		line("02.000", "other", "server rate limit", `"server":"i-2","request":"r9","limited":true,"per_second":7`),
		line("09.000", "entry", "request", `"request":"r1","target_service":"bookings","status":503,"code":1004,"reason":"limited"`)), "r1")
	g.Expect(text).To(ContainSubstring("host                   server accepts 2.3 requests/s since request r0"))
	g.Expect(text).NotTo(ContainSubstring("r9"))
}

func TestTextAroundLogLinesIsSkipped(t *testing.T) {
	g := NewWithT(t)
	log := read(g, "  1.25 node-1 "+line("05.000", "entry", "request", `"request":"r1","status":200`)+"\nno line\n{broken\n"+
		line("06.000", "entry", "log lines left out", `"counts":{"info host":3}`))
	g.Expect(log.LinesFor("r1")).To(HaveLen(1))
	g.Expect(log.LinesFor("r2")).To(BeEmpty())
	g.Expect(log.Unparsed).To(Equal(2))
	g.Expect(log.Incomplete).To(BeTrue())
}

// The input is arbitrary text, because logs pass through collectors.
func FuzzRead(f *testing.F) {
	f.Add("{}")
	f.Add(line("05.000", "n", "request", `"hops":[{}]`))
	f.Fuzz(func(t *testing.T, text string) {
		log := &Log{}
		_ = log.Read(strings.NewReader(text))
		log.Sort()
		var out strings.Builder
		if err := Write(&out, "", log.LinesFor("")); err != nil {
			t.Fatal(err)
		}
	})
}
