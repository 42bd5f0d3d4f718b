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

// Limit bounds the requests of an account over all nodes.
type Limit struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
	// Window is the time over which requests are counted. Slack is the number of requests that may
	// run in a window beyond the rate and the burst.
	Window time.Duration
	Slack  float64
}

// NewLimit returns the limit of an account whose requests of one window may exceed the rate and the
// burst by a fraction of over plus slack requests.
func NewLimit(rate, burst float64, window time.Duration, over, slack float64) Limit {
	return Limit{
		Rate: rate, Burst: burst, Window: window,
		Slack: over*(rate*window.Seconds()+burst) + slack,
	}
}

// Homes returns the number of homes in a fleet with the given number of members. Each home must be
// able to hold a whole credit.
func (l Limit) Homes(members int) int {
	return max(1, min(MaxHomes, members, int(l.Burst+slackShare*l.Slack)))
}

// perWindow returns the number of credits that one of the homes may grant in a window.
func (l Limit) perWindow(homes int) float64 {
	return (l.Rate*l.Window.Seconds() + l.Burst + slackShare*l.Slack) / float64(homes)
}

// capacity returns the number of credits that one of the homes can hold.
func (l Limit) capacity(homes int) float64 {
	return max((l.Burst+slackShare*l.Slack)/float64(homes), 1)
}

// initial returns the number of credits that one of the homes has at the start of its process.
func (l Limit) initial(homes int) float64 {
	if slackShare*l.Slack >= float64(homes) {
		return 1
	}
	return 0
}

// ownPart returns the number of requests in a window that the node at a rank of the order of
// members may admit if it reaches no home.
func (l Limit) ownPart(members, rank int) int {
	total := int(slackShare * l.Slack)
	part := total / members
	if rank < total%members {
		part++
	}
	return part
}
