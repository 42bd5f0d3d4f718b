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

// ledgerModel is the state machine of a property test. It drives a ledger with a virtual clock and
// counts how often each request would have reached the backend server.
type ledgerModel struct {
	now    time.Time
	ledger *atmostonce.Ledger
	// openClaims holds the claims that have not ended.
	openClaims map[string]*atmostonce.Claim
	// dispatched marks open claims that were dispatched.
	dispatched map[string]bool
	executions map[string]int
	// promisedNotToRun marks requests that a fence guaranteed never to run.
	promisedNotToRun map[string]bool
	expires          map[string]time.Time
}

const keyLifetime = 10 * time.Minute

func newLedgerModel() *ledgerModel {
	m := &ledgerModel{
		now:              time.Unix(1_000_000, 0),
		openClaims:       map[string]*atmostonce.Claim{},
		dispatched:       map[string]bool{},
		executions:       map[string]int{},
		promisedNotToRun: map[string]bool{},
		expires:          map[string]time.Time{},
	}
	clock := atmostonce.NewClockAt(func() time.Time { return m.now })
	m.ledger = atmostonce.NewLedger(atmostonce.Limits{Entries: 1000, Bytes: 1 << 20, Retention: 30 * time.Minute}, clock)
	for i := range 6 {
		m.expires[fmt.Sprint("k/", i)] = m.now.Add(keyLifetime)
	}
	return m
}

func drawID(t *rapid.T) string {
	return fmt.Sprint("k/", rapid.IntRange(0, 5).Draw(t, "id"))
}

func (m *ledgerModel) begin(t *rapid.T) {
	id := drawID(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	claim, _, err := m.ledger.Begin(ctx, id, 7, m.expires[id])
	if claim == nil {
		return
	}
	if err != nil {
		t.Fatalf("Begin returned both a claim and the error %v", err)
	}
	m.openClaims[id] = claim
	m.dispatched[id] = false
}

func (m *ledgerModel) dispatch(t *rapid.T) {
	id := drawID(t)
	claim, ok := m.openClaims[id]
	if !ok || m.dispatched[id] {
		return
	}
	if err := claim.Dispatch(); errors.Is(err, atmostonce.ErrFenced) {
		delete(m.openClaims, id)
		return
	}
	m.dispatched[id] = true
	m.executions[id]++
	if m.executions[id] > 1 {
		t.Fatalf("request %s was dispatched %d times", id, m.executions[id])
	}
	if m.promisedNotToRun[id] {
		t.Fatalf("request %s was dispatched after a fence guaranteed that it never would be", id)
	}
}

func (m *ledgerModel) finish(t *rapid.T) {
	id := drawID(t)
	claim, ok := m.openClaims[id]
	if !ok || !m.dispatched[id] {
		return
	}
	delete(m.openClaims, id)
	if rapid.Bool().Draw(t, "shed") {
		claim.FinishNotRun()
		m.executions[id] = 0
		return
	}
	claim.Finish(&forward.Reply{Response: &forward.Response{Status: 200, Body: []byte(id)}})
}

func (m *ledgerModel) fence(t *rapid.T) {
	id := drawID(t)
	state, reply := m.ledger.Fence(id, m.expires[id])
	switch state {
	case atmostonce.NeverDispatched:
		if m.executions[id] > 0 {
			t.Fatalf("request %s ran, but the ledger reports never-dispatched", id)
		}
		m.promisedNotToRun[id] = true
	case atmostonce.Done:
		if string(reply.Response.Body) != id {
			t.Fatalf("request %s got the response of %s", id, reply.Response.Body)
		}
	}
}

func (m *ledgerModel) abandon(t *rapid.T) {
	id := drawID(t)
	claim, ok := m.openClaims[id]
	if !ok || m.dispatched[id] {
		return
	}
	if !claim.Fence() {
		t.Fatalf("request %s was not dispatched, but could not be fenced", id)
	}
	delete(m.openClaims, id)
	m.promisedNotToRun[id] = true
}

func (m *ledgerModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
	m.ledger.Sweep()
}

// TestLedgerRunsAtMostOnce guards against a request that reaches the backend server twice, or
// after a fence, in any order of arrivals, retries, fences, refusals and expiry.
func TestLedgerRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel()
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

// TestKeyCannotBeForged guards against a caller that forges or changes a key.
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
		if err == nil && key.Nonce != "" && len(changed) == len(text) && !sameKey(signer, text, key) {
			t.Fatalf("a changed key was accepted: %s", changed)
		}
		if err != nil && !errors.Is(err, codes.KeyInvalid.New("")) {
			t.Fatalf("unexpected error %v", err)
		}
	})
}

// sameKey reports whether text decodes to key. A change of the unused bits at the end of the
// base64 text leaves the key the same.
func sameKey(signer *atmostonce.Signer, text string, key atmostonce.Key) bool {
	original, err := signer.Parse(text)
	return err == nil && original == key
}

// FuzzParseKey guards against a crash on keys that callers send.
func FuzzParseKey(f *testing.F) {
	signer := atmostonce.NewSigner("secret")
	f.Add(signer.Issue(atmostonce.Key{Service: "s"}))
	f.Add("tk1..")
	f.Add("tk1.e30.AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := signer.Parse(text)
		if err == nil && signer.Issue(key) == "" {
			t.Fatal("a valid key could not be encoded again")
		}
	})
}
