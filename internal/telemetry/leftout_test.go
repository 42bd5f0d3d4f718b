package telemetry

import (
	"bytes"
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tarragonford/tarragonford/internal/settings"
)

// Guards against a burst of successful requests, one log line each, that suppresses
// the lines of a few failed requests or hides how many lines are missing.
func TestLinesBeyondLimitAreCountedByKind(t *testing.T) {
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
	g.Expect(strings.Count(text, `"level":"warn"`)).To(Equal(6), "five failures and one summary line")
	// The limit applies per second, and a new second may begin during the test.
	g.Expect(strings.Count(text, `"level":"info"`)).To(BeNumerically("<=", 20))
	g.Expect(text).To(MatchRegexp(`"log lines left out".*"counts":\{"info request":9[89]0\}`))
}

func TestEveryLineIsWrittenWithoutLimit(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	tele, err := NewForProcess(context.Background(), Process{Name: "p", Log: &out}, settings.Node{ID: "n"})
	g.Expect(err).NotTo(HaveOccurred())
	for range 1000 {
		tele.Log.Info("request")
	}
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(1000))
}
