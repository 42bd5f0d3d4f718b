package admit

const (
	// minSweepSize is the number of accounts below which idle ones are not swept.
	minSweepSize = 128
	// maxRefusedAccounts is the number of accounts from which a refusal no longer
	// adds a new one.
	maxRefusedAccounts = 4096
)

// fairQueueing holds the state of fair queueing; the package comment describes
// the algorithm.
type fairQueueing struct {
	virtualTime float64
	accounts    map[string]*accountTags
	// sweepAt is the number of accounts at which idle ones are swept next. It
	// grows with the number left, so that the cost of sweeps is amortised.
	sweepAt int
}

type accountTags struct {
	// lastTag is the tag of the newest request of the account.
	lastTag float64
	queued  int
	// refusedTag is the tag of a refused request, kept for the next request of
	// the account; 0 for none.
	refusedTag float64
}

func newFairQueueing() fairQueueing {
	return fairQueueing{accounts: map[string]*accountTags{}, sweepAt: minSweepSize}
}

// nextTag returns the tag that the next request of the account would get.
func (f *fairQueueing) nextTag(account string, weight float64) float64 {
	a := f.accounts[account]
	if a == nil {
		return f.virtualTime + 1/weight
	}
	tag := max(f.virtualTime, a.lastTag) + 1/weight
	if a.refusedTag > 0 {
		return min(tag, a.refusedTag)
	}
	return tag
}

func (f *fairQueueing) enqueued(w *Waiter) {
	a := f.account(w.account)
	a.lastTag = w.tag
	a.refusedTag = 0
	a.queued++
}

func (f *fairQueueing) dequeued(w *Waiter) { f.accounts[w.account].queued-- }

// keepRefusedTag keeps the tag of a refused request for the next request of the
// account.
func (f *fairQueueing) keepRefusedTag(account string, tag float64) {
	if len(f.accounts) >= maxRefusedAccounts && f.accounts[account] == nil {
		return
	}
	f.account(account).refusedTag = tag
}

// restoreTag takes back the tag increment of a request that did not run, if it
// was the newest of its account.
func (f *fairQueueing) restoreTag(w *Waiter) {
	if a := f.accounts[w.account]; a != nil && a.lastTag == w.tag {
		a.lastTag -= 1 / w.weight
	}
}

func (f *fairQueueing) advanceVirtualTime(tag float64) { f.virtualTime = max(f.virtualTime, tag) }

// reset removes all accounts; it is called when the queue is empty.
func (f *fairQueueing) reset() {
	if len(f.accounts) > 0 {
		f.virtualTime = 0
		clear(f.accounts)
	}
}

func (f *fairQueueing) account(account string) *accountTags {
	if a := f.accounts[account]; a != nil {
		return a
	}
	if len(f.accounts) >= f.sweepAt {
		f.sweepIdle()
	}
	a := &accountTags{}
	f.accounts[account] = a
	return a
}

func (f *fairQueueing) sweepIdle() {
	for id, a := range f.accounts {
		if a.queued == 0 && max(a.lastTag, a.refusedTag) <= f.virtualTime {
			delete(f.accounts, id)
		}
	}
	f.sweepAt = max(minSweepSize, 2*len(f.accounts))
}
