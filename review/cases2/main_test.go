//go:build review2

package cases2

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// cases are the checks by the number of their folder.
var cases = map[string]func(*rig) (verdict, error){
	"6": unsignedAnswers, "7": leftAfterARestart, "8": waitingAtAStop, "9": rowOfAnotherPart, "10": partWithoutWeight,
}

// TestMain runs one case: its number and its folder are the arguments after the flags.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2.test CASE FOLDER")
		os.Exit(int(notRun))
	}
	os.Exit(int(runCase(os.Args[1], os.Args[2])))
}

func runCase(number, dir string) verdict {
	r, err := newRig(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		r.close()
		os.Exit(int(notRun))
	}()
	result, err := cases[number](r)
	if err != nil {
		r.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	r.note("verdict: %s", []string{"held", "broken"}[result])
	return result
}
