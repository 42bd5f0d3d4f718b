package admit

const (
	// sharesLow is the number of account states below which idle ones are kept.
	sharesLow = 128
	// maxClaims bounds the account states that a refusal may add to.
	maxClaims = 4096
)

// shares holds the state of start-time fair queueing.
type shares struct {
	virtual  float64
	accounts map[string]*accountShare
	// sweepAt is the number of accounts at which idle ones are dropped next. It
	// grows with the number left, so that the cost of a sweep is spread.
	sweepAt int
}

type accountShare struct {
	// last is the tag of the newest request.
	last   float64
	queued int
	// refused is the tag of a request that was refused, 0 for none.
	refused float64
}

func newShares() shares {
	return shares{accounts: map[string]*accountShare{}, sweepAt: sharesLow}
}

// nextTag returns the tag that the next request of the account would get.
func (s *shares) nextTag(account string, weight float64) float64 {
	a := s.accounts[account]
	if a == nil {
		return s.virtual + 1/weight
	}
	tag := max(s.virtual, a.last) + 1/weight
	if a.refused > 0 {
		return min(tag, a.refused)
	}
	return tag
}

func (s *shares) push(w *Waiter) {
	a := s.state(w.account)
	a.last = w.tag
	a.refused = 0
	a.queued++
}

func (s *shares) pop(w *Waiter) { s.accounts[w.account].queued-- }

// claim keeps the tag of a refused request for the next one of the account.
func (s *shares) claim(account string, tag float64) {
	if len(s.accounts) >= maxClaims && s.accounts[account] == nil {
		return
	}
	s.state(account).refused = tag
}

// undo gives back the share of a request that did not run, if it was the
// newest of its account.
func (s *shares) undo(w *Waiter) {
	if a := s.accounts[w.account]; a != nil && a.last == w.tag {
		a.last -= 1 / w.weight
	}
}

func (s *shares) advance(tag float64) { s.virtual = max(s.virtual, tag) }

// reset forgets all accounts; it is called when nobody waits.
func (s *shares) reset() {
	if len(s.accounts) > 0 {
		s.virtual = 0
		clear(s.accounts)
	}
}

func (s *shares) state(account string) *accountShare {
	if a := s.accounts[account]; a != nil {
		return a
	}
	if len(s.accounts) >= s.sweepAt {
		s.dropIdle()
	}
	a := &accountShare{}
	s.accounts[account] = a
	return a
}

func (s *shares) dropIdle() {
	for id, a := range s.accounts {
		if a.queued == 0 && max(a.last, a.refused) <= s.virtual {
			delete(s.accounts, id)
		}
	}
	s.sweepAt = max(sharesLow, 2*len(s.accounts))
}
