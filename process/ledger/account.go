package ledger

import (
	"time"

	"samphirehitch.example/samphirehitch/process/topology"
)

// Constants of borrowing.
const (
	// lookahead is the demand below which tokens at hand count as short.
	lookahead = 20 * time.Millisecond
	// cushion is the demand that tokens at hand should cover after borrowing.
	cushion = 100 * time.Millisecond
	// negligibleDemand is the demand, in requests per second, below which
	// nothing is borrowed in advance.
	negligibleDemand = 0.5
)

// account is the state of one customer on one instance: the parts that the
// instance owns, what it borrowed and the requests that wait.
type account struct {
	limit   Limit
	parts   []*part
	sources []*source
	demand  demandMeter
	waiters []*Ticket
	active  bool
}

// settle brings everything up to now and returns the tokens at hand.
func (a *account) settle(now time.Duration) float64 {
	total := 0.0
	for _, p := range a.parts {
		p.settle(now)
		if p.usable(now) {
			total += p.level
		}
	}
	for _, s := range a.sources {
		s.settle(now)
		total += s.level
	}
	return total
}

// spend takes one token, from loans first because they end. The caller has
// settled the account.
func (a *account) spend(now time.Duration) {
	rest := 1.0
	for _, s := range a.sources {
		used := min(rest, s.level)
		s.level -= used
		rest -= used
	}
	for _, p := range a.parts {
		if !p.usable(now) {
			continue
		}
		used := min(rest, p.level)
		p.level -= used
		rest -= used
	}
}

// maxWaiters bounds the requests that may wait: more could not be admitted in
// time even with the whole fleet's tokens.
func (a *account) maxWaiters() int {
	return 1 + int(a.limit.Rate*seconds(MaxAdmitWait)+a.limit.Burst)
}

// serve admits waiters while tokens last, refuses those that waited too long and
// returns the tokens left.
func (a *account) serve(now time.Duration) float64 {
	tokens := a.settle(now)
	for len(a.waiters) > 0 {
		t := a.waiters[0]
		switch {
		case t.abandoned:
		case now-t.arrived >= MaxAdmitWait:
			t.resolve(a.refusal(tokens))
		case tokens >= 1:
			a.spend(now)
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

// refusal describes a refused request.
func (a *account) refusal(tokens float64) *Refusal {
	missing := 1 + float64(len(a.waiters)) - tokens
	retry := MaxAdmitWait
	if a.limit.Rate > 0 {
		retry = time.Duration(missing / a.limit.Rate * float64(time.Second))
	}
	return &Refusal{Customer: a.limit.Customer, RetryAfter: min(max(retry, time.Millisecond), time.Minute)}
}

// outgoingAsk is an ask with its addressee.
type outgoingAsk struct {
	to  topology.InstanceID
	ask Ask
}

// need is what an account lacks beyond what is at hand or asked for, in tokens.
// Negative tokens are a surplus.
type need struct {
	tokens float64
	// urgent is the part of tokens that waiting requests need.
	urgent float64
	// short reports that the account should ask now.
	short bool
}

func (a *account) need(tokens, demand float64) need {
	backlog := float64(len(a.waiters))
	for _, s := range a.sources {
		if s.pending {
			tokens += s.wanted
		}
	}
	return need{
		tokens: backlog + demand*seconds(cushion) - tokens,
		urgent: max(0, backlog-tokens),
		short:  backlog > tokens || (demand > negligibleDemand && tokens < backlog+demand*seconds(lookahead)),
	}
}

// plan decides which sources to ask and appends the asks. The second result is
// false once the account needs no attention until its next request.
func (a *account) plan(now time.Duration, tokens float64, nextID func() uint64, asks []outgoingAsk) ([]outgoingAsk, bool) {
	demand := a.demand.rate(now)
	n := a.need(tokens, demand)
	send := func(s *source, tokens, urgent, surplus float64) {
		ask := s.ask(now, tokens, urgent, surplus)
		ask.Customer, ask.ID, ask.Demand = a.limit.Customer, nextID(), demand
		s.askID = ask.ID
		asks = append(asks, outgoingAsk{to: s.holder, ask: ask})
	}
	busy := len(a.waiters) > 0 || demand > negligibleDemand
	for _, s := range a.sources {
		s.noteLoss(now)
		busy = busy || s.pending || s.loan != (LoanID{})
		if !s.pending && s.holder != "" && (s.due(now) || s.recalled) {
			surplus := max(-n.tokens, 0)
			before := s.level
			send(s, 0, 0, surplus)
			n.tokens += before - s.level
		}
	}
	for n.short && n.tokens >= leastTokens {
		s, expected := a.richest(now)
		if s == nil {
			break
		}
		wanted := min(n.tokens, max(expected, n.tokens/float64(len(a.sources))))
		send(s, wanted, min(n.urgent, wanted), 0)
		n.tokens -= wanted
		n.urgent -= min(n.urgent, wanted)
	}
	return asks, busy
}

// richest returns the source that can be asked now and is expected to hold most
// tokens, or nil.
func (a *account) richest(now time.Duration) (*source, float64) {
	count := float64(len(a.sources) + len(a.parts))
	var best *source
	most := -1.0
	for _, s := range a.sources {
		if s.pending || s.holder == "" || now < s.nextAsk {
			continue
		}
		expected := s.expected(now, a.limit.Rate/count, a.limit.Burst/count)
		if s.lost > 0 {
			expected = 0
		}
		if expected > most {
			best, most = s, expected
		}
	}
	return best, most
}
