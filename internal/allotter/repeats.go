package allotter

import "time"

// RepeatLimit bounds the requests that are sent once more, over all hosts.
type RepeatLimit struct {
	// Ratio is the number of repeats per request within Window, and Slack the number beyond it.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioShare and slackShare are the parts of the limit that hosts use. The rest covers an uneven spread over the window.
	ratioShare = 0.8
	slackShare = 0.6
)

// Repeats is the part of one host in the budget of repeats of a pool. Each host earns repeats by its own requests and has an
// equal part of the slack, so that hosts need not agree.
type Repeats struct {
	limit  RepeatLimit
	credit float64
	at     time.Time
}

// NewRepeats returns a budget that begins with this host's part of the slack.
func NewRepeats(now time.Time, limit RepeatLimit, hosts int) *Repeats {
	return &Repeats{limit: limit, credit: slackShare * limit.Slack / float64(max(hosts, 1)), at: now}
}

// Sent counts a request that was sent for the first time.
func (r *Repeats) Sent(hosts int) {
	r.credit = min(r.credit+ratioShare*r.limit.Ratio, r.most(hosts))
}

// Take returns true if a request may be sent once more.
func (r *Repeats) Take(now time.Time, hosts int) bool {
	// The slack comes back once per window.
	if r.limit.Window > 0 {
		part := slackShare * r.limit.Slack / float64(max(hosts, 1))
		r.credit = min(r.credit+part*now.Sub(r.at).Seconds()/r.limit.Window.Seconds()/2, r.most(hosts))
	}
	r.at = now
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

func (r *Repeats) most(hosts int) float64 {
	return max(1, slackShare*r.limit.Slack/float64(max(hosts, 1)))
}
