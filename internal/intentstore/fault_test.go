package intentstore_test

import (
	"context"
	"fmt"

	"github.com/tarragonford/tarragonford/internal/platform"
)

// faultKind says what happens at one call of a step.
type faultKind string

const (
	noFault faultKind = "none"
	// outage makes every call from the chosen one on fail without effect.
	outage faultKind = "outage"
	// notSent makes every call from the chosen one on fail before it is sent.
	notSent faultKind = "not-sent"
	// lostAnswer applies the next transaction and loses its answer.
	lostAnswer faultKind = "lost-answer"
	// lostAnswerOutage does the same, and every later call fails.
	lostAnswerOutage faultKind = "lost-answer-outage"
	// lostRequest loses the next transaction.
	lostRequest faultKind = "lost-request"
	// delayed reports the next transaction as lost and applies it later.
	delayed faultKind = "delayed"
	// delayedOutage does the same, and every later call fails.
	delayedOutage faultKind = "delayed-outage"
	// crashBefore and crashAfter end the process around the chosen call.
	crashBefore faultKind = "crash-before"
	crashAfter  faultKind = "crash-after"
	// interleave runs another identity's step before the chosen call.
	interleave faultKind = "interleave"
	// deliver applies the delayed transactions before the chosen call.
	deliver faultKind = "deliver"
)

var faultKinds = []faultKind{
	noFault, noFault, noFault, outage, notSent, lostAnswer, lostAnswerOutage, lostRequest, delayed,
	delayedOutage, crashBefore, crashAfter, interleave, interleave, interleave, deliver,
}

// crash is the panic value of a process that ends between two steps.
type crash struct{}

// faultStore is a Store that misbehaves once for each step.
type faultStore struct {
	inner   *platform.Memory
	kind    faultKind
	at      int
	calls   int
	other   func()
	pending []func()
}

// arm chooses the fault of the next step.
func (s *faultStore) arm(kind faultKind, at int, other func()) {
	s.kind, s.at, s.calls, s.other = kind, at, 0, other
}

func (s *faultStore) deliverPending() {
	for _, apply := range s.pending {
		apply()
	}
	s.pending = nil
}

// before runs the part of the fault that precedes a call.
func (s *faultStore) before() error {
	s.calls++
	if s.calls <= s.at {
		return nil
	}
	switch s.kind {
	case outage:
		return fmt.Errorf("%w: outage", platform.ErrUnavailable)
	case notSent:
		return platform.ErrNotSent
	case crashBefore:
		panic(crash{})
	case interleave:
		other := s.other
		s.kind = noFault
		other()
	case deliver:
		s.deliverPending()
	}
	return nil
}

func (s *faultStore) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if err := s.before(); err != nil {
		return platform.Row{Key: key}, err
	}
	return s.inner.Get(ctx, table, key)
}

func (s *faultStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	if err := s.before(); err != nil {
		return nil, err
	}
	return s.inner.Scan(ctx, table, prefix, after, limit)
}

func (s *faultStore) Transact(ctx context.Context, table string, checks []platform.Check, writes []platform.Write) error {
	if err := s.before(); err != nil {
		return err
	}
	apply := func() error { return s.inner.Transact(ctx, table, checks, writes) }
	lost := fmt.Errorf("%w: answer lost", platform.ErrUnavailable)
	kind := s.kind
	switch kind {
	case lostAnswer, lostRequest, delayed:
		s.kind = noFault
	case lostAnswerOutage, delayedOutage:
		s.kind, s.at = outage, 0
	}
	switch kind {
	case lostAnswer, lostAnswerOutage:
		_ = apply()
		return lost
	case lostRequest:
		return lost
	case delayed, delayedOutage:
		s.pending = append(s.pending, func() { _ = apply() })
		return lost
	case crashAfter:
		_ = apply()
		panic(crash{})
	}
	return apply()
}
