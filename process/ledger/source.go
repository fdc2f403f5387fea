package ledger

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Constants of asking.
const (
	// answerTimeout is when an ask counts as lost.
	answerTimeout = 100 * time.Millisecond
	// shortestPause and longestPause bound the time between asks to one slot.
	shortestPause = 10 * time.Millisecond
	longestPause  = 80 * time.Millisecond
	// silentPause is the time between asks to a slot that does not answer.
	silentPause = 500 * time.Millisecond
	// silentAfter is the number of lost asks after which a slot counts as
	// silent.
	silentAfter = 3
	// renewAfter is the age at which a loan is renewed or given back.
	renewAfter = LoanTerm / 2
	// leastTokens is the smallest useful loan.
	leastTokens = 0.01
)

// source is a slot of another instance that owns a part of the customer's rate,
// with what is borrowed from it.
type source struct {
	slot   int
	holder topology.InstanceID

	// loan is zero when nothing is borrowed. Level tokens of it may be spent
	// until the time until, LoanTerm after the ask.
	loan  LoanID
	level float64
	asked time.Duration
	until time.Duration

	pending bool
	askID   uint64
	askedAt time.Duration
	// wanted is what the pending ask asked for, kept whether it kept the loan.
	wanted float64
	kept   bool

	nextAsk  time.Duration
	pause    time.Duration
	lost     int
	recalled bool
	// estimate is the level of the part when last heard of, at heard.
	estimate float64
	heard    time.Duration
}

// settle ends the loan once its term has passed.
func (s *source) settle(now time.Duration) {
	if now >= s.until {
		s.loan, s.level, s.until = LoanID{}, 0, 0
	}
}

// due reports that the loan has to be renewed or given back. One that is spent
// is given back at once, since it takes up room in the lender's part.
func (s *source) due(now time.Duration) bool {
	return s.loan != (LoanID{}) && (now-s.asked >= renewAfter || s.level < leastTokens)
}

// expected estimates the tokens that the part holds now.
func (s *source) expected(now time.Duration, partRate, partCap float64) float64 {
	return min(partCap, s.estimate+partRate*seconds(now-s.heard))
}

// noteLoss gives up an ask that was not answered in time.
func (s *source) noteLoss(now time.Duration) {
	if !s.pending || now-s.askedAt < answerTimeout {
		return
	}
	s.pending = false
	s.lost++
	if s.lost >= silentAfter {
		s.nextAsk = now + silentPause
	}
}

// ask returns an ask for tokens, of which urgent are for waiting requests, that
// gives surplus tokens of the loan back.
func (s *source) ask(now time.Duration, tokens, urgent, surplus float64) Ask {
	a := Ask{Slot: s.slot, Loan: s.loan, Kept: s.level}
	if surplus > 0 {
		a.Left = min(surplus, s.level)
		a.Kept = s.level - a.Left
	}
	if a.Kept < leastTokens {
		a.Left, a.Kept = a.Left+a.Kept, 0
		s.loan, s.until = LoanID{}, 0
	}
	s.level = a.Kept
	if tokens >= leastTokens {
		a.Tokens, a.Urgent = tokens, urgent
	}
	s.recalled = false
	s.pending, s.askedAt, s.wanted, s.kept = a.wants(), now, a.Tokens, a.Kept > 0
	return a
}

// grant takes an answer. It reports whether it brought tokens.
func (s *source) grant(now time.Duration, g *Grant) bool {
	if !s.pending || g.ID != s.askID {
		return false
	}
	s.pending = false
	s.lost = 0
	s.estimate, s.heard = g.Level, now
	s.setPause(now, g)
	s.settle(now)
	until := s.askedAt + LoanTerm
	if g.Loan == (LoanID{}) || now >= until {
		return false
	}
	if s.kept && s.loan != g.Loan {
		return false
	}
	s.loan, s.asked, s.until = g.Loan, s.askedAt, until
	s.level += g.Tokens
	return g.Tokens > 0
}

// setPause asks less often while the lender has little to give.
func (s *source) setPause(now time.Duration, g *Grant) {
	if g.Tokens >= s.wanted/2 {
		s.pause = shortestPause
	} else {
		s.pause = min(max(2*s.pause, shortestPause), longestPause)
	}
	pace := time.Duration(g.PaceMillis) * time.Millisecond
	s.nextAsk = now + max(s.pause, pace)
}
