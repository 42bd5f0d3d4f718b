package quota

import "time"

const (
	// MaxHomes is the number of homes of an account. With three, an account that uses two thirds of
	// its rate does not notice the loss of one.
	MaxHomes = 3
	// CreditLife is the time after its call for which a credit can be used. It is longer than the
	// time that a request waits for credit.
	CreditLife = 250 * time.Millisecond
	// slackShare is the fraction of the slack that each use of it may take: the burst of small accounts,
	// each of two restarts of all homes in one window, and nodes that reach no home.
	slackShare = 0.25
)

// Limit bounds the requests of an account over all nodes: in any window, at most those of the rate and
// the burst, and a little more that covers what nodes cannot know of each other.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
	// Window is the time over which requests are counted.
	Window time.Duration
	// Over is the fraction, and Extra the number of requests, by which a window may exceed the rate
	// and the burst.
	Over, Extra float64
}

// inWindow returns the requests that the rate and the burst allow in a window.
func (l Limit) inWindow() float64 { return l.Rate*l.Window.Seconds() + l.Burst }

// slack returns the requests by which a window may exceed the rate and the burst.
func (l Limit) slack() float64 { return l.Over*l.inWindow() + l.Extra }

// Homes returns the number of homes in a fleet with the given number of members. Each home must be
// able to hold a whole credit.
func (l Limit) Homes(members int) int {
	return max(1, min(MaxHomes, members, int(l.Burst+slackShare*l.slack())))
}

// perWindow returns the number of credits that one of the homes may grant in a window.
func (l Limit) perWindow(homes int) float64 {
	return (l.inWindow() + slackShare*l.slack()) / float64(homes)
}

// pace returns the credits per second of one of the homes. An account that always sends gets the
// burst of each window besides the rate, as far as the slack for restarts covers it: a home may die
// when it has granted the credits of a whole window, and the next process does not know of them.
func (l Limit) pace(homes int) float64 {
	covered := 2 * (slackShare*l.slack() - float64(homes)*max(l.initial(homes), 0))
	whole := l.inWindow() * (1 + slackShare*l.Over) / l.Window.Seconds()
	return min(whole, l.Rate+max(covered, 0)/l.Window.Seconds()) / float64(homes)
}

// capacity returns the number of credits that one of the homes can hold.
func (l Limit) capacity(homes int) float64 {
	return max((l.Burst+slackShare*l.slack())/float64(homes), 1)
}

// initial returns the number of credits that one of the homes has at the start of its process. It is negative if a
// home can hold more than its part, because it must hold a whole credit: the process before may have granted it.
func (l Limit) initial(homes int) float64 {
	if slackShare*l.slack() >= float64(homes) {
		return 1
	}
	return min((l.Burst+slackShare*l.slack())/float64(homes)-1, 0)
}

// ownPart returns the number of requests in a window that the node at a rank of the order of
// members may admit if it reaches no home.
func (l Limit) ownPart(members, rank int) int {
	total := int(slackShare * l.slack())
	part := total / members
	if rank < total%members {
		part++
	}
	return part
}
