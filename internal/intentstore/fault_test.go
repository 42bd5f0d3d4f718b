package intentstore_test

import (
	"context"
	"fmt"

	"github.com/tarragonford/tarragonford/internal/platform"
)

// faultKind is the fault injected during a step.
type faultKind string

const (
	noFault faultKind = "none"
	// outage fails every call from the chosen one on, without effect.
	outage faultKind = "outage"
	// notSent fails every call from the chosen one on before it is sent.
	notSent faultKind = "not-sent"
	// lostResponse applies the next transaction and loses its response.
	lostResponse faultKind = "lost-response"
	// lostResponseOutage does the same and then fails every later call.
	lostResponseOutage faultKind = "lost-response-outage"
	// lostRequest drops the next transaction.
	lostRequest faultKind = "lost-request"
	// delayed reports the next transaction as lost and keeps it to be applied later.
	delayed faultKind = "delayed"
	// delayedOutage does the same and then fails every later call.
	delayedOutage faultKind = "delayed-outage"
	// crashBefore ends the process before the chosen call, and crashAfter right
	// after the next transaction was applied.
	crashBefore faultKind = "crash-before"
	crashAfter  faultKind = "crash-after"
	// interleave runs a step of another actor before the chosen call.
	interleave faultKind = "interleave"
	// deliverDelayed applies the delayed transactions before the chosen call.
	deliverDelayed faultKind = "deliver"
)

var faultKinds = []faultKind{
	noFault, noFault, noFault, outage, notSent, lostResponse, lostResponseOutage, lostRequest, delayed,
	delayedOutage, crashBefore, crashAfter, interleave, interleave, interleave, deliverDelayed,
}

// simulatedCrash is the panic value that stands for the end of the process.
type simulatedCrash struct{}

// faultStore is a Store with one injected fault for each step.
type faultStore struct {
	inner       *platform.Memory
	kind        faultKind
	atCall      int
	calls       int
	interleaved func()
	delayed     []func()
}

// arm sets the fault of the next step and the call at which it happens.
func (s *faultStore) arm(kind faultKind, atCall int, interleaved func()) {
	s.kind, s.atCall, s.calls, s.interleaved = kind, atCall, 0, interleaved
}

func (s *faultStore) applyDelayed() {
	for _, apply := range s.delayed {
		apply()
	}
	s.delayed = nil
}

// before injects the part of the fault that precedes a call.
func (s *faultStore) before() error {
	s.calls++
	if s.calls <= s.atCall {
		return nil
	}
	switch s.kind {
	case outage:
		return fmt.Errorf("%w: outage", platform.ErrUnavailable)
	case notSent:
		return platform.ErrNotSent
	case crashBefore:
		panic(simulatedCrash{})
	case interleave:
		interleaved := s.interleaved
		s.kind = noFault
		interleaved()
	case deliverDelayed:
		s.applyDelayed()
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
	errLost := fmt.Errorf("%w: response lost", platform.ErrUnavailable)
	kind := s.kind
	switch kind {
	case lostResponse, lostRequest, delayed:
		s.kind = noFault
	case lostResponseOutage, delayedOutage:
		s.kind, s.atCall = outage, 0
	}
	switch kind {
	case lostResponse, lostResponseOutage:
		_ = apply()
		return errLost
	case lostRequest:
		return errLost
	case delayed, delayedOutage:
		s.delayed = append(s.delayed, func() { _ = apply() })
		return errLost
	case crashAfter:
		_ = apply()
		panic(simulatedCrash{})
	}
	return apply()
}
