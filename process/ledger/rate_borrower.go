package ledger

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Constants of the borrower's side of rate loans.
const (
	// grantTimeout is when a token request without a grant counts as lost.
	grantTimeout = 100 * time.Millisecond
	// minRequestInterval and maxRequestInterval bound the backoff between
	// requests to one slot.
	minRequestInterval = 10 * time.Millisecond
	maxRequestInterval = 80 * time.Millisecond
	// unresponsiveRetryInterval is the time between requests to a slot whose
	// holder does not respond.
	unresponsiveRetryInterval = 500 * time.Millisecond
	// unresponsiveAfter is the number of consecutive lost requests after which a
	// holder counts as unresponsive.
	unresponsiveAfter = 3
	// rateLoanRenewAge is the age at which a loan is renewed or returned.
	rateLoanRenewAge = RateLoanTTL / 2
	// minLoanTokens is the smallest number of tokens worth a loan.
	minLoanTokens = 0.01
)

// remotePart is a part of a customer's rate whose slot another instance holds,
// with the loan from it and the state of the requests to its holder.
type remotePart struct {
	slot   int
	holder topology.InstanceID

	// loan is zero when nothing is borrowed. Up to level tokens of it may be
	// spent until expiresAt, which is RateLoanTTL after loanRequestedAt.
	loan            LoanID
	level           float64
	loanRequestedAt time.Duration
	expiresAt       time.Duration

	// pending is set while a request with requestID, sent at requestedAt, awaits
	// its grant.
	pending     bool
	requestID   uint64
	requestedAt time.Duration
	// requestedTokens is the number of tokens in the pending request; keptLoan
	// is set when it kept the loan.
	requestedTokens float64
	keptLoan        bool

	// nextRequestAt is the earliest time of the next request for more tokens;
	// requestInterval is the current backoff.
	nextRequestAt   time.Duration
	requestInterval time.Duration
	// timeouts counts consecutive requests without a grant.
	timeouts int
	// recalled is set when the lender has recalled the loan since the last
	// request.
	recalled bool
	// lenderLevel is the number of tokens in the lender's bucket as reported at
	// lenderLevelAt.
	lenderLevel   float64
	lenderLevelAt time.Duration
}

// expireLoan drops the loan once it has expired.
func (p *remotePart) expireLoan(now time.Duration) {
	if now >= p.expiresAt {
		p.loan, p.level, p.expiresAt = LoanID{}, 0, 0
	}
}

// renewalDue reports whether the loan has to be renewed or returned. A spent
// loan is returned immediately, because the lender counts it against the part's
// burst.
func (p *remotePart) renewalDue(now time.Duration) bool {
	return p.loan != (LoanID{}) && (now-p.loanRequestedAt >= rateLoanRenewAge || p.level < minLoanTokens)
}

// expectedLevel estimates the number of tokens in the lender's bucket now.
func (p *remotePart) expectedLevel(now time.Duration, partRate, partBurst float64) float64 {
	return min(partBurst, p.lenderLevel+partRate*seconds(now-p.lenderLevelAt))
}

// expireRequest drops a pending request that has timed out.
func (p *remotePart) expireRequest(now time.Duration) {
	if !p.pending || now-p.requestedAt < grantTimeout {
		return
	}
	p.pending = false
	p.timeouts++
	if p.timeouts >= unresponsiveAfter {
		p.nextRequestAt = now + unresponsiveRetryInterval
	}
}

// newRequest returns a request for tokens, of which urgent are for waiting
// requests. It keeps the loan but returns up to surplus tokens of it, or all
// when fewer than minLoanTokens would remain. The caller adds the customer, ID
// and demand.
func (p *remotePart) newRequest(now time.Duration, tokens, urgent, surplus float64) TokenRequest {
	r := TokenRequest{Slot: p.slot, Loan: p.loan, Kept: p.level}
	if surplus > 0 {
		r.Returned = min(surplus, p.level)
		r.Kept = p.level - r.Returned
	}
	if r.Kept < minLoanTokens {
		r.Returned, r.Kept = r.Returned+r.Kept, 0
		p.loan, p.expiresAt = LoanID{}, 0
	}
	p.level = r.Kept
	if tokens >= minLoanTokens {
		r.Tokens, r.Urgent = tokens, urgent
	}
	p.recalled = false
	p.pending, p.requestedAt, p.requestedTokens, p.keptLoan = r.needsGrant(), now, r.Tokens, r.Kept > 0
	return r
}

// applyGrant processes the grant for the pending request and ignores any other.
// It reports whether the grant brought tokens. A grant that arrives after the
// loan's expiry, or that is for another loan than the one kept, brings none.
func (p *remotePart) applyGrant(now time.Duration, g *TokenGrant) bool {
	if !p.pending || g.ID != p.requestID {
		return false
	}
	p.pending = false
	p.timeouts = 0
	p.lenderLevel, p.lenderLevelAt = g.Level, now
	p.updateRequestInterval(now, g)
	p.expireLoan(now)
	expiresAt := p.requestedAt + RateLoanTTL
	if g.Loan == (LoanID{}) || now >= expiresAt {
		return false
	}
	if p.keptLoan && p.loan != g.Loan {
		return false
	}
	p.loan, p.loanRequestedAt, p.expiresAt = g.Loan, p.requestedAt, expiresAt
	p.level += g.Tokens
	return g.Tokens > 0
}

// updateRequestInterval doubles the backoff when the lender granted less than
// half of the requested tokens and resets it otherwise. The lender can require a
// longer interval.
func (p *remotePart) updateRequestInterval(now time.Duration, g *TokenGrant) {
	if g.Tokens >= p.requestedTokens/2 {
		p.requestInterval = minRequestInterval
	} else {
		p.requestInterval = min(max(2*p.requestInterval, minRequestInterval), maxRequestInterval)
	}
	lenderInterval := time.Duration(g.MinIntervalMillis) * time.Millisecond
	p.nextRequestAt = now + max(p.requestInterval, lenderInterval)
}
