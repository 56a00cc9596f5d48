package ratelimiter

import "time"

// RetryLimit bounds the number of retries over all hosts.
type RetryLimit struct {
	// Ratio is the number of retries allowed per request within Window, and Slack the number of additional ones.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioShare and slackShare are the fractions of the limit that hosts use. The rest covers an uneven distribution over the
	// window.
	ratioShare = 0.8
	slackShare = 0.6
)

// RetryBudget is one host's share of the retry budget of a pool. Each host earns retries by its own requests and has an equal
// share of the slack, so hosts don't have to coordinate.
type RetryBudget struct {
	limit      RetryLimit
	credit     float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget that starts with this host's share of the slack.
func NewRetryBudget(now time.Time, limit RetryLimit, hosts int) *RetryBudget {
	return &RetryBudget{limit: limit, credit: slackShare * limit.Slack / float64(max(hosts, 1)), refilledAt: now}
}

// RecordRequest records the first attempt of a request, which earns credit for retries.
func (r *RetryBudget) RecordRequest(hosts int) {
	r.credit = min(r.credit+ratioShare*r.limit.Ratio, r.maxCredit(hosts))
}

// Take consumes one retry and reports whether the budget allowed it.
func (r *RetryBudget) Take(now time.Time, hosts int) bool {
	// The slack is refilled continuously, at half of it per window.
	if r.limit.Window > 0 {
		share := slackShare * r.limit.Slack / float64(max(hosts, 1))
		r.credit = min(r.credit+share*now.Sub(r.refilledAt).Seconds()/r.limit.Window.Seconds()/2, r.maxCredit(hosts))
	}
	r.refilledAt = now
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

// Return gives back a retry that was taken and not used.
func (r *RetryBudget) Return(hosts int) { r.credit = min(r.credit+1, r.maxCredit(hosts)) }

// maxCredit returns the most retries that this host can accumulate.
func (r *RetryBudget) maxCredit(hosts int) float64 {
	return max(1, slackShare*r.limit.Slack/float64(max(hosts, 1)))
}
