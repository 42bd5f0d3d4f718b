package atmostonce_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tarragonford/tarragonford/internal/atmostonce"
	"github.com/tarragonford/tarragonford/internal/codes"
	"github.com/tarragonford/tarragonford/internal/forward"
)

// ledgerMachine drives a ledger with a virtual clock and counts how often each
// request would have reached the backend server.
type ledgerMachine struct {
	now    time.Time
	ledger *atmostonce.Ledger
	// open are the claims that are not ended.
	open map[string]*atmostonce.Claim
	// sent marks open claims that were dispatched.
	sent map[string]bool
	runs map[string]int
	// promised marks requests that a fence promised never to run.
	promised map[string]bool
	expires  map[string]time.Time
}

const lifetime = 10 * time.Minute

func newMachine() *ledgerMachine {
	m := &ledgerMachine{
		now:      time.Unix(1_000_000, 0),
		open:     map[string]*atmostonce.Claim{},
		sent:     map[string]bool{},
		runs:     map[string]int{},
		promised: map[string]bool{},
		expires:  map[string]time.Time{},
	}
	clock := atmostonce.NewClockAt(func() time.Time { return m.now })
	m.ledger = atmostonce.NewLedger(atmostonce.Limits{Entries: 1000, Bytes: 1 << 20, Retention: 30 * time.Minute}, clock)
	for i := range 6 {
		m.expires[fmt.Sprint("k/", i)] = m.now.Add(lifetime)
	}
	return m
}

func drawID(t *rapid.T) string {
	return fmt.Sprint("k/", rapid.IntRange(0, 5).Draw(t, "id"))
}

func (m *ledgerMachine) begin(t *rapid.T) {
	id := drawID(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	claim, _, err := m.ledger.Begin(ctx, id, 7, m.expires[id])
	if claim == nil {
		return
	}
	if err != nil {
		t.Fatalf("claim and error %v together", err)
	}
	m.open[id] = claim
	m.sent[id] = false
}

func (m *ledgerMachine) dispatch(t *rapid.T) {
	id := drawID(t)
	claim, ok := m.open[id]
	if !ok || m.sent[id] {
		return
	}
	if err := claim.Dispatch(); errors.Is(err, atmostonce.ErrFenced) {
		delete(m.open, id)
		return
	}
	m.sent[id] = true
	m.runs[id]++
	if m.runs[id] > 1 {
		t.Fatalf("request %s was dispatched %d times", id, m.runs[id])
	}
	if m.promised[id] {
		t.Fatalf("request %s was dispatched after a promise that it never will be", id)
	}
}

func (m *ledgerMachine) finish(t *rapid.T) {
	id := drawID(t)
	claim, ok := m.open[id]
	if !ok || !m.sent[id] {
		return
	}
	delete(m.open, id)
	if rapid.Bool().Draw(t, "shed") {
		claim.NotRun()
		m.runs[id] = 0
		return
	}
	claim.Finish(&forward.Reply{Answer: &forward.Answer{Status: 200, Body: []byte(id)}})
}

func (m *ledgerMachine) fence(t *rapid.T) {
	id := drawID(t)
	state, reply := m.ledger.Fence(id, m.expires[id])
	switch state {
	case atmostonce.NeverDispatched:
		if m.runs[id] > 0 {
			t.Fatalf("request %s ran and the ledger says never-dispatched", id)
		}
		m.promised[id] = true
	case atmostonce.Done:
		if string(reply.Answer.Body) != id {
			t.Fatalf("request %s got the answer of %s", id, reply.Answer.Body)
		}
	}
}

func (m *ledgerMachine) abandon(t *rapid.T) {
	id := drawID(t)
	claim, ok := m.open[id]
	if !ok || m.sent[id] {
		return
	}
	if !claim.Fence() {
		t.Fatalf("request %s was not dispatched and cannot be fenced", id)
	}
	delete(m.open, id)
	m.promised[id] = true
}

func (m *ledgerMachine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
	m.ledger.Sweep()
}

// TestLedgerRunsAtMostOnce guards against a request that reaches the backend
// server twice, or after a fence, in any order of arrivals, repeats, fences,
// refusals, and expiry.
func TestLedgerRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"begin":    m.begin,
			"dispatch": m.dispatch,
			"finish":   m.finish,
			"fence":    m.fence,
			"abandon":  m.abandon,
			"advance":  m.advance,
		})
	})
}

// TestKeyCannotBeForged guards against a caller that makes up or changes a key.
func TestKeyCannotBeForged(t *testing.T) {
	signer := atmostonce.NewSigner("secret")
	rapid.Check(t, func(t *rapid.T) {
		text := signer.Issue(atmostonce.Key{Service: "s", Host: "h", Nonce: atmostonce.NewNonce()})
		position := rapid.IntRange(0, len(text)-1).Draw(t, "position")
		changed := []byte(text)
		changed[position] = rapid.SampledFrom([]byte("AZaz09-_.")).Draw(t, "byte")
		key, err := signer.Parse(string(changed))
		if string(changed) == text {
			return
		}
		if err == nil && key.Nonce != "" && len(changed) == len(text) && !sameMeaning(signer, text, key) {
			t.Fatalf("a changed key was accepted: %s", changed)
		}
		if err != nil && !errors.Is(err, codes.KeyInvalid.New("")) {
			t.Fatalf("unexpected error %v", err)
		}
	})
}

// sameMeaning allows a change of the unused bits at the end of the base64 text.
func sameMeaning(signer *atmostonce.Signer, text string, key atmostonce.Key) bool {
	original, err := signer.Parse(text)
	return err == nil && original == key
}

// FuzzParseKey guards against a crash on keys from outside.
func FuzzParseKey(f *testing.F) {
	signer := atmostonce.NewSigner("secret")
	f.Add(signer.Issue(atmostonce.Key{Service: "s"}))
	f.Add("tk1..")
	f.Add("tk1.e30.AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := signer.Parse(text)
		if err == nil && signer.Issue(key) == "" {
			t.Fatal("a valid key does not encode")
		}
	})
}
