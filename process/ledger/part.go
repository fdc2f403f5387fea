package ledger

import (
	"math"
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Constants of lending.
const (
	// recallPause is the shortest time between a grant or a recall and the next
	// recall of the same loan.
	recallPause = 40 * time.Millisecond
	// maxRecalls is the most loans recalled for one ask.
	maxRecalls = 2
	// borrowerMemory is how long a borrower's demand counts after its last ask.
	borrowerMemory = 4 * LoanTerm
	// paceMillisPerBorrower spreads the asks of many borrowers.
	paceMillisPerBorrower = 1
	// never is later than every time.
	never = time.Duration(math.MaxInt64)
)

// ownership is the right to a slot, shared by all parts of the slot.
type ownership struct {
	slot  int
	epoch uint64
	until time.Duration
}

// borrower is what a lender knows of an instance that has asked.
type borrower struct {
	id      topology.InstanceID
	lastAsk uint64
	demand  float64
	seen    time.Duration
	// loan is zero when nothing is lent. Lent is the most tokens that the
	// borrower may still spend, until the lender's clock passes until.
	loan     LoanID
	lent     float64
	until    time.Duration
	recalled time.Duration
}

// end forgets the loan.
func (b *borrower) end() { b.loan, b.lent, b.until = LoanID{}, 0, never }

// part is one slot's part of a customer's rate, on the instance that holds the
// slot: a token bucket whose level and lent tokens together never exceed cap.
type part struct {
	own       *ownership
	rate      float64
	cap       float64
	level     float64
	updated   time.Duration
	lent      float64
	borrowers []*borrower
	// nextEnd is the earliest end of a loan.
	nextEnd time.Duration
	// granted numbers the loans.
	granted uint64
}

// newPart returns an empty part that starts to refill after partDelay.
func newPart(own *ownership, rate, burst float64, now time.Duration) *part {
	return &part{own: own, rate: rate, cap: burst, updated: now + partDelay, nextEnd: never}
}

// resize changes the rate and cap. Loans run on.
func (p *part) resize(now time.Duration, rate, burst float64) {
	p.settle(now)
	p.rate, p.cap = rate, burst
	p.level = min(p.level, p.room())
}

// usable reports whether the right to the slot holds.
func (p *part) usable(now time.Duration) bool { return now < p.own.until }

// room is the most tokens that the part itself may hold.
func (p *part) room() float64 { return max(p.cap-p.lent, 0) }

// settle brings the level up to now and ends the loans whose term has passed.
func (p *part) settle(now time.Duration) {
	for p.nextEnd <= now {
		end := p.nextEnd
		p.advance(end)
		p.endLoans(end)
	}
	p.advance(now)
}

func (p *part) advance(now time.Duration) {
	if now <= p.updated {
		return
	}
	p.level = min(p.room(), p.level+p.rate*seconds(now-p.updated))
	p.updated = now
}

// endLoans forgets the loans that end by now and the borrowers long silent.
func (p *part) endLoans(now time.Duration) {
	kept := p.borrowers[:0]
	for _, b := range p.borrowers {
		if b.until <= now {
			b.end()
		}
		if b.loan != (LoanID{}) || now-b.seen < borrowerMemory {
			kept = append(kept, b)
		}
	}
	clear(p.borrowers[len(kept):])
	p.borrowers = kept
	p.sum()
}

// sum recomputes what is lent, without rounding errors from earlier sums.
func (p *part) sum() {
	p.lent, p.nextEnd = 0, never
	for _, b := range p.borrowers {
		p.lent += b.lent
		p.nextEnd = min(p.nextEnd, b.until)
	}
}

// borrower returns the record of an instance, created when missing.
func (p *part) borrower(id topology.InstanceID) *borrower {
	for _, b := range p.borrowers {
		if b.id == id {
			return b
		}
	}
	b := &borrower{id: id, until: never}
	p.borrowers = append(p.borrowers, b)
	return b
}

// ask takes an ask and returns the grant. The second result is false when the
// ask needs no answer.
func (p *part) ask(now time.Duration, from topology.InstanceID, a *Ask, ownDemand float64) (Grant, bool) {
	p.settle(now)
	b := p.borrower(from)
	if a.ID <= b.lastAsk {
		return Grant{}, false
	}
	b.lastAsk, b.seen, b.demand = a.ID, now, a.Demand
	p.takeBack(b, a)
	if !a.wants() {
		return Grant{}, false
	}
	g := Grant{Customer: a.Customer, Slot: a.Slot, ID: a.ID}
	g.PaceMillis = paceMillisPerBorrower * len(p.borrowers)
	if p.usable(now) && (a.Kept <= 0 || a.Loan == b.loan) {
		p.lend(now, b, a, ownDemand, &g)
	}
	g.Level = p.level
	return g, true
}

// takeBack reduces the borrower's loan to what the ask keeps. Tokens come back
// only from the loan that the lender knows; those of a grant that the borrower
// never received are lost.
func (p *part) takeBack(b *borrower, a *Ask) {
	if b.loan == (LoanID{}) || (a.Kept > 0 && a.Loan != b.loan) {
		return
	}
	kept := min(b.lent, max(a.Kept, 0))
	left := 0.0
	if a.Loan == b.loan {
		left = min(max(a.Left, 0), b.lent-kept)
	}
	b.lent = kept
	if kept <= 0 {
		b.end()
	}
	p.sum()
	p.level = min(p.level+left, p.room())
}

// lend lends tokens: to waiting requests as many as there are, beyond them by
// demand. It also prolongs the loan that the borrower keeps.
func (p *part) lend(now time.Duration, b *borrower, a *Ask, ownDemand float64, g *Grant) {
	tokens := max(a.Urgent, p.level*p.share(now, b, ownDemand))
	g.Tokens = max(min(tokens, a.Tokens, p.level), 0)
	if b.loan == (LoanID{}) {
		if g.Tokens <= 0 {
			return
		}
		p.granted++
		b.loan = LoanID{Epoch: p.own.epoch, Number: p.granted}
	}
	g.Loan = b.loan
	p.level -= g.Tokens
	b.lent += g.Tokens
	b.until = now + lenderTerm
	b.recalled = now
	p.sum()
}

// share is the borrower's part of the known demand.
func (p *part) share(now time.Duration, b *borrower, ownDemand float64) float64 {
	total := ownDemand
	for _, other := range p.borrowers {
		if now-other.seen < borrowerMemory {
			total += other.demand
		}
	}
	if total <= 0 {
		return 1
	}
	return b.demand / total
}

// recalls returns the loans to recall for an ask that got too little, the
// largest first.
func (p *part) recalls(now time.Duration, from topology.InstanceID) []*borrower {
	var picked []*borrower
	for len(picked) < maxRecalls {
		var largest *borrower
		for _, b := range p.borrowers {
			if b.id == from || b.loan == (LoanID{}) || now-b.recalled < recallPause {
				continue
			}
			if largest == nil || b.lent > largest.lent {
				largest = b
			}
		}
		if largest == nil {
			break
		}
		largest.recalled = now
		picked = append(picked, largest)
	}
	return picked
}
