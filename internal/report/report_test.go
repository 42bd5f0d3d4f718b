package report_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/report"
)

func attempt(token string, kind report.Kind, outcome codes.Outcome, code int) report.Attempt {
	return report.Attempt{Token: token, Kind: kind, Number: 1, SentAt: time.Unix(1, 0).UTC(),
		Outcome: outcome, Code: code, Check: report.CheckOK}
}

// writeHistory writes the attempts of a caller and the record of a server to files and returns their names.
func writeHistory(g *WithT, directory string, attempts []report.Attempt, records string) []string {
	callers, servers := filepath.Join(directory, "callers.csv"), filepath.Join(directory, "s1.jsonl")
	var csv bytes.Buffer
	writer, err := report.NewAttemptWriter(&csv)
	g.Expect(err).NotTo(HaveOccurred())
	for _, a := range attempts {
		g.Expect(writer.Write(a)).To(Succeed())
	}
	g.Expect(writer.Flush()).To(Succeed())
	g.Expect(os.WriteFile(callers, csv.Bytes(), 0o600)).To(Succeed())
	g.Expect(os.WriteFile(servers, []byte(records), 0o600)).To(Succeed())
	return []string{callers, servers}
}

func line(token, id, method, outcome string) string {
	return `{"server":"s1","token":"` + token + `","request_id":"` + id + `","method":"` + method + `","outcome":"` + outcome + "\"}\n"
}

