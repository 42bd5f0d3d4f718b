package telemetry

import (
	"bytes"
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/settings"
)

// The pattern: a burst of good requests, of which each has a log line, and a few
// failed ones among them. The volume is bounded, the failed ones are all there, and
// the log tells what is missing.
func TestLinesBeyondTheBoundAreCountedByKind(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	tele, err := NewForProcess(context.Background(), Process{Name: "p", Log: &out, LinesPerSecond: 10}, settings.Node{ID: "n"})
	g.Expect(err).NotTo(HaveOccurred())
	for i := range 1000 {
		tele.Log.Info("request")
		if i%200 == 0 {
			tele.Log.Warn("request")
		}
	}
	tele.LogSuppressedLines()
	tele.LogSuppressedLines()
	text := out.String()
	g.Expect(strings.Count(text, `"level":"warn"`)).To(Equal(6), "five failures and one count")
	// The second may turn while the test runs.
	g.Expect(strings.Count(text, `"level":"info"`)).To(BeNumerically("<=", 20))
	g.Expect(text).To(MatchRegexp(`"log lines left out".*"counts":\{"info request":9[89]0\}`))
}

func TestWithoutABoundEveryLineIsWritten(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	tele, err := NewForProcess(context.Background(), Process{Name: "p", Log: &out}, settings.Node{ID: "n"})
	g.Expect(err).NotTo(HaveOccurred())
	for range 1000 {
		tele.Log.Info("request")
	}
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(1000))
}
