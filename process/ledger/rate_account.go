package ledger

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Thresholds for borrowing tokens.
const (
	// lowWatermark is the time for which the available tokens must cover the
	// current demand. An account whose tokens would be spent earlier borrows.
	lowWatermark = 20 * time.Millisecond
	// highWatermark is the time for which the tokens should cover the demand
	// after borrowing.
	highWatermark = 100 * time.Millisecond
	// negligibleDemand is the demand, in requests per second, up to which an
	// account counts as idle. An idle account borrows for waiting requests only.
	negligibleDemand = 0.5
)

// rateAccount is the state of one customer's rate on one instance: the parts
// that the instance holds, the loans from parts that other instances hold, and
// the requests that wait for a token. The lock of its shard guards it.
type rateAccount struct {
	limit  RateLimit
	local  []*localPart
	remote []*remotePart
	demand demandMeter
	// waiters lists the requests that wait, oldest first.
	waiters []*Ticket
	// active is set while the account is in the shard's active list.
	active bool
}

// availableTokens refills the local parts, expires loans and returns the number
// of tokens that can be spent now.
func (a *rateAccount) availableTokens(now time.Duration) float64 {
	tokens := 0.0
	for _, p := range a.local {
		p.advance(now)
		if p.leaseValid(now) {
			tokens += p.level
		}
	}
	for _, p := range a.remote {
		p.expireLoan(now)
		tokens += p.level
	}
	return tokens
}

// spendToken spends one token, borrowed tokens first because loans expire.
// The caller has called availableTokens for the same time and got at least 1.
func (a *rateAccount) spendToken(now time.Duration) {
	remaining := 1.0
	for _, p := range a.remote {
		used := min(remaining, p.level)
		p.level -= used
		remaining -= used
	}
	for _, p := range a.local {
		if !p.leaseValid(now) {
			continue
		}
		used := min(remaining, p.level)
		p.level -= used
		remaining -= used
	}
}

// maxWaiters bounds the requests that may wait: more could not be admitted
// within MaxAdmitWait even with all tokens of the fleet.
func (a *rateAccount) maxWaiters() int {
	return 1 + int(a.limit.Rate*seconds(MaxAdmitWait)+a.limit.Burst)
}

// admitWaiters admits waiting requests while there are tokens, refuses those
// that have waited for MaxAdmitWait and returns the number of tokens left.
func (a *rateAccount) admitWaiters(now time.Duration) float64 {
	tokens := a.availableTokens(now)
	for len(a.waiters) > 0 {
		t := a.waiters[0]
		switch {
		case t.canceled:
		case now-t.arrivedAt >= MaxAdmitWait:
			t.resolve(a.newRefusal(tokens))
		case tokens >= 1:
			a.spendToken(now)
			tokens--
			t.resolve(nil)
		default:
			return tokens
		}
		a.waiters[0] = nil
		a.waiters = a.waiters[1:]
	}
	a.waiters = nil
	return tokens
}

// newRefusal returns the refusal of a request. RetryAfter is the time in which
// the customer's whole rate fills the missing tokens.
func (a *rateAccount) newRefusal(tokens float64) *Refusal {
	missing := 1 + float64(len(a.waiters)) - tokens
	retryAfter := MaxAdmitWait
	if a.limit.Rate > 0 {
		retryAfter = time.Duration(missing / a.limit.Rate * float64(time.Second))
	}
	return &Refusal{Customer: a.limit.Customer, RetryAfter: min(max(retryAfter, time.Millisecond), time.Minute)}
}

// outgoingRequest is a token request with its recipient.
type outgoingRequest struct {
	to      topology.InstanceID
	request TokenRequest
}

// rateShortfall is how many tokens an account lacks beyond those that are
// available or requested.
type rateShortfall struct {
	// tokens is negative when the account has a surplus.
	tokens float64
	// urgent is how many of the tokens are for waiting requests.
	urgent float64
	// borrowNow is set when waiting requests or the low watermark call for a
	// request now.
	borrowNow bool
}

// shortfall compares the available tokens with the waiting requests and the
// demand.
func (a *rateAccount) shortfall(tokens, demand float64) rateShortfall {
	backlog := float64(len(a.waiters))
	for _, p := range a.remote {
		if p.pending {
			tokens += p.requestedTokens
		}
	}
	return rateShortfall{
		tokens:    backlog + demand*seconds(highWatermark) - tokens,
		urgent:    max(0, backlog-tokens),
		borrowNow: backlog > tokens || (demand > negligibleDemand && tokens < backlog+demand*seconds(lowWatermark)),
	}
}

// planRequests appends the token requests that are due: renewals and returns of
// loans first, then requests for missing tokens to the lenders expected to have
// most. The second result is false when the account needs no further ticks until
// its next request.
func (a *rateAccount) planRequests(now time.Duration, tokens float64, nextRequestID func() uint64, requests []outgoingRequest) ([]outgoingRequest, bool) {
	demand := a.demand.rate(now)
	missing := a.shortfall(tokens, demand)
	send := func(p *remotePart, tokens, urgent, surplus float64) {
		request := p.newRequest(now, tokens, urgent, surplus)
		request.Customer, request.ID, request.Demand = a.limit.Customer, nextRequestID(), demand
		p.requestID = request.ID
		requests = append(requests, outgoingRequest{to: p.holder, request: request})
	}
	active := len(a.waiters) > 0 || demand > negligibleDemand
	for _, p := range a.remote {
		p.expireRequest(now)
		active = active || p.pending || p.loan != (LoanID{})
		if !p.pending && p.holder != "" && (p.renewalDue(now) || p.recalled) {
			surplus := max(-missing.tokens, 0)
			before := p.level
			send(p, 0, 0, surplus)
			missing.tokens += before - p.level
		}
	}
	for missing.borrowNow && missing.tokens >= minLoanTokens {
		p, expected := a.bestLender(now)
		if p == nil {
			break
		}
		amount := min(missing.tokens, max(expected, missing.tokens/float64(len(a.remote))))
		send(p, amount, min(missing.urgent, amount), 0)
		missing.tokens -= amount
		missing.urgent -= min(missing.urgent, amount)
	}
	return requests, active
}

// bestLender returns, of the remote parts whose holder may be sent a request
// now, the one that is expected to have the most tokens, with that number, or
// nil. A lender that did not respond to its last request counts as empty.
func (a *rateAccount) bestLender(now time.Duration) (*remotePart, float64) {
	count := float64(len(a.remote) + len(a.local))
	var best *remotePart
	bestLevel := -1.0
	for _, p := range a.remote {
		if p.pending || p.holder == "" || now < p.nextRequestAt {
			continue
		}
		expected := p.expectedLevel(now, a.limit.Rate/count, a.limit.Burst/count)
		if p.timeouts > 0 {
			expected = 0
		}
		if expected > bestLevel {
			best, bestLevel = p, expected
		}
	}
	return best, bestLevel
}
