package ledger

import (
	"math"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Constants of the lender's side of rate loans.
const (
	// minRecallInterval is the minimum time between a grant or recall and the
	// next recall of the same loan.
	minRecallInterval = 40 * time.Millisecond
	// maxRecallsPerRequest bounds the loans that are recalled on behalf of one
	// request.
	maxRecallsPerRequest = 2
	// borrowerTTL is how long a borrower's demand counts after its last request.
	borrowerTTL = 4 * RateLoanTTL
	// intervalMillisPerBorrower lengthens the interval between a borrower's
	// requests with the number of borrowers, which bounds their total rate.
	intervalMillisPerBorrower = 1
	// noExpiry is later than every time.
	noExpiry = time.Duration(math.MaxInt64)
)

// slotLease is the lease on a slot. All parts or shares of the slot point to the
// same one, so that a renewal updates one field.
type slotLease struct {
	slot      int
	epoch     uint64
	expiresAt time.Duration
}

// rateBorrower is what a lender knows of an instance that has sent requests.
type rateBorrower struct {
	id            topology.InstanceID
	lastRequestID uint64
	demand        float64
	lastRequestAt time.Duration
	// loan is zero when nothing is lent. The borrower may still spend at most
	// lent tokens. At expiresAt, by the lender's clock, the loan has expired.
	loan      LoanID
	lent      float64
	expiresAt time.Duration
	// grantedOrRecalledAt is the time of the last grant or recall.
	grantedOrRecalledAt time.Duration
}

// clearLoan records that nothing is lent.
func (b *rateBorrower) clearLoan() { b.loan, b.lent, b.expiresAt = LoanID{}, 0, noExpiry }

// localPart is a part of a customer's rate on the instance that holds its slot:
// a token bucket that lends. Level and lent together never exceed burst.
type localPart struct {
	lease *slotLease
	rate  float64
	burst float64
	level float64
	// refilledAt is the time up to which the level includes refills. In a new
	// part it lies in the future.
	refilledAt time.Duration
	// lent is the sum of the borrowers' loans.
	lent      float64
	borrowers []*rateBorrower
	// nextExpiry is the earliest expiry of a loan.
	nextExpiry time.Duration
	// lastLoanNumber is the number of the last loan under this lease.
	lastLoanNumber uint64
}

// newLocalPart returns an empty part that starts to refill after
// rateTakeoverDelay.
func newLocalPart(lease *slotLease, rate, burst float64, now time.Duration) *localPart {
	return &localPart{lease: lease, rate: rate, burst: burst, refilledAt: now + rateTakeoverDelay, nextExpiry: noExpiry}
}

// resize changes the rate and burst. Loans continue.
func (p *localPart) resize(now time.Duration, rate, burst float64) {
	p.advance(now)
	p.rate, p.burst = rate, burst
	p.level = min(p.level, p.maxLevel())
}

// leaseValid reports whether this instance may spend and lend the part's tokens.
func (p *localPart) leaseValid(now time.Duration) bool { return now < p.lease.expiresAt }

// maxLevel is how many tokens the bucket may hold besides the lent ones.
func (p *localPart) maxLevel() float64 { return max(p.burst-p.lent, 0) }

// advance refills the bucket up to now and expires loans on the way, each at its
// own time: until then its tokens reduce maxLevel.
func (p *localPart) advance(now time.Duration) {
	for p.nextExpiry <= now {
		expiry := p.nextExpiry
		p.refill(expiry)
		p.expireLoans(expiry)
	}
	p.refill(now)
}

// refill adds the tokens for the time since refilledAt.
func (p *localPart) refill(now time.Duration) {
	if now <= p.refilledAt {
		return
	}
	p.level = min(p.maxLevel(), p.level+p.rate*seconds(now-p.refilledAt))
	p.refilledAt = now
}

// expireLoans clears the loans that have expired and removes borrowers that have
// none and have sent no request for borrowerTTL.
func (p *localPart) expireLoans(now time.Duration) {
	kept := p.borrowers[:0]
	for _, b := range p.borrowers {
		if b.expiresAt <= now {
			b.clearLoan()
		}
		if b.loan != (LoanID{}) || now-b.lastRequestAt < borrowerTTL {
			kept = append(kept, b)
		}
	}
	clear(p.borrowers[len(kept):])
	p.borrowers = kept
	p.recomputeLent()
}

// recomputeLent sums up the loans. Computing the sum again avoids the rounding
// errors of adding and subtracting.
func (p *localPart) recomputeLent() {
	p.lent, p.nextExpiry = 0, noExpiry
	for _, b := range p.borrowers {
		p.lent += b.lent
		p.nextExpiry = min(p.nextExpiry, b.expiresAt)
	}
}

// borrower returns the record of an instance and creates it when missing.
func (p *localPart) borrower(id topology.InstanceID) *rateBorrower {
	for _, b := range p.borrowers {
		if b.id == id {
			return b
		}
	}
	b := &rateBorrower{id: id, expiresAt: noExpiry}
	p.borrowers = append(p.borrowers, b)
	return b
}

// handleRequest processes a token request and returns the grant. The second
// result is false when the request is older than one already processed or needs
// no grant.
func (p *localPart) handleRequest(now time.Duration, from topology.InstanceID, r *TokenRequest, ownDemand float64) (TokenGrant, bool) {
	p.advance(now)
	b := p.borrower(from)
	if r.ID <= b.lastRequestID {
		return TokenGrant{}, false
	}
	b.lastRequestID, b.lastRequestAt, b.demand = r.ID, now, r.Demand
	p.applyReturn(b, r)
	if !r.needsGrant() {
		return TokenGrant{}, false
	}
	g := TokenGrant{Customer: r.Customer, Slot: r.Slot, ID: r.ID}
	g.MinIntervalMillis = intervalMillisPerBorrower * len(p.borrowers)
	if p.leaseValid(now) && (r.Kept <= 0 || r.Loan == b.loan) {
		p.lend(now, b, r, ownDemand, &g)
	}
	g.Level = p.level
	return g, true
}

// applyReturn reduces the borrower's loan to what the request keeps. Tokens
// return to the bucket only from the loan that the lender has on record; those
// of a grant that the borrower never received are destroyed.
func (p *localPart) applyReturn(b *rateBorrower, r *TokenRequest) {
	if b.loan == (LoanID{}) || (r.Kept > 0 && r.Loan != b.loan) {
		return
	}
	kept := min(b.lent, max(r.Kept, 0))
	returned := 0.0
	if r.Loan == b.loan {
		returned = min(max(r.Returned, 0), b.lent-kept)
	}
	b.lent = kept
	if kept <= 0 {
		b.clearLoan()
	}
	p.recomputeLent()
	p.level = min(p.level+returned, p.maxLevel())
}

// lend grants the larger of the urgent tokens and the borrower's demand share of
// the bucket, limited by the request and the bucket. It also extends the loan
// that the borrower keeps.
func (p *localPart) lend(now time.Duration, b *rateBorrower, r *TokenRequest, ownDemand float64, g *TokenGrant) {
	tokens := max(r.Urgent, p.level*p.demandShare(now, b, ownDemand))
	g.Tokens = max(min(tokens, r.Tokens, p.level), 0)
	if b.loan == (LoanID{}) {
		if g.Tokens <= 0 {
			return
		}
		p.lastLoanNumber++
		b.loan = LoanID{Epoch: p.lease.epoch, Number: p.lastLoanNumber}
	}
	g.Loan = b.loan
	p.level -= g.Tokens
	b.lent += g.Tokens
	b.expiresAt = now + lenderRateLoanTTL
	b.grantedOrRecalledAt = now
	p.recomputeLent()
}

// demandShare is the borrower's fraction of the known demand, which includes the
// lender's own.
func (p *localPart) demandShare(now time.Duration, b *rateBorrower, ownDemand float64) float64 {
	total := ownDemand
	for _, other := range p.borrowers {
		if now-other.lastRequestAt < borrowerTTL {
			total += other.demand
		}
	}
	if total <= 0 {
		return 1
	}
	return b.demand / total
}

// loansToRecall selects the loans to recall on behalf of a request that was not
// met, largest first.
func (p *localPart) loansToRecall(now time.Duration, from topology.InstanceID) []*rateBorrower {
	var selected []*rateBorrower
	for len(selected) < maxRecallsPerRequest {
		var largest *rateBorrower
		for _, b := range p.borrowers {
			if b.id == from || b.loan == (LoanID{}) || now-b.grantedOrRecalledAt < minRecallInterval {
				continue
			}
			if largest == nil || b.lent > largest.lent {
				largest = b
			}
		}
		if largest == nil {
			break
		}
		largest.grantedOrRecalledAt = now
		selected = append(selected, largest)
	}
	return selected
}