// Guards against a comparison that misses a violation or reports one where
// there is none.
func TestComparison(t *testing.T) {
	g := NewWithT(t)
	wrong, cut, torn := attempt("w", report.Read, codes.Ran, 0), attempt("c", report.Read, codes.Unknown, 0), attempt("t", report.Read, codes.Ran, 0)
	wrong.Check, cut.Check, torn.Check = report.CheckWrong, report.CheckCutOff, report.CheckTruncated
	files := writeHistory(g, t.TempDir(), []report.Attempt{
		attempt("once", report.Write, codes.Ran, 0),
		attempt("twice", report.Write, codes.Unknown, 2001), attempt("twice", report.Write, codes.Ran, 0),
		attempt("lied", report.Write, codes.NotRun, 1004), attempt("lied", report.Write, codes.NotRun, 1006),
		attempt("then-ran", report.Write, codes.NotRun, 1004), attempt("then-ran", report.Write, codes.Ran, 0),
		attempt("refused", report.Write, codes.NotRun, 1004),
		attempt("read", report.Read, codes.Ran, 0),
		wrong, cut, torn,
	}, line("once", "1", "POST", "started")+line("once", "1", "POST", "ran")+
		line("twice", "2", "POST", "started")+line("twice", "2", "POST", "ran")+
		line("twice", "3", "POST", "started")+
		line("lied", "4", "POST", "started")+
		line("then-ran", "5", "POST", "ran")+
		line("read", "6", "GET", "ran")+line("read", "7", "GET", "ran")+
		line("orphan", "8", "POST", "started")+line("orphan", "8", "POST", "started")+
		line("", "9", "GET", "ran")+`{"server":"s1","tok`)
	comparison := report.NewComparison()
	g.Expect(comparison.ReadAttemptFile(files[0])).To(Succeed())
	g.Expect(comparison.ReadRecordFile(files[1])).To(Succeed())
	var out bytes.Buffer
	verdict, err := comparison.Write(&out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(verdict).To(Equal(report.Verdict{Requests: 9, Answered: 4, RefusedNotRun: 2, Unknown: 3,
		WrongAnswers: 1, Truncated: 1, RanTwice: 2, RefusedButRan: 1}))
	g.Expect(verdict.HasViolations()).To(BeTrue())
	g.Expect(out.String()).To(ContainSubstring("ran_twice: twice ran at s1 as 2 (1), s1 as 3 (1)"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var last map[string]int
	g.Expect(json.Unmarshal([]byte(lines[len(lines)-1]), &last)).To(Succeed())
	g.Expect(last).To(HaveLen(8))
	g.Expect(last).To(HaveKeyWithValue("ran_twice", 2))
}

// Guards against malformed files that are read without an error.
func TestMalformedFiles(t *testing.T) {
	g := NewWithT(t)
	files := writeHistory(g, t.TempDir(), nil, "nonsense\n"+line("a", "1", "GET", "ran"))
	g.Expect(report.NewComparison().ReadRecordFile(files[1])).To(MatchError(ContainSubstring("line 1")))
	for _, text := range []string{"", "a,b\n", header + "id,,key,t,read,1,e,1970-01-01T00:00:01Z,1,ran,0,200,ok\n",
		header + "id,tok,key,t,read,x,e,1970-01-01T00:00:01Z,1,ran,0,200,ok\n",
		header + "id,tok,key,t,read,1,e,1970-01-01T00:00:01Z,1,perhaps,0,200,ok\n",
		header + "id,tok,key,t,peek,1,e,1970-01-01T00:00:01Z,1,ran,0,200,ok\n"} {
		g.Expect(report.ReadAttempts(strings.NewReader(text), func(report.Attempt) {})).NotTo(Succeed(), text)
	}
}

const header = "id,token,key,target,kind,attempt,entry,sent_at,latency_ms,outcome,code,status,check\n"

// Guards against attempts that change when they are written to a file and read back.
func TestAttemptsSurviveCSV(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := report.Attempt{
			ID: rapid.StringMatching(`[ -~]*`).Draw(t, "id"), Token: rapid.StringMatching(`[ -~]+`).Draw(t, "token"),
			Key:    rapid.StringMatching(`[ -~]*`).Draw(t, "key"),
			Kind:   rapid.SampledFrom([]report.Kind{report.Read, report.Write}).Draw(t, "kind"),
			Number: rapid.IntRange(1, 9).Draw(t, "number"),
			SentAt: time.Unix(0, rapid.Int64Range(0, 1<<60).Draw(t, "at")).UTC(),
			// The file format has a resolution of one microsecond.
			Latency: time.Duration(rapid.IntRange(0, 1e9).Draw(t, "latency")) * time.Microsecond,
			Outcome: rapid.SampledFrom([]codes.Outcome{codes.Ran, codes.NotRun, codes.Unknown}).Draw(t, "outcome"),
			Code:    rapid.IntRange(0, 6000).Draw(t, "code"), Status: rapid.IntRange(0, 599).Draw(t, "status"), Check: report.CheckOK,
		}
		var file bytes.Buffer
		writer, err := report.NewAttemptWriter(&file)
		if err != nil || writer.Write(want) != nil || writer.Flush() != nil {
			t.Fatal("write failed")
		}
		var got []report.Attempt
		if err := report.ReadAttempts(&file, func(a report.Attempt) { got = append(got, a) }); err != nil {
			t.Fatal(err)
		}
		if len(got) != 1 || got[0].Latency.Round(time.Microsecond) != want.Latency {
			t.Fatalf("read %v, want %v", got, want)
		}
		got[0].Latency = want.Latency
		if got[0] != want {
			t.Fatalf("read %+v, want %+v", got[0], want)
		}
	})
}

// Guards against quantiles that are off by one rank.
func TestSummarise(t *testing.T) {
	g := NewWithT(t)
	var durations []time.Duration
	for i := range 1000 {
		durations = append(durations, time.Duration(1000-i)*time.Millisecond)
	}
	g.Expect(report.Summarise(durations)).To(Equal(report.Latency{Count: 1000, P50: 500, P99: 990, P999: 999, Max: 1000}))
	g.Expect(report.Summarise(nil)).To(Equal(report.Latency{}))
}

func FuzzReadAttempts(f *testing.F) {
	f.Add(header + "id,tok,key,t,read,1,e,1970-01-01T00:00:01Z,1.5,ran,0,200,ok\n")
	f.Fuzz(func(t *testing.T, text string) {
		_ = report.ReadAttempts(strings.NewReader(text), func(a report.Attempt) {
			if a.Token == "" {
				t.Fatal("an attempt without token was accepted")
			}
		})
	})
}

func FuzzReadRecords(f *testing.F) {
	f.Add(line("a", "1", "GET", "ran") + `{"tok`)
	f.Fuzz(func(t *testing.T, text string) {
		_, _ = report.ReadRecords(strings.NewReader(text), func(report.Record) {})
	})
}
